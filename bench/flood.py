"""Measure how fair queues protect other kinds during a flood and small callers beside a large one.

The baselines are first come first served and strict priority.
"""

import random

from bench.entries import SLOTS, EntryFleet, RequestRecord, quick_kind
from bench.tables import Table, median
from carawayroute.dispatch import Dispatcher
from carawayroute.fair_queue import FairQueue
from carawayroute.routing import SlotLeaseRouter
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_standins.virtual import run_virtual

ENTRIES = 3
RUNNERS = 4
SECONDS = 15
WARM_UP_MS = 3_000.0
SEEDS = (1, 2, 3)
FLOOD_FACTOR = 10.0
TEAMS = ["large", "small-1", "small-2", "small-3"]

# Kind, urgency, mean run time in ms, wait of callers in ms, share of the fleet's capacity at the
# normal rate. The flood lasts longer than any wait, so no request can wait until it is over.
DEPLOYMENTS = {
    "deckmali": [
        ("preview", pb.URGENT, 100.0, 3_000.0, 0.25),
        ("export", pb.CAN_WAIT, 800.0, 6_000.0, 0.35),
    ],
    "cornice": [
        ("quote-check", pb.ORDINARY, 150.0, 4_000.0, 0.30),
        ("mockup-thumbnail", pb.CAN_WAIT, 600.0, 6_000.0, 0.30),
    ],
}
POLICIES = ("fair queues", "first come first served", "strict priority")


class _SingleQueue(FairQueue):
    """Baseline: a single queue for all requests, without early refusal."""

    def push(self, path, item) -> None:
        """Queue an item without regard to its kind, team and caller."""
        super().push(("all", "all", "all"), item)

    def remove(self, path, item) -> bool:
        """Remove an item; return whether it was queued."""
        return super().remove(("all", "all", "all"), item)

    def check(self, path, cost_ms, servers, remaining_ms) -> None:
        """Refuse nothing early."""


class _StrictPriorityQueue(FairQueue):
    """Baseline: the more urgent kind is always served first, without early refusal."""

    def push(self, path, item) -> None:
        """Queue an item by the urgency of its kind."""
        super().push((str(item.request.kind.urgency), "all", "all"), item)

    def remove(self, path, item) -> bool:
        """Remove an item; return whether it was queued."""
        return super().remove((str(item.request.kind.urgency), "all", "all"), item)

    def pop(self, cost_ms):
        """Remove and return the next item of the most urgent kind."""
        children = self._root.children_by_key
        for urgency in sorted(children, reverse=True):
            child = children[urgency]
            if child.waiting:
                child.start_tag = min(level.start_tag for level in children.values()) - 1.0
                break
        return super().pop(cost_ms)

    def check(self, path, cost_ms, servers, remaining_ms) -> None:
        """Refuse nothing early."""


def use_policy(dispatcher: Dispatcher, policy: str) -> None:
    """Replace the dispatcher's queue if the policy is a baseline."""
    queues = {"first come first served": _SingleQueue, "strict priority": _StrictPriorityQueue}
    if policy in queues:
        dispatcher.queue = queues[policy](lambda path: (1.0, 1.0, 1.0))


class RequestSource:
    """A stream of requests of one kind from one caller.

    :param spec: a row of DEPLOYMENTS.
    :param factor: multiplies the normal rate.
    """

    def __init__(self, spec: tuple, team: str, caller: str, factor: float) -> None:
        self.name, self.urgency, self.mean_ms, self.wait_ms, self.share = spec
        self.team = team
        self.caller = caller
        self.factor = factor

    def rate_per_ms(self) -> float:
        """Return the arrival rate, in requests per ms."""
        return self.share * self.factor * RUNNERS * SLOTS / self.mean_ms


