"""Which instance plans for a region, and the fencing token that its orders carry."""

from carawayroute.clock import Clock
from carawayroute.misc import rendezvous
from carawayroute.state import State
from carawayroute.types import FencingToken


class LeaderElection:
    """Decide when an instance should hold a region's term.

    While the log answers, a term is a record that only counts as one more than the term before
    it. While it does not, no newer term can appear: the holder goes on, and if it falls silent
    the next instance in a fixed rank acts under the same number with a step of its own. Workers
    obey a higher step only after their lease with the earlier holder lapsed.

    :param timeout_ms: silence after which a holder counts as dead.
    """

    __slots__ = (
        "_clock",
        "_last_message_ms_by_id",
        "_started_ms",
        "instance",
        "region",
        "timeout_ms",
    )

    def __init__(self, clock: Clock, instance: str, region: str, timeout_ms: float) -> None:
        self._clock = clock
        self.instance = instance
        self.region = region
        self.timeout_ms = timeout_ms
        self._last_message_ms_by_id: dict[str, float] = {}
        self._started_ms = clock.now_ms()

    def record_message(self, instance: str) -> None:
        """Note a message from a peer."""
        self._last_message_ms_by_id[instance] = self._clock.now_ms()

    def is_timed_out(self, instance: str) -> bool:
        """Return whether an instance has not been heard of within the timeout."""
        if instance == self.instance:
            return False
        last_message_ms = self._last_message_ms_by_id.get(instance, self._started_ms)
        return self._clock.now_ms() - last_message_ms > self.timeout_ms

    def succession_order(self, entries: list[str]) -> list[str]:
        """Return the instances in the order in which they take the term."""
        return rendezvous(f"planner/{self.region}", entries)

    def should_take_term(self, state: State, entries: list[str], leaving: bool) -> bool:
        """Return whether this instance is next: all before it in rank are silent."""
        if leaving:
            return False
        term = state.terms_by_region.get(self.region)
        holder = term.holder if term is not None else ""
        if holder == self.instance:
            # This instance held the term before a restart; a new one fences what it left behind.
            return True
        if holder in entries and not self.is_timed_out(holder):
            return False
        for candidate in self.succession_order(entries):
            if candidate == self.instance:
                return True
            if not self.is_timed_out(candidate):
                return False
        return False

    def token_without_log(self, state: State, entries: list[str]) -> FencingToken:
        """Return the token under which this instance acts while no term can be recorded."""
        term = state.terms_by_region.get(self.region)
        number = term.number if term else 0
        order = self.succession_order(entries)
        step = order.index(self.instance) + 1 if self.instance in order else len(order) + 1
        return (number, step)
