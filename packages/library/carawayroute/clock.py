"""Monotonic and wall-clock time in milliseconds."""

import asyncio
import time


class Clock:
    """Clock of the running event loop.

    :param wall_offset_ms: difference between the wall clock and the loop's monotonic clock;
        by default that of the system clocks.
    """

    __slots__ = ("_suspended_before_ms", "_wall_offset_ms")

    def __init__(self, wall_offset_ms: float | None = None) -> None:
        if wall_offset_ms is None:
            wall_offset_ms = time.time() * 1000 - time.monotonic() * 1000
        self._wall_offset_ms = wall_offset_ms
        self._suspended_before_ms = suspended_ms()

    def now_ms(self) -> float:
        """Return the loop's monotonic time."""
        return asyncio.get_running_loop().time() * 1000

    def now_with_suspensions_ms(self) -> float:
        """Return the loop's monotonic time, which goes on while the machine is suspended."""
        return self.now_ms() + suspended_ms() - self._suspended_before_ms

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds since the Unix epoch."""
        return int(self.now_ms() + self._wall_offset_ms)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep; a duration of zero or less only yields to the event loop."""
        await asyncio.sleep(max(0.0, duration_ms) / 1000)


def suspended_ms() -> float:
    """Return for how long the machine has been suspended since it was started."""
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return (boot_s - time.clock_gettime(time.CLOCK_MONOTONIC)) * 1000


class ManualClock(Clock):
    """Clock that only changes when ``ms`` is set, for use without an event loop."""

    __slots__ = ("ms",)

    def __init__(self, ms: float = 0.0) -> None:
        super().__init__(0.0)
        self.ms = ms

    def now_ms(self) -> float:
        """Return the value of ``ms``."""
        return self.ms