async def measure(sources: list[RequestSource], policy: str) -> EntryFleet:
    """Send the requests of the sources under a policy and return the entries with the outcomes."""
    kinds = {
        source.name: quick_kind(source.name, int(source.mean_ms), source.urgency)
        for source in sources
    }
    teams = [pb.Team(id=name, weight=1) for name in TEAMS]
    fleet = EntryFleet(
        lambda clock, name: SlotLeaseRouter(clock, name, 3_000.0),
        ENTRIES,
        RUNNERS,
        list(kinds.values()),
        teams,
    )
    for dispatcher in fleet.dispatchers.values():
        use_policy(dispatcher, policy)
    names = list(fleet.dispatchers)
    rates = [source.rate_per_ms() for source in sources]
    while fleet.clock.now_ms() < SECONDS * 1_000:
        await fleet.clock.sleep_ms(random.expovariate(sum(rates)))
        source = random.choices(sources, rates)[0]
        run_ms = random.choice((0.5, 1.5)) * source.mean_ms
        fleet.send(
            random.choice(names),
            kinds[source.name],
            source.team,
            source.caller,
            run_ms,
            source.wait_ms,
        )
    await fleet.clock.sleep_ms(40_000)
    fleet.stop()
    return fleet


def share_in_time(records: list[RequestRecord], name: str, wait_ms: float) -> float:
    """Return the share of requests of a kind or caller that were answered within their wait."""
    counted = [
        record
        for record in records
        if name in (record.kind, record.caller) and record.arrived_ms > WARM_UP_MS
    ]
    answered = [
        record
        for record in counted
        if record.outcome == "done" and record.ended_ms <= record.arrived_ms + wait_ms
    ]
    return len(answered) / len(counted) if counted else 0.0


def goodput(fleet: EntryFleet, waits: dict[str, float]) -> float:
    """Return the run time of requests answered in time as a share of the fleet's capacity.

    :param waits: wait of callers in ms, by kind.
    """
    until_ms = SECONDS * 1_000.0
    useful = sum(
        record.run_ms
        for record in fleet.requests
        if record.outcome == "done"
        and WARM_UP_MS < record.ended_ms <= until_ms
        and record.ended_ms <= record.arrived_ms + waits[record.kind]
    )
    return useful / ((until_ms - WARM_UP_MS) * RUNNERS * SLOTS)


def measure_floods() -> None:
    """Print the share of each kind that is answered in time while the other kind floods."""
    table = Table(
        "flood",
        f"Share in time of the calm kind while the other floods at {FLOOD_FACTOR:.0f}x the fleet",
        ["deployment", "flood of", "policy", "kept", "goodput"],
        values=2,
    )
    for deployment, specs in DEPLOYMENTS.items():
        for flooding, calm in ((specs[1], specs[0]), (specs[0], specs[1])):
            waits = {spec[0]: spec[3] for spec in specs}
            for policy in POLICIES:
                kept_shares, goodputs = [], []
                for seed in SEEDS:
                    sources = [
                        RequestSource(calm, "small-1", "calm", 1.0),
                        RequestSource(flooding, "large", "flood", FLOOD_FACTOR / flooding[4]),
                    ]
                    fleet = run_virtual(measure(sources, policy), seed)
                    kept_shares.append(share_in_time(fleet.requests, calm[0], calm[3]))
                    goodputs.append(goodput(fleet, waits))
                table.add(deployment, flooding[0], policy, median(kept_shares), median(goodputs))
    table.show()


def measure_callers() -> None:
    """Print the share answered in time of small callers beside one with 50 times their rate."""
    table = Table(
        "callers",
        "Share in time of small callers beside one that asks 50 times as much, same kind",
        ["deployment", "policy", "small callers", "large caller"],
        values=2,
    )
    for deployment, specs in DEPLOYMENTS.items():
        spec = specs[0]
        for policy in POLICIES[:2]:
            small, large = [], []
            for seed in SEEDS:
                share = 0.4 / spec[4]
                sources = [
                    RequestSource(spec, "small-1", f"small-{n}", share / 10) for n in range(10)
                ]
                sources.append(RequestSource(spec, "small-1", "large", 50 * share / 10))
                fleet = run_virtual(measure(sources, policy), seed)
                shares = [share_in_time(fleet.requests, f"small-{n}", spec[3]) for n in range(10)]
                small.append(sum(shares) / 10)
                large.append(share_in_time(fleet.requests, "large", spec[3]))
            table.add(deployment, policy, median(small), median(large))
    table.show()


def main() -> None:
    """Print both tables."""
    measure_floods()
    measure_callers()


if __name__ == "__main__":
    main()
