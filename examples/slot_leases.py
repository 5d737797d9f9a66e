"""Two entries share a runner's slots; idle ones move to where requests wait."""

from carawayroute.clock import ManualClock
from carawayroute.routing import Demand, SlotLeaseRouter
from carawayroute.types import Instance

clock = ManualClock()
runners = [Instance("r1", "runner", "south", "", capacity=8)]
first = SlotLeaseRouter(clock, "first", lease_ms=3_000)
second = SlotLeaseRouter(clock, "second", lease_ms=3_000)
for router in (first, second):
    router.update(runners, ["first", "second"])

second.observe_message("first", Demand(queued=2))
first.observe_message("second")
first.borrow("second", second.lend("first", own_queued=0))
print(first.held_count(), second.held_count())
