"""The planner's link to one runner: polls it, renews its lease and acknowledges ended tasks."""

import asyncio
import math
from collections.abc import Awaitable, Callable

import structlog

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import (
    RunnerError,
    RunnerNotListeningError,
    RunnerNotSentError,
    RunnerRefusedError,
    RunnerUnansweredError,
)
from carawayroute.fleet.lease_limits import MAX_CLOCK_DRIFT
from carawayroute.fleet.order_limiter import OrderLimiter
from carawayroute.fleet.ports import RunnerClient
from carawayroute.fleet.types import Runner, RunnerReport
from carawayroute.misc import wait_event

# A poll waits this long for a task to end; every poll renews the lease.
POLL_WAIT_MS = 1_000
# Polls that only renew the lease while ends reported by the runner are being stored.
UNSTORED_POLL_INTERVAL_MS = 300
FAILED_POLL_INTERVAL_MS = 150
# Failed polls of a runner that is not listed and holds no lease.
UNLISTED_POLL_INTERVAL_MS = 1_000
# Requests for a poll within this time share one poll.
POLL_COALESCE_MS = 15
LEASE_MARGIN_MS = 150
# A runner whose last report is older than this gets no new tasks.
MAX_REPORT_AGE_MS = 2_600
# Reason of a refusal by another process than the one that the request names.
OTHER_PROCESS = "boot"

log = structlog.get_logger()


