"""Measure the waits and message cost of routing policies for entries that share runners."""

import random

from bench.entries import SLOTS, EntryFleet, RouterFactory, quick_kind
from bench.tables import Table, median, percentile
from carawayroute.routing import (
    LeastOutstandingRouter,
    RandomRouter,
    SlotLeaseRouter,
    TwoChoicesRouter,
)
from carawayroute_standins.virtual import run_virtual

ENTRIES = 7
RUNNERS = 24
REQUESTS = 12_000
WARM_UP = 2_000
LOADS = (0.70, 0.85, 0.95)
SEEDS = (1, 2, 3)
# Service times of 0.3 s and 3 s, a ratio of one to ten, mixed to a mean of 1 s.
SHORT_MS, LONG_MS, LONG_SHARE = 300.0, 3_000.0, 7 / 27
MEAN_MS = SHORT_MS + (LONG_MS - SHORT_MS) * LONG_SHARE
SLOT_LEASE_MS = 3_000.0

POLICIES: dict[str, tuple[int, RouterFactory]] = {
    "one queue (ideal)": (1, lambda clock, name: SlotLeaseRouter(clock, name, SLOT_LEASE_MS)),
    "slot leases": (ENTRIES, lambda clock, name: SlotLeaseRouter(clock, name, SLOT_LEASE_MS)),
    "least outstanding": (ENTRIES, lambda clock, name: LeastOutstandingRouter(len(name))),
    "two choices": (ENTRIES, lambda clock, name: TwoChoicesRouter(len(name))),
    "random": (ENTRIES, lambda clock, name: RandomRouter(len(name))),
}


class Result:
    """Waits in units of the mean service time, and messages and bytes per second and entry."""

    def __init__(self, waits: list[float], messages_per_second: float, bytes_per_second: float):
        self.waits = waits
        self.messages_per_second = messages_per_second
        self.bytes_per_second = bytes_per_second


async def measure(policy: str, load: float, prepare=None) -> Result:
    """Run one policy at one load.

    :param prepare: called with the fleet before the first request, to inject a fault.
    """
    entries, make_router = POLICIES[policy]
    kind = quick_kind("mixed", int(MEAN_MS))
    fleet = EntryFleet(make_router, entries, RUNNERS, [kind])
    names = list(fleet.dispatchers)
    rate_per_ms = load * RUNNERS * SLOTS / MEAN_MS
    if prepare is not None:
        prepare(fleet)
    for _ in range(REQUESTS):
        run_ms = LONG_MS if random.random() < LONG_SHARE else SHORT_MS
        fleet.send(random.choice(names), kind, "t", "c", run_ms, 600_000.0)
        await fleet.clock.sleep_ms(random.expovariate(rate_per_ms))
    elapsed_s = fleet.clock.now_ms() / 1000
    await fleet.clock.sleep_ms(60_000)
    fleet.stop()
    counted = fleet.requests[WARM_UP:]
    waits = [record.wait_ms / MEAN_MS for record in counted if record.outcome == "done"]
    return Result(
        waits, fleet.messages / elapsed_s / entries, fleet.message_bytes / elapsed_s / entries
    )


def row(policy: str, load: float, prepare=None) -> list[float]:
    """Return the medians over the seeds: 99th percentile and mean wait, messages and bytes."""
    results = [run_virtual(measure(policy, load, prepare), seed) for seed in SEEDS]
    return [
        median([percentile(result.waits, 0.99) for result in results]),
        median([sum(result.waits) / len(result.waits) for result in results]),
        median([result.messages_per_second for result in results]),
        median([result.bytes_per_second for result in results]),
    ]


def main() -> None:
    """Run every policy at every load and print the table."""
    table = Table(
        "routing",
        f"Wait before service, in mean service times ({ENTRIES} entries, {RUNNERS}x{SLOTS} slots)",
        ["policy", "load", "p99 wait", "mean wait", "messages/s/entry", "payload B/s/entry"],
        values=4,
    )
    for load in LOADS:
        for policy in POLICIES:
            table.add(policy, f"{load:.0%}", *row(policy, load))
    table.show()


if __name__ == "__main__":
    main()
