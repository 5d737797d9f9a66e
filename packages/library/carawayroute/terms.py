"""Leader election for the planner of a region, and its fencing token."""

from carawayroute.clock import Clock
from carawayroute.misc import rendezvous
from carawayroute.state import State
from carawayroute.types import FencingToken


class LeaderElection:
    """Decide when an instance should take a region's leadership term.

    While the log is reachable, a term is a log record, which takes effect only if its number is
    one above the current term's. While the log is unreachable, no new term can appear: the holder
    continues, and if it times out, the next instance in the succession order acts under the same
    number with its own step. Workers accept a higher step only after the lease of the previous
    holder has expired.

    :param timeout_ms: time without a message after which an instance is presumed dead.
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
        """Record that a message from a peer arrived."""
        self._last_message_ms_by_id[instance] = self._clock.now_ms()

    def is_timed_out(self, instance: str) -> bool:
        """Return whether no message from an instance arrived within the timeout."""
        if instance == self.instance:
            return False
        last_message_ms = self._last_message_ms_by_id.get(instance, self._started_ms)
        return self._clock.now_ms() - last_message_ms > self.timeout_ms

    def succession_order(self, entries: list[str]) -> list[str]:
        """Return the entries in the order in which they take the term."""
        return rendezvous(f"planner/{self.region}", entries)

    def should_take_term(self, state: State, entries: list[str], leaving: bool) -> bool:
        """Return whether the holder and all entries before this one in succession timed out.

        :param entries: ids of the region's available entries.
        :param leaving: whether this instance is leaving; it then takes no term.
        """
        if leaving:
            return False
        term = state.terms_by_region.get(self.region)
        holder = term.holder if term is not None else ""
        if holder == self.instance:
            # Held before a restart; a new term fences off orders from that time.
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
        """Return the fencing token to use while the log is unreachable: (term number, step)."""
        term = state.terms_by_region.get(self.region)
        number = term.number if term else 0
        order = self.succession_order(entries)
        step = order.index(self.instance) + 1 if self.instance in order else len(order) + 1
        return (number, step)
