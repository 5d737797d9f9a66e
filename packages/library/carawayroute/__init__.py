"""Building blocks for distributed schedulers.

The names in ``__all__`` are the public interface. Each module can also be imported on its own.
"""

from carawayroute.clock import Clock, ManualClock
from carawayroute.config import check_configuration, read_configuration
from carawayroute.estimates import RunTimeEstimator
from carawayroute.exceptions import CarawayrouteError
from carawayroute.fair_queue import FairQueue
from carawayroute.health import HealthTracker
from carawayroute.log import LogFollower
from carawayroute.membership import Membership
from carawayroute.placement import Fleet, NotPlaced, Placement, Plan
from carawayroute.retries import Backoff, RetryBudget
from carawayroute.routing import (
    LeastOutstandingRouter,
    RandomRouter,
    Router,
    Slot,
    SlotLeaseRouter,
    TwoChoicesRouter,
)
from carawayroute.state import State
from carawayroute.terms import LeaderElection

__all__ = [
    "Backoff",
    "CarawayrouteError",
    "Clock",
    "FairQueue",
    "Fleet",
    "HealthTracker",
    "LeastOutstandingRouter",
    "LogFollower",
    "ManualClock",
    "Membership",
    "Placement",
    "Plan",
    "RandomRouter",
    "RetryBudget",
    "Router",
    "RunTimeEstimator",
    "Slot",
    "SlotLeaseRouter",
    "State",
    "LeaderElection",
    "TwoChoicesRouter",
    "NotPlaced",
    "check_configuration",
    "read_configuration",
]
