"""The planner's link to one runner: its lease, what it reports, and acknowledged ends."""

import asyncio
from collections.abc import Callable

import structlog

from carawayroute.clock import Clock
from carawayroute.fleet.exceptions import RunnerAbsentError, RunnerError, RunnerRefusedError
from carawayroute.fleet.ports import RunnerOrders
from carawayroute.fleet.types import Runner, RunnerReport
from carawayroute.misc import wait_event

# A look waits this long for an end, and the lease is extended with every look.
LOOK_WAIT_MS = 1_000
# While ends wait to be stored, looks that extend the lease come at this interval.
UNSTORED_WAIT_MS = 300
FAILED_LOOK_WAIT_MS = 150
# Questions after runs that come within this time are answered by one look.
SHARED_LOOK_MS = 15
# Runners' clocks may be this much slow.
CLOCK_SLOWNESS = 0.02
LEASE_MARGIN_MS = 150
# A runner whose connections are refused for this long, twice or more, has ended; looks come
# every FAILED_LOOK_WAIT_MS meanwhile, and a process that starts anew listens sooner or later.
ABSENT_MS = 250
ABSENT_LOOKS = 2
# A runner without a good look for longer gets nothing new.
SILENT_MS = 2_600

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
        orders: RunnerOrders,
        clock: Clock,
        lease_ms: int,
        first_lapse_ms: float,
        on_report: Callable[["RunnerLink", RunnerReport, float], None],
        on_fenced: Callable[["RunnerLink"], None],
        on_lost: Callable[["RunnerLink"], None],
    ) -> None:
        self.runner = runner
        self._term = term
        self._orders = orders
        self._clock = clock
        self._lease_ms = lease_ms
        self._on_report = on_report
        self._on_fenced = on_fenced
        self._on_lost = on_lost
        self._absent_looks = 0
        self._absent_since_ms = 0.0
        self._shared_look: asyncio.Future | None = None
        self.lapse_ms = first_lapse_ms
        self.boot_ms = 0
        self.seen_ms: float | None = None
        self.reachable = False
        self.acknowledged = 0
        self.handled = 0
        self._clock_sample: tuple[int, float] | None = None
        self.stored = asyncio.Event()
        self.listed = True

    @property
    def usable(self) -> bool:
        """Return whether the runner answers and may get work."""
        if not self.reachable or self.seen_ms is None or not self.listed:
            return False
        return self._clock.now_ms() - self.seen_ms < SILENT_MS

    @property
    def gone(self) -> bool:
        """Return whether the runner's process has certainly ended, and all that it ran."""
        if self._absent_looks < ABSENT_LOOKS:
            return False
        return self._clock.now_ms() - self._absent_since_ms >= ABSENT_MS

    @property
    def unstored(self) -> bool:
        """Return whether ends of the runner are not in the store yet."""
        return self.handled > self.acknowledged

    def lease_until_ms(self) -> int:
        """Return the end of a lease from now on by the runner's clock, 0 while it is unknown."""
        if self._clock_sample is None:
            return 0
        clock_ms, at_ms = self._clock_sample
        until_ms = clock_ms + (self._clock.now_ms() - at_ms) + self._lease_ms
        lapse_ms = at_ms + (until_ms - clock_ms) * (1 + 2 * CLOCK_SLOWNESS) + LEASE_MARGIN_MS
        self.lapse_ms = max(self.lapse_ms, lapse_ms)
        return int(until_ms)

    def lapsed(self) -> bool:
        """Return whether nothing that was started there can still run."""
        return self._clock.now_ms() > self.lapse_ms

    def take_clock(self, clock_ms: int) -> None:
        """Remember what a runner's clock showed just now."""
        self._clock_sample = (clock_ms, self._clock.now_ms())

    def store_through(self, number: int) -> None:
        """Acknowledge ends up to a number with the next look."""
        if number > self.acknowledged:
            self.acknowledged = number
            self.stored.set()

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await self._look(LOOK_WAIT_MS if self.reachable and not self.unstored else 0)
            if not self.reachable:
                await self._clock.sleep_ms(FAILED_LOOK_WAIT_MS)
            elif self.unstored:
                self.stored.clear()
                await wait_event(self.stored, UNSTORED_WAIT_MS)

    async def look_now(self) -> None:
        """Look once, beside the look that waits for an end; callers of one moment share it."""
        if self._shared_look is None:
            self._shared_look = asyncio.ensure_future(self._look_soon())
        await asyncio.shield(self._shared_look)

    async def _look_soon(self) -> None:
        await self._clock.sleep_ms(SHARED_LOOK_MS)
        # Whoever asks from now on wants a look that is sent later.
        self._shared_look = None
        await self._look(0)

    async def _look(self, wait_ms: int) -> None:
        sent_ms = self._clock.now_ms()
        boot_ms = self.boot_ms
        # A runner out of reach gets no longer lease, or its work could never be given up.
        lease_until_ms = self.lease_until_ms() if self.reachable else 0
        try:
            report = await self._orders.hold(
                self.runner, self._term, self.acknowledged, lease_until_ms, wait_ms
            )
        except RunnerRefusedError as error:
            if error.reason == "fence":
                self._on_fenced(self)
            self._note_lost(error)
            return
        except RunnerError as error:
            self._note_lost(error)
            return
        self.take_clock(report.clock_ms)
        self._absent_looks = 0
        if not self.reachable:
            log.info("runner_reached", runner=self.runner.id, clock_ms=report.clock_ms)
        self.reachable = True
        self.seen_ms = self._clock.now_ms()
        if boot_ms and report.boot_ms != boot_ms:
            log.warning("runner_reborn", runner=self.runner.id, boot_ms=report.boot_ms)
            self.acknowledged = 0
            self.handled = 0
        self.boot_ms = report.boot_ms
        self._on_report(self, report, sent_ms)

    def _note_lost(self, error: RunnerError) -> None:
        if self.reachable:
            log.warning("runner_lost", runner=self.runner.id, error=str(error))
            self._on_lost(self)
        self.reachable = False
        if not isinstance(error, RunnerAbsentError):
            self._absent_looks = 0
            return
        if not self._absent_looks:
            self._absent_since_ms = self._clock.now_ms()
        self._absent_looks += 1
        if self._absent_looks == ABSENT_LOOKS:
            log.warning("runner_absent", runner=self.runner.id, error=str(error))
