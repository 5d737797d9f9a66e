"""Withholds a planner's requests to runners after its process was paused.

Load pattern: a machine is frozen or suspended for seconds, or its processor is taken away. When the
process runs again, all its timers are due and requests that were about to be sent go out, although
another instance may hold the planner's term by then. Runners refuse requests with the older term
only once they have heard of the newer one.

After a pause nothing is sent before a heartbeat that was begun after it has come to its end. If
another instance has taken over, the heartbeat shows it and the planner ends.

Submissions that arrived in a pause may be older than their callers' deadlines; `PauseMeter` tells
by how much.
"""

from collections.abc import Awaitable, Callable

import structlog

from carawayroute.clock import Clock
from carawayroute.fleet.ports import RunnerClient
from carawayroute.fleet.types import Runner, RunnerReport

# Well above the longest scheduling pass, and below the time after which a silent planner is
# replaced.
MAX_PAUSE_MS = 1_000
NOTICE_INTERVAL_MS = 100
# What had arrived in a pause is read and handled within this time after it.
SETTLE_MS = 300

log = structlog.get_logger()


class PauseMeter:
    """Measures pauses of the process, during which its timers do not run."""

    __slots__ = ("_clock", "_ended_ms", "_last_ms", "_pause_ms")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_ms: float | None = None
        self._pause_ms = 0.0
        self._ended_ms = 0.0

    def notice(self) -> float:
        """Return the length of a pause since the last call in ms, 0 if there was none.

        Called several times a second while the process runs.
        """
        now_ms = self._clock.now_with_suspensions_ms()
        last_ms, self._last_ms = self._last_ms, now_ms
        if last_ms is None or now_ms - last_ms <= MAX_PAUSE_MS:
            return 0.0
        self._pause_ms = now_ms - last_ms
        self._ended_ms = now_ms
        return self._pause_ms

    def recent_ms(self) -> float:
        """Return for how long what is handled now may have waited in a pause, 0 without one."""
        self.notice()
        ended_for_ms = self._clock.now_with_suspensions_ms() - self._ended_ms
        return self._pause_ms if ended_for_ms < SETTLE_MS else 0.0

    async def run(self) -> None:
        """Notice pauses until cancelled."""
        while True:
            self.notice()
            await self._clock.sleep_ms(NOTICE_INTERVAL_MS)


class PauseGuard:
    """Notices that the process was paused, and waits until its permission is confirmed.

    :param confirm: returns once a heartbeat that begins after the call has ended; does not return
        if the permission is lost.
    :ivar pauses: number of pauses.
    """

    __slots__ = ("_confirm", "_meter", "_unconfirmed", "pauses")

    def __init__(self, clock: Clock, confirm: Callable[[], Awaitable[None]]) -> None:
        self._confirm = confirm
        self._meter = PauseMeter(clock)
        self._meter.notice()
        self._unconfirmed = 0
        self.pauses = 0

    def notice(self) -> None:
        """Notice a pause since the last call; called several times a second while it runs."""
        paused_ms = self._meter.notice()
        if not paused_ms:
            return
        self.pauses += 1
        self._unconfirmed = self.pauses
        log.warning("process_paused", paused_ms=round(paused_ms))

    async def wait_permitted(self) -> None:
        """Return once a request may be sent; at once unless the process was paused lately."""
        self.notice()
        while self._unconfirmed:
            pause = self._unconfirmed
            await self._confirm()
            if self._unconfirmed == pause:
                self._unconfirmed = 0
                log.info("term_confirmed_after_pause")
            self.notice()


class GuardedRunnerClient:
    """Runner client of a planner, which sends nothing after a pause until it is permitted."""

    __slots__ = ("_client", "_guard")

    def __init__(self, client: RunnerClient, guard: PauseGuard) -> None:
        self._client = client
        self._guard = guard

    async def start(
        self,
        runner: Runner,
        term: int,
        task: str,
        run: int,
        spec: str,
        checkpoint: str,
        lease_until_ms: int,
        ticket: str = "",
    ) -> int:
        """See `RunnerClient.start`."""
        await self._guard.wait_permitted()
        return await self._client.start(
            runner, term, task, run, spec, checkpoint, lease_until_ms, ticket
        )

    async def stop(self, runner: Runner, term: int, task: str, run: int) -> int:
        """See `RunnerClient.stop`."""
        await self._guard.wait_permitted()
        return await self._client.stop(runner, term, task, run)

    async def hold(
        self, runner: Runner, term: int, acknowledged: int, lease_until_ms: int, wait_ms: int
    ) -> RunnerReport:
        """See `RunnerClient.hold`."""
        await self._guard.wait_permitted()
        return await self._client.hold(runner, term, acknowledged, lease_until_ms, wait_ms)
