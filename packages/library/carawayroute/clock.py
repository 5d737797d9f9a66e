"""Time in milliseconds."""

import asyncio
import time


class Clock:
    """Tell the time and wait, in milliseconds, by the clock of the running event loop.

    :param wall_offset_ms: added to the loop's time to give the wall clock.
    """

    __slots__ = ("_wall_offset_ms",)

    def __init__(self, wall_offset_ms: float | None = None) -> None:
        if wall_offset_ms is None:
            wall_offset_ms = time.time() * 1000 - time.monotonic() * 1000
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self) -> float:
        """Return the monotonic time."""
        return asyncio.get_running_loop().time() * 1000

    def wall_ms(self) -> int:
        """Return the wall clock as milliseconds since 1970."""
        return int(self.now_ms() + self._wall_offset_ms)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait."""
        await asyncio.sleep(max(0.0, duration_ms) / 1000)


class ManualClock(Clock):
    """A clock that stands still until it is set, for use without an event loop."""

    __slots__ = ("ms",)

    def __init__(self, ms: float = 0.0) -> None:
        super().__init__(0.0)
        self.ms = ms

    def now_ms(self) -> float:
        """Return the time that was set."""
        return self.ms
