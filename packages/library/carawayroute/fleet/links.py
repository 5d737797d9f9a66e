"""The planner's link to one runner: its lease, what it reports, and acknowledged ends."""

import asyncio
from collections.abc import Callable

import structlog

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import RunnerError, RunnerNotListeningError, RunnerRefusedError
from carawayroute.fleet.ports import RunnerClient
from carawayroute.fleet.types import Runner, RunnerReport
from carawayroute.misc import wait_event

# A look waits this long for an end, and the lease is extended with every look.
POLL_WAIT_MS = 1_000
# While ends wait to be stored, looks that extend the lease come at this interval.
UNSTORED_POLL_INTERVAL_MS = 300
FAILED_POLL_INTERVAL_MS = 150
# Questions after runs that come within this time are answered by one look.
POLL_COALESCE_MS = 15
# Runners' clocks may be this much slow.
MAX_CLOCK_DRIFT = 0.02
LEASE_MARGIN_MS = 150
# A runner whose connections are refused for this long, twice or more, has ended; looks come
# every FAILED_LOOK_WAIT_MS meanwhile, and a process that starts anew listens sooner or later.
NOT_LISTENING_MS = 250
NOT_LISTENING_POLLS = 2
# A runner without a good look for longer gets nothing new.
MAX_REPORT_AGE_MS = 2_600

log = structlog.get_logger()


class RunnerLink:
    """Look at a runner for as long as the planner holds its term.

    :param lease_ms: length of the lease that each look asks for.
    :param first_lapse_ms: when every lease of an earlier planner has lapsed for certain.
    :param on_report: takes a report and the time when the look was sent.
    :param on_fenced: called when the runner knows a newer term.
    :param on_lost: called when the runner stops answering.
    """

    def __init__(
        self,
        runner: Runner,
        term: int,
        runner_client: RunnerClient,
        clock: Clock,
        lease_ms: int,
        initial_lease_expiry_ms: float,
        on_report: Callable[["RunnerLink", RunnerReport, float], None],
        on_fenced: Callable[["RunnerLink"], None],
        on_unreachable: Callable[["RunnerLink"], None],
    ) -> None:
        self.runner = runner
        self._term = term
        self._runner_client = runner_client
        self._clock = clock
        self._lease_ms = lease_ms
        self._on_report = on_report
        self._on_fenced = on_fenced
        self._on_unreachable = on_unreachable
        self._refused_polls = 0
        self._refused_since_ms = 0.0
        self._pending_poll: asyncio.Future | None = None
        self.lease_expiry_ms = initial_lease_expiry_ms
        self.boot_ms = 0
        self.last_report_ms: float | None = None
        self.reachable = False
        self.acknowledged = 0
        self.last_handled = 0
        self._clock_sample: tuple[int, float] | None = None
        self.ends_stored = asyncio.Event()
        self.listed = True

    @property
    def usable(self) -> bool:
        """Return whether the runner answers and may get work."""
        if not self.reachable or self.last_report_ms is None or not self.listed:
            return False
        return self._clock.now_ms() - self.last_report_ms < MAX_REPORT_AGE_MS

    @property
    def gone(self) -> bool:
        """Return whether the runner's process has certainly ended, and all that it ran."""
        if self._refused_polls < NOT_LISTENING_POLLS:
            return False
        return self._clock.now_ms() - self._refused_since_ms >= NOT_LISTENING_MS

    @property
    def has_unstored_ends(self) -> bool:
        """Return whether ends of the runner are not in the store yet."""
        return self.last_handled > self.acknowledged

    def lease_until_ms(self) -> int:
        """Return the end of a lease from now on by the runner's clock, 0 while it is unknown."""
        if self._clock_sample is None:
            return 0
        clock_ms, at_ms = self._clock_sample
        until_ms = clock_ms + (self._clock.now_ms() - at_ms) + self._lease_ms
        lease_expiry_ms = (
            at_ms + (until_ms - clock_ms) * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS
        )
        self.lease_expiry_ms = max(self.lease_expiry_ms, lease_expiry_ms)
        return int(until_ms)

    def lapsed(self) -> bool:
        """Return whether nothing that was started there can still run."""
        return self._clock.now_ms() > self.lease_expiry_ms

    def sample_clock(self, clock_ms: int) -> None:
        """Remember what a runner's clock showed just now."""
        self._clock_sample = (clock_ms, self._clock.now_ms())

    def acknowledge_through(self, number: int) -> None:
        """Acknowledge ends up to a number with the next look."""
        if number > self.acknowledged:
            self.acknowledged = number
            self.ends_stored.set()

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await self._poll(POLL_WAIT_MS if self.reachable and not self.has_unstored_ends else 0)
            if not self.reachable:
                await self._clock.sleep_ms(FAILED_POLL_INTERVAL_MS)
            elif self.has_unstored_ends:
                self.ends_stored.clear()
                await wait_event(self.ends_stored, UNSTORED_POLL_INTERVAL_MS)

    async def poll_now(self) -> None:
        """Look once, beside the look that waits for an end; callers of one moment share it."""
        if self._pending_poll is None:
            self._pending_poll = asyncio.ensure_future(self._poll_coalesced())
        await asyncio.shield(self._pending_poll)

    async def _poll_coalesced(self) -> None:
        await self._clock.sleep_ms(POLL_COALESCE_MS)
        # Whoever asks from now on wants a look that is sent later.
        self._pending_poll = None
        await self._poll(0)

    async def _poll(self, wait_ms: int) -> None:
        sent_ms = self._clock.now_ms()
        boot_ms = self.boot_ms
        # A runner out of reach gets no longer lease, or its work could never be given up.
        lease_until_ms = self.lease_until_ms() if self.reachable else 0
        try:
            report = await self._runner_client.hold(
                self.runner, self._term, self.acknowledged, lease_until_ms, wait_ms
            )
        except RunnerRefusedError as error:
            if error.reason == "fence":
                self._on_fenced(self)
            self._handle_failure(error)
            return
        except RunnerError as error:
            self._handle_failure(error)
            return
        self.sample_clock(report.clock_ms)
        self._refused_polls = 0
        if not self.reachable:
            log.info("runner_reached", runner=self.runner.id, clock_ms=report.clock_ms)
        self.reachable = True
        self.last_report_ms = self._clock.now_ms()
        if boot_ms and report.boot_ms != boot_ms:
            log.warning("runner_reborn", runner=self.runner.id, boot_ms=report.boot_ms)
            self.acknowledged = 0
            self.last_handled = 0
        self.boot_ms = report.boot_ms
        self._on_report(self, report, sent_ms)

    def _handle_failure(self, error: RunnerError) -> None:
        if self.reachable:
            log.warning("runner_lost", runner=self.runner.id, error=str(error))
            self._on_unreachable(self)
        self.reachable = False
        if not isinstance(error, RunnerNotListeningError):
            self._refused_polls = 0
            return
        if not self._refused_polls:
            self._refused_since_ms = self._clock.now_ms()
        self._refused_polls += 1
        if self._refused_polls == NOT_LISTENING_POLLS:
            log.warning("runner_absent", runner=self.runner.id, error=str(error))
