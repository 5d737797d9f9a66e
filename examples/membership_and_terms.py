"""Find the live entries of a region and the one that should take the planner's term."""

from carawayroute.clock import ManualClock
from carawayroute.membership import Membership
from carawayroute.state import State
from carawayroute.terms import LeaderElection
from carawayroute.types import Instance

clock = ManualClock()
members = Membership(clock)
members.update([Instance(name, "entry", "south", f"10.0.0.{n}:80") for n, name in enumerate("abc")])
members.observe_leaving("b")
entries = [entry.id for entry in members.live("entry", "south")]

watches = {name: LeaderElection(clock, name, "south", timeout_ms=4_000) for name in entries}
first = watches[entries[0]].succession_order(entries)[0]
print(entries, first, watches[first].should_take_term(State(), entries, leaving=False))
