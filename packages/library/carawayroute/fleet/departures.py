"""Tells runners that have left, that fell silent and that live, by the platform's list.

The platform removes an entry when its runner has left, or after three heartbeat intervals of
silence, at times also while the store is down. So a removal soon after the entry's last write is a
departure, and a later one shows nothing: the runner may be cut off and run on.

An entry shows that its runner lives only while it is renewed: it may outlast its runner by three
intervals, and for as long as the store is away.
"""

import math
from collections.abc import Callable

from carawayroute.clock import Clock

# Well below the three intervals after which silent entries are removed.
LEFT_HEARTBEATS = 2
# Intervals of silence after which the platform removes an entry.
SILENT_HEARTBEATS = 3
# Entries of a list that was last read longer ago age as if they were not renewed.
MAX_LIST_AGE_MS = 2_500
# Two clocks that are read one after the other differ by less.
CLOCK_RESOLUTION_MS = 10


class Departures:
    """Times after which the entries of the list were written.

    :param heartbeat_ms: time between two writes of a runner's entry, 0 if it is not known; then
        nothing is a departure, and every entry shows that its runner lives.
    :param read_as_of_ms: returns the clock time as of which the list was last read completely. An
        entry that was not in it was written later.
    """

    __slots__ = (
        "_clock",
        "_entry_by_runner",
        "_heartbeat_ms",
        "_loaded_ms",
        "_read_as_of_ms",
        "_resumed_ms",
        "_suspended_ms",
    )

    def __init__(
        self, clock: Clock, heartbeat_ms: float, read_as_of_ms: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._heartbeat_ms = heartbeat_ms
        self._read_as_of_ms = read_as_of_ms
        self._entry_by_runner: dict[str, tuple[int, float]] = {}
        self._loaded_ms = -math.inf
        self._suspended_ms = self._suspensions_ms()
        self._resumed_ms = -math.inf

    def _suspensions_ms(self) -> float:
        return self._clock.now_with_suspensions_ms() - self._clock.now_ms()

    def note_entry(self, runner_id: str, offset: int) -> None:
        """Note an entry; one that is read again, as the list was loaded anew, was written before.

        :param offset: offset of its record.
        """
        if self._loaded_ms == -math.inf:
            self._loaded_ms = self._clock.now_ms()
        known_offset, _ = self._entry_by_runner.get(runner_id, (-1, 0.0))
        if offset > known_offset:
            self._entry_by_runner[runner_id] = (offset, self._read_as_of_ms())

    def written_after_ms(self, runner_id: str) -> float:
        """Return the clock time after which an entry was last written, -infinite if unknown."""
        _, after_ms = self._entry_by_runner.get(runner_id, (-1, -math.inf))
        return after_ms

    def shows_alive(self, runner_id: str) -> bool:
        """Return whether a runner's entry was written within three heartbeat intervals.

        The time since the list was last read is not counted, up to `MAX_LIST_AGE_MS`. Entries of
        the first load count as written then, as their age is not known.
        """
        if not self._heartbeat_ms:
            return True
        as_of_ms = max(self._read_as_of_ms(), self._clock.now_ms() - MAX_LIST_AGE_MS)
        written_ms = max(self.written_after_ms(runner_id), self._loaded_ms)
        return as_of_ms - written_ms < SILENT_HEARTBEATS * self._heartbeat_ms

    def take_silence_ms(self, runner_id: str) -> float:
        """Forget an entry that is removed, and return for how long at most it was not written.

        Returns infinity if that is not known, as the machine was suspended in the meantime.
        """
        _, after_ms = self._entry_by_runner.pop(runner_id, (-1, -math.inf))
        suspended_ms = self._suspensions_ms()
        if suspended_ms - self._suspended_ms > CLOCK_RESOLUTION_MS:
            self._suspended_ms = suspended_ms
            self._resumed_ms = self._clock.now_ms()
        if after_ms <= self._resumed_ms:
            return math.inf
        return self._clock.now_ms() - after_ms

    def is_departure(self, draining: bool, silence_ms: float) -> bool:
        """Return whether the removal of an entry shows that its runner has left.

        :param draining: the runner had announced that it leaves.
        :param silence_ms: time at most from the entry's last write to its removal.
        """
        return draining and silence_ms < LEFT_HEARTBEATS * self._heartbeat_ms
