"""Leases that a planner holds on its workers, renewed at a bounded rate."""

from collections.abc import Callable

from carawayroute.clock import Clock
from carawayroute.exceptions import WorkerError
from carawayroute.misc import TaskGroup
from carawayroute.platform import Workers
from carawayroute.types import Attempt, Instance, Token

# Renewals sent during one lease, so that a lost message does not let it expire.
RENEWALS_PER_LEASE = 16
MIN_RENEWALS_PER_LEASE = 4


class _Lease:
    """State of the lease on one worker.

    :ivar busy: whether a renewal is in progress.
    :ivar sent_ms: time at which the last renewal was sent.
    :ivar renewed_ms: time at which the last successful renewal was sent.
    :ivar first_failed_ms: time at which the first failed renewal since then was sent, or ``None``.
    """

    __slots__ = ("busy", "first_failed_ms", "renewed_ms", "sent_ms")

    def __init__(self) -> None:
        self.busy = False
        self.sent_ms = float("-inf")
        self.renewed_ms = float("-inf")
        self.first_failed_ms: float | None = None


class WorkerLeases:
    """Hold leases on workers under a fencing token.

    Leases get longer as the number of workers grows, so that the rate of renewals stays bounded.

    :param holder: id of the instance that holds the leases.
    :param worker_lease_ms: shortest lease.
    :param renewals_per_second: upper bound on renewals, summed over all workers.
    :param on_report: called after each renewal with the worker's id and the attempts it holds.
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
        self._token: Token | None = None
        self._acquired_ms = 0.0
        self._lease_by_worker: dict[str, _Lease] = {}

    def acquire(self, token: Token) -> None:
        """Start holding leases under a new fencing token."""
        self._token = token
        self._acquired_ms = self._clock.now_ms()
        self._lease_by_worker.clear()

    def drop(self) -> None:
        """Stop renewing; the leases expire on the workers."""
        self._token = None
        self._lease_by_worker.clear()

    def renew_due(self, workers: list[Instance]) -> None:
        """Start the renewals that are due, at no more than the bounded rate."""
        now_ms = self._clock.now_ms()
        min_interval_ms = len(workers) * 1000 / self._renewals_per_second
        interval_ms = max(self._worker_lease_ms / RENEWALS_PER_LEASE, min_interval_ms)
        for worker in workers:
            lease = self._lease_by_worker.setdefault(worker.id, _Lease())
            if not lease.busy and now_ms - lease.sent_ms >= interval_ms:
                lease.busy = True
                lease.sent_ms = now_ms
                self._tasks.start(self._renew(worker, lease), f"renew {worker.id}")

    def lease_ms(self) -> int:
        """Return the lease length in ms, which covers several renewals at the bounded rate."""
        min_interval_ms = len(self._lease_by_worker) * 1000 / self._renewals_per_second
        return int(max(self._worker_lease_ms, MIN_RENEWALS_PER_LEASE * min_interval_ms))

    async def _renew(self, worker: Instance, lease: _Lease) -> None:
        token = self._token
        if token is None:
            return
        now_ms = self._clock.now_ms()
        try:
            attempts = await self._workers.renew(worker, self._holder, token, self.lease_ms())
        except WorkerError:
            # A refusal means another holder, which this instance learns of from the log.
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
        """Return the ids of workers with at least half a lease left, enough to send a command."""
        since_ms = self._clock.now_ms() - self.lease_ms() / 2
        return {
            worker for worker, lease in self._lease_by_worker.items() if lease.renewed_ms > since_ms
        }

    def lost(self) -> set[str]:
        """Return the ids of workers that have answered no renewal for a whole lease."""
        since_ms = self._clock.now_ms() - self.lease_ms()
        return {
            worker
            for worker, lease in self._lease_by_worker.items()
            if lease.first_failed_ms is not None
            and max(lease.renewed_ms, self._acquired_ms) < since_ms
        }

    def have_answered(self, workers: list[Instance]) -> bool:
        """Return whether all workers answered under this token or a whole lease has passed."""
        waited_ms = self._clock.now_ms() - self._acquired_ms
        if waited_ms >= self.lease_ms():
            return True
        leases = [self._lease_by_worker.get(worker.id) for worker in workers]
        return all(lease is not None and lease.renewed_ms >= self._acquired_ms for lease in leases)
