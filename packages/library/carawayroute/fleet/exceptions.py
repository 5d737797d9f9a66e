"""Exceptions of the fleet's ports."""

from carawayroute.exceptions import CarawayrouteError


class StoreError(CarawayrouteError):
    """The platform's store did not do what was asked."""


class StoreRefusedError(StoreError):
    """The store certainly did nothing: it is busy, full, or turns this instance away."""


class StoreUnansweredError(StoreError):
    """No answer came; the call may have taken effect, or may do so later."""


class StoreConflictError(StoreError):
    """The partition does not end where the condition says.

    :param end: offset at which it ends, -1 where unknown.
    """

    def __init__(self, end: int) -> None:
        super().__init__(f"the partition ends at {end}")
        self.end = end


class StoreFencedError(StoreError):
    """A producer with a higher epoch has written."""


class StoreSequenceError(StoreError):
    """The number of an append does not follow the one before.

    :param expected: number that the store waits for.
    """

    def __init__(self, expected: int) -> None:
        super().__init__(f"the store expects append {expected}")
        self.expected = expected


class StoreTrimmedError(StoreError):
    """The records asked for are no longer kept.

    :param first: first offset that is.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"the partition starts at {first}")
        self.first = first


class RunnerError(CarawayrouteError):
    """A runner did not do what was asked."""


class RunnerUnansweredError(RunnerError):
    """No answer came; the order may have been carried out, or may be later."""


class RunnerNotListeningError(RunnerUnansweredError):
    """Nothing listens at the runner's address: its process has ended, and all that it ran."""


class RunnerRefusedError(RunnerError):
    """The runner did nothing.

    :param reason: ``fence``, ``old``, ``late``, ``room``, ``ticket``, ``boot`` (it was started
        again), ``unhealthy`` or ``invalid``.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class TermLostError(CarawayrouteError):
    """Another instance holds the planner's term."""


class FormatError(CarawayrouteError):
    """What another writer put in the store cannot be read."""