class RunnerLink:
    """Poll a runner for as long as the planner holds its term.

    :param term: the planner's term, sent with each request as a fencing token.
    :param lease_ms: duration of the lease that each poll requests.
    :param lease_bound_ms: time by this instance's clock within which the longest lease that a
        runner accepts has certainly expired.
    :param initial_lease_expiry_ms: clock time by which every lease has certainly expired that
        this planner granted before.
    :param on_report: called with each report and the clock time at which its poll was sent.
    :param on_fenced: called when the runner knows a newer term.
    :param on_unreachable: called when the runner stops answering.
    :param on_replaced: called when another process first answers at the runner's address.
    :param on_process_ended: called when the runner's process has certainly ended, as another one
        answers at its address; with the first report of a new process under the same id and the
        clock time at which its poll was sent, or with ``None`` and the time of the proof.
    :param moved: the platform's list changed the runner's address. Until the runner answers there,
        other processes at the new address show nothing of the one at the old address.
    :param lease_limit_ms: returns the clock time by which all leases that are granted now must have
        expired.
    :param inherited_lease_expiry_ms: returns the clock time by which every lease from an earlier
        planner has certainly expired, as far as is known now.
    :ivar boot_ms: wall clock of the runner's start as last reported, 0 if unknown.
    :ivar acknowledged: number of the last end that is stored, acknowledged with the next poll.
    :ivar last_handled: number of the last end that the planner has processed.
    :ivar listed_ends: number of ends in the last report.
    :ivar lists_all_ends: whether the last report listed all ends that are not acknowledged.
    :ivar report_gap_ms: time between the last two reports, -1 before the second one.
    :ivar unmatched_ends: numbers of unacknowledged ends that matched no run known to the planner.
    :ivar last_alive_ms: time of the last sign of life of the runner's process, an answer or the
        break of a connection on which it was due to answer later; ``None`` without one.
    :ivar listed: whether the platform's list of runners names this runner.
    :ivar left: whether the platform's list shows that the runner has left as it had announced.
    :ivar suspended: whether the runner gets no new tasks, as its entry in the list is not usable.
    :ivar withheld: numbers of ends that must never be acknowledged to this process of the runner.
    """

    def __init__(
        self,
        runner: Runner,
        term: int,
        runner_client: RunnerClient,
        clock: Clock,
        lease_ms: int,
        lease_bound_ms: float,
        initial_lease_expiry_ms: float,
        on_report: Callable[["RunnerLink", RunnerReport, float], None],
        on_fenced: Callable[["RunnerLink"], None],
        on_unreachable: Callable[["RunnerLink"], None],
        on_replaced: Callable[["RunnerLink"], None] = lambda link: None,
        on_process_ended: Callable[
            ["RunnerLink", RunnerReport | None, float], None
        ] = lambda link, report, sent_ms: None,
        moved: bool = False,
        lease_limit_ms: Callable[[], float] = lambda: math.inf,
        inherited_lease_expiry_ms: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self.runner = runner
        self._term = term
        self._runner_client = runner_client
        self._clock = clock
        self._lease_ms = lease_ms
        self._lease_bound_ms = lease_bound_ms
        self._lease_limit_ms = lease_limit_ms
        self._inherited_lease_expiry_ms = inherited_lease_expiry_ms
        self._on_report = on_report
        self._on_fenced = on_fenced
        self._on_unreachable = on_unreachable
        self._on_replaced = on_replaced
        self._on_process_ended = on_process_ended
        self._address_confirmed = not moved
        self._replacement_noted = False
        self._replaced_ms: float | None = None
        self._order_limiter = OrderLimiter()
        self._pending_poll: asyncio.Future | None = None
        self._own_lease_expiry_ms = initial_lease_expiry_ms
        self.boot_ms = 0
        self.last_report_ms: float | None = None
        self.last_alive_ms: float | None = None
        self.listed_ends = 0
        self.lists_all_ends = False
        self.report_gap_ms = -1.0
        self.reachable = False
        self.acknowledged = 0
        self.last_handled = 0
        self.unmatched_ends: list[int] = []
        self._clock_sample: tuple[int, float] | None = None
        self._clock_fell_back_ms: float | None = None
        self.ends_stored = asyncio.Event()
        self.listed = True
        self.left = False
        self.suspended = False
        self.withheld: set[int] = set()

    @property
    def usable(self) -> bool:
        """Return whether the runner is listed, answers polls and may get new tasks."""
        if not self.reachable or self.last_report_ms is None:
            return False
        if not self.listed or self.suspended:
            return False
        return self._clock.now_ms() - self.last_report_ms < MAX_REPORT_AGE_MS

    @property
    def lease_expiry_ms(self) -> float:
        """Return the clock time by which every lease of the runner has certainly expired."""
        return max(self._own_lease_expiry_ms, self._inherited_lease_expiry_ms())

    @property
    def replaced(self) -> bool:
        """Return whether another process answers polls at the runner's address.

        All runs that the link's runner was sent have ended then, and none can begin: starts that
        are carried out late name the process that has ended.
        """
        return self._replaced_ms is not None

    @property
    def process_ended(self) -> bool:
        """Return whether the runner's process, and so every task on it, has certainly ended.

        Refused connections show nothing, whether the runner is leaving or not: the network may
        refuse them for a process that runs on.
        """
        return self.replaced or self.left and not self.reachable

    @property
    def has_unstored_ends(self) -> bool:
        """Return whether processed ends of the runner are not stored yet."""
        return self.unacknowledged_ends > 0

    @property
    def unacknowledged_ends(self) -> int:
        """Return the number of processed ends that are not acknowledged."""
        return self.last_handled - self.acknowledged

    @property
    def withholds_all_ends(self) -> bool:
        """Return whether no further end of the process can be acknowledged.

        Ends that do not fit in its reports are never listed then.
        """
        return min(self.withheld, default=math.inf) <= self.acknowledged + 1

    def report_age_ms(self) -> float:
        """Return the time since the last report, -1 if there was none."""
        return -1.0 if self.last_report_ms is None else self._clock.now_ms() - self.last_report_ms

    def lease_until_ms(self) -> int:
        """Return the end of a lease that starts now, on the runner's clock in ms.

        Returns 0 while the runner's clock is unknown, or if no lease may be granted now. The expiry
        by this instance's clock allows for twice the largest drift and a margin.
        """
        now_ms = self._clock.now_ms()
        lease_ms = min(self._lease_ms, self._lease_limit_ms() - now_ms)
        if self._clock_sample is None or lease_ms <= 0:
            return 0
        clock_ms, at_ms = self._clock_sample
        until_ms = clock_ms + (now_ms - at_ms) + lease_ms
        lease_expiry_ms = (
            at_ms + (until_ms - clock_ms) * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS
        )
        self._own_lease_expiry_ms = max(self._own_lease_expiry_ms, lease_expiry_ms)
        return int(until_ms)

    def lease_expired(self) -> bool:
        """Return whether the runner's lease has expired, so that no task on it can still run."""
        return self._clock.now_ms() > self.lease_expiry_ms

    def _sample_clock(self, clock_ms: int, sent_ms: float) -> None:
        """Record the runner's clock as of now.

        :param clock_ms: time on the runner's clock in an answer.
        :param sent_ms: clock time at which the request was sent.
        """
        now_ms = self._clock.now_ms()
        if self._clock_sample is not None:
            sampled_ms, at_ms = self._clock_sample
            # Answers may overtake each other, but none is older than its request.
            overtaken_ms = max(0.0, at_ms - sent_ms) * (1 + 2 * MAX_CLOCK_DRIFT)
            if clock_ms + overtaken_ms < sampled_ms:
                log.warning("runner_clock_fell_back", runner=self.runner.id, clock_ms=clock_ms)
                self._clock_fell_back_ms = now_ms
                self._extend_lease_expiry()
        self._clock_sample = (clock_ms, now_ms)

    def _extend_lease_expiry(self) -> None:
        """Allow for the longest lease, as a new process may have been sent one on the old clock."""
        self._own_lease_expiry_ms = max(
            self._own_lease_expiry_ms, self._clock.now_ms() + self._lease_bound_ms
        )

    def withhold(self, number: int) -> None:
        """Exclude an end, and so all later ones, from acknowledgement."""
        self.withheld.add(number)

    def acknowledge_through(self, number: int) -> None:
        """Acknowledge the ends up to a number with the next poll, except withheld ones."""
        number = min([number, *(one - 1 for one in self.withheld)])
        if number > self.acknowledged:
            covered = sum(1 for end in self.unmatched_ends if end <= number)
            if covered:
                self.unmatched_ends = [end for end in self.unmatched_ends if end > number]
                log.info(
                    "ends_acknowledged",
                    runner=self.runner.id,
                    through=number,
                    ends=number - self.acknowledged,
                    unmatched=covered,
                )
            self.acknowledged = number
            self.ends_stored.set()

    async def send_order(
        self, order: Callable[[], Awaitable[int]], is_needed: Callable[[], bool]
    ) -> int | None:
        """Send an order to the runner once it may get one more.

        The runner's clock is recorded from the answer.

        :param order: sends the order and returns the runner's clock in ms.
        :param is_needed: checked when the order's turn has come.
        :return: the runner's clock in ms, ``None`` if the order is no longer needed.
        :raises RunnerError: the runner refused the order or did not answer.
        """
        async with self._order_limiter.admit():
            if not is_needed():
                return None
            sent_ms = self._clock.now_ms()
            try:
                clock_ms = await order()
            except RunnerRefusedError as error:
                if error.reason == OTHER_PROCESS:
                    self._note_replacement("order")
                raise
            self._order_limiter.note_answer()
            self._sample_clock(clock_ms, sent_ms)
            if self._clock_fell_back_ms is None:
                self.last_alive_ms = self._clock.now_ms()
            return clock_ms

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._poll(POLL_WAIT_MS if self.reachable and not self.has_unstored_ends else 0)
            if not self.reachable:
                gone = not self.listed and self.lease_expired()
                await self._clock.sleep_ms(
                    UNLISTED_POLL_INTERVAL_MS if gone else FAILED_POLL_INTERVAL_MS
                )
            elif self.has_unstored_ends:
                self.ends_stored.clear()
                await wait_event(self.ends_stored, UNSTORED_POLL_INTERVAL_MS)

    async def poll_now(self) -> None:
        """Poll once, concurrently with the long poll; calls close together share one poll."""
        if self._pending_poll is None:
            self._pending_poll = asyncio.ensure_future(self._poll_coalesced())
        await asyncio.shield(self._pending_poll)

    async def _poll_coalesced(self) -> None:
        await self._clock.sleep_ms(POLL_COALESCE_MS)
        # Later callers need a poll that is sent after their call.
        self._pending_poll = None
        await self._poll(0)

    async def _poll(self, wait_ms: int) -> None:
        sent_ms = self._clock.now_ms()
        boot_ms = self.boot_ms
        # The lease of an unreachable runner is not renewed, as its tasks can only be rescheduled
        # after it expires.
        lease_until_ms = self.lease_until_ms() if self.reachable else 0
        # The process may be a new one, whose ends have the numbers of those acknowledged before.
        confirmed = self.reachable and self._clock_fell_back_ms is None
        acknowledged = self.acknowledged if confirmed else 0
        try:
            report = await self._runner_client.hold(
                self.runner, self._term, acknowledged, lease_until_ms, wait_ms
            )
        except RunnerRefusedError as error:
            if error.reason == "fence":
                self._on_fenced(self)
            self._handle_failure(error)
            if error.reason == OTHER_PROCESS:
                self._handle_replacement(sent_ms)
            return
        except RunnerError as error:
            self._note_break(error, sent_ms + wait_ms)
            self._handle_failure(error)
            return
        except Exception as error:
            self._handle_failure(RunnerUnansweredError(f"unexpected {type(error).__name__}"))
            raise
        if self.boot_ms != boot_ms and report.boot_ms < self.boot_ms:
            # A new process has reported since this poll was sent. Without such a report an earlier
            # boot_ms shows a wall clock that was set back.
            log.info("late_report_dropped", runner=self.runner.id, boot_ms=report.boot_ms)
            return
        if self._replaced_ms is not None and sent_ms <= self._replaced_ms:
            # The process has ended since this poll was sent.
            log.info("late_report_dropped", runner=self.runner.id, boot_ms=report.boot_ms)
            return
        self._sample_clock(report.clock_ms, sent_ms)
        if self._clock_fell_back_ms is not None and sent_ms >= self._clock_fell_back_ms:
            self._clock_fell_back_ms = None
        self._address_confirmed = True
        self._replacement_noted = False
        self._replaced_ms = None
        if not self.reachable:
            log.info("runner_reached", runner=self.runner.id, clock_ms=report.clock_ms)
        self.reachable = True
        self.report_gap_ms = self.report_age_ms()
        self.last_report_ms = self._clock.now_ms()
        restarted = self.boot_ms != 0 and report.boot_ms != self.boot_ms
        if restarted:
            log.warning("runner_restarted", runner=self.runner.id, boot_ms=report.boot_ms)
            self.acknowledged = 0
            self.last_handled = 0
            self.unmatched_ends.clear()
            self.withheld.clear()
            self._clock_fell_back_ms = None
            self._extend_lease_expiry()
        self.boot_ms = report.boot_ms
        if restarted:
            self._on_process_ended(self, report, sent_ms)
        self.last_alive_ms = self.last_report_ms
        self.listed_ends = len(report.ended)
        self.lists_all_ends = report.lists_all_ends
        self._on_report(self, report, sent_ms)

    def _note_break(self, error: RunnerError, due_ms: float) -> None:
        """Note that the process was alive until now if the connection of a poll broke.

        :param due_ms: clock time before which the poll cannot have timed out.
        """
        not_connected = isinstance(error, RunnerNotListeningError | RunnerNotSentError)
        if self.reachable and not not_connected and self._clock.now_ms() < due_ms:
            self.last_alive_ms = self._clock.now_ms()

    def _handle_replacement(self, sent_ms: float) -> None:
        """Handle a poll that another process refused.

        :param sent_ms: clock time at which the poll was sent.
        """
        self._note_replacement("poll")
        overtaken = self.last_report_ms is not None and self.last_report_ms > sent_ms
        if self.replaced or overtaken or not self._address_confirmed:
            return
        self._replaced_ms = self._clock.now_ms()
        self._on_process_ended(self, None, self._replaced_ms)

    def _note_replacement(self, call: str) -> None:
        """Log once that the runner's address answers for another process."""
        if self._replacement_noted:
            return
        self._replacement_noted = True
        log.warning(
            "runner_replaced",
            runner=self.runner.id,
            address=self.runner.address,
            call=call,
            report_age_ms=round(self.report_age_ms()),
            listed=self.listed,
        )
        self._on_replaced(self)

    def _handle_failure(self, error: RunnerError) -> None:
        if self.reachable:
            log.warning("runner_unreachable", runner=self.runner.id, error=str(error))
            self._on_unreachable(self)
        self.reachable = False
