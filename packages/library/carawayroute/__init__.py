"""Coordination parts for schedulers.

Every module can be imported by itself; the names below are the public interface.
"""

from carawayroute.clock import Clock, ManualClock
from carawayroute.config import check_configuration, read_configuration
from carawayroute.estimates import RunTimes
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
from carawayroute.terms import TermWatch

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
    "RunTimes",
    "Slot",
    "SlotLeaseRouter",
    "State",
    "TermWatch",
    "TwoChoicesRouter",
    "NotPlaced",
    "check_configuration",
    "read_configuration",
]
