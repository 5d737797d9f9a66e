"""How long leases last that a planner grants, also while nothing confirms its term."""

# Largest share by which a runner's clock may run slow.
MAX_CLOCK_DRIFT = 0.02
LEASE_BOUND_MARGIN_MS = 500
# A heartbeat interval and the time in which a heartbeat is answered: leases are not shortened while
# the store answers.
CONFIRMATION_INTERVAL_MS = 600
# Leases may be renewed for this long while some instances confirm the planner's term and others do
# not answer, also where runners grant shorter ones: the longest outages of the store that the
# platform names last 9 s, and up to 2.5 s pass until the next heartbeat is answered and the next
# poll renews the lease.
MIN_PARTLY_CONFIRMED_MS = 12_000


def certain_ms(duration_ms: float) -> float:
    """Return the time within which a duration has passed on any runner's clock."""
    return duration_ms * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_BOUND_MARGIN_MS


class LeaseLimits:
    """Limits of the leases of one planner.

    :param lease_ms: lease duration that runners are given.
    :param max_lease_ms: longest lease duration that a runner accepts from any planner.
    """

    __slots__ = ("lease_ms", "max_lease_ms")

    def __init__(self, lease_ms: int, max_lease_ms: int) -> None:
        self.lease_ms = lease_ms
        self.max_lease_ms = max_lease_ms

    @property
    def unconfirmed_ms(self) -> int:
        """Return the time for which leases last after any instance last confirmed the term."""
        return self.lease_ms + CONFIRMATION_INTERVAL_MS

    @property
    def partly_confirmed_ms(self) -> int:
        """Return the time for which leases last after the store or all instances confirmed it."""
        return max(self.unconfirmed_ms, self.max_lease_ms, MIN_PARTLY_CONFIRMED_MS)
