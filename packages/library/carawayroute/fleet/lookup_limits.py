"""Limits lookups at other instances while none of them can read the store."""

import math
from collections.abc import Callable

from carawayroute.clock import Clock
from carawayroute.retries import RetryBudget

# Lookups a second while no peer can tell. Any of them may find one that can again. Lookups of jobs
# that this instance does not know are counted separately: a peer may know them without the store.
STATE_LOOKUPS_PER_S = 1.0
JOB_LOOKUPS_PER_S = 1.0
MAX_JOB_LOOKUPS_AT_ONCE = 2.0


class LookupLimits:
    """Limits lookups after one at which peers could not tell, until a peer or the store can.

    :param store_answered_ms: returns the clock time at which the store last answered this instance.
    :ivar unable_ms: clock time at which peers were last found unable to tell.
    """

    __slots__ = ("_clock", "_jobs", "_limited", "_states", "_store_answered_ms", "unable_ms")

    def __init__(self, clock: Clock, store_answered_ms: Callable[[], float]) -> None:
        self._clock = clock
        self._store_answered_ms = store_answered_ms
        self._limited = False
        self.unable_ms = -math.inf
        self._states = RetryBudget(clock)
        self._jobs = RetryBudget(clock)

    @property
    def limited(self) -> bool:
        """Return whether peers could not tell and neither one nor the store has answered since."""
        if self._limited and self._store_answered_ms() > self.unable_ms:
            self._limited = False
        return self._limited

    def take_state_lookup(self) -> bool:
        """Return whether a lookup of a job's state or of counts may ask peers."""
        return not self.limited or self._states.try_withdraw()

    def take_job_lookup(self) -> bool:
        """Return whether a lookup of an unknown job may ask peers."""
        return not self.limited or self._jobs.try_withdraw()

    def note_unable(self) -> None:
        """Note that peers could not tell."""
        if not self.limited:
            self._limited = True
            self._states = RetryBudget(self._clock, burst=1.0, per_second=STATE_LOOKUPS_PER_S)
            # This lookup was the first one.
            self._states.try_withdraw()
            self._jobs = RetryBudget(
                self._clock, burst=MAX_JOB_LOOKUPS_AT_ONCE, per_second=JOB_LOOKUPS_PER_S
            )
        self.unable_ms = self._clock.now_ms()

    def note_able(self) -> None:
        """Note that a peer has read the store for a lookup."""
        self._limited = False
