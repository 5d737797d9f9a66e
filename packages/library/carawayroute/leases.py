"""Leases on workers, renewed at a bounded rate."""

from collections.abc import Callable

from carawayroute.clock import Clock
from carawayroute.exceptions import WorkerError
from carawayroute.misc import TaskGroup
from carawayroute.platform import Workers
from carawayroute.types import Attempt, FencingToken, Instance

# Renewals within one lease, so that a lost message does not end it.
RENEWALS_A_LEASE = 16
MIN_RENEWALS_A_LEASE = 4


class _Lease:
    """What is known of the lease on one worker."""

    __slots__ = ("busy", "first_failed_ms", "renewed_ms", "sent_ms")

    def __init__(self) -> None:
        self.busy = False
        self.sent_ms = float("-inf")
        self.renewed_ms = float("-inf")
        self.first_failed_ms: float | None = None


class WorkerLeases:
    """Hold leases on workers under a token.

    The more workers there are, the longer the leases get, so that the rate of renewals stays.

    :param worker_lease_ms: shortest lease.
    :param renewals_per_second: bound on renewals sent to all workers together.
    :param on_report: takes what a worker holds, after each renewal.
    """

    def __init__(
        self,
        clock: Clock,
        workers: Workers,
        holder: str,
        worker_lease_ms: float,
        renewals_per_second: int,
        tasks: TaskGroup,
        on_report: Callable[[str, list[Attempt]], None],
    ) -> None:
        self._clock = clock
        self._workers = workers
        self._holder = holder
        self._worker_lease_ms = worker_lease_ms
        self._renewals_per_second = renewals_per_second
        self._tasks = tasks
        self._on_report = on_report
        self._token: FencingToken | None = None
        self._took_ms = 0.0
        self._lease_by_worker: dict[str, _Lease] = {}

    def take(self, token: FencingToken) -> None:
        """Begin to hold leases under a new token."""
        self._token = token
        self._took_ms = self._clock.now_ms()
        self._lease_by_worker.clear()

    def drop(self) -> None:
        """Hold no leases any more; those on the workers lapse."""
        self._token = None
        self._lease_by_worker.clear()

    def renew_due(self, workers: list[Instance]) -> None:
        """Start the renewals that are due, within the bound on messages."""
        now_ms = self._clock.now_ms()
        bound_ms = len(workers) * 1000 / self._renewals_per_second
        interval_ms = max(self._worker_lease_ms / RENEWALS_A_LEASE, bound_ms)
        for worker in workers:
            lease = self._lease_by_worker.setdefault(worker.id, _Lease())
            if not lease.busy and now_ms - lease.sent_ms >= interval_ms:
                lease.busy = True
                lease.sent_ms = now_ms
                self._tasks.start(self._renew(worker, lease), f"renew {worker.id}")

    def lease_ms(self) -> int:
        """Return the length of a lease: several renewals long, however many workers there are."""
        bound_ms = len(self._lease_by_worker) * 1000 / self._renewals_per_second
        return int(max(self._worker_lease_ms, MIN_RENEWALS_A_LEASE * bound_ms))

    async def _renew(self, worker: Instance, lease: _Lease) -> None:
        token = self._token
        if token is None:
            return
        now_ms = self._clock.now_ms()
        try:
            attempts = await self._workers.renew(worker, self._holder, token, self.lease_ms())
        except WorkerError:
            # A worker that refuses has another holder; this one learns that from the log.
            lease.first_failed_ms = lease.first_failed_ms or now_ms
            return
        finally:
            lease.busy = False
        if token != self._token:
            return
        lease.renewed_ms = now_ms
        lease.first_failed_ms = None
        self._on_report(worker.id, attempts)

    def held(self) -> set[str]:
        """Return the workers whose lease is good for longer than an order takes."""
        since_ms = self._clock.now_ms() - self.lease_ms() / 2
        return {
            worker for worker, lease in self._lease_by_worker.items() if lease.renewed_ms > since_ms
        }

    def lost(self) -> set[str]:
        """Return the workers that have not answered for a whole lease."""
        since_ms = self._clock.now_ms() - self.lease_ms()
        return {
            worker
            for worker, lease in self._lease_by_worker.items()
            if lease.first_failed_ms is not None and max(lease.renewed_ms, self._took_ms) < since_ms
        }

    def have_answered(self, workers: list[Instance]) -> bool:
        """Return whether all workers answered under this token, or had a lease's time to."""
        waited_ms = self._clock.now_ms() - self._took_ms
        if waited_ms >= self.lease_ms():
            return True
        leases = [self._lease_by_worker.get(worker.id) for worker in workers]
        return all(lease is not None and lease.renewed_ms >= self._took_ms for lease in leases)
