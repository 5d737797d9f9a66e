"""Measure the waits of gangs and the fragmentation of free accelerators, by placement policy.

Compares the planner with and without its backfill rule, and with first come, first fit.
"""

import heapq
import random

from bench.tables import Table, median, percentile
from carawayroute.config import read_configuration
from carawayroute.estimates import RunTimeEstimator
from carawayroute.packing import choose_workers
from carawayroute.placement import Fleet, NotPlaced, Placement, Plan
from carawayroute.queue import QueueEntry, may_backfill, order_queue
from carawayroute.types import Instance
from carawayroute_schema import carawayroute_pb2 as pb

WORKERS = 24
PER_RACK = 8
ACCELERATORS = 8
JOBS = 2_000
LOAD = 0.85
SEEDS = (1, 2, 3)
DECLARED_FACTOR = 10.0
KEY_SHA256 = "0" * 64
LONG_MEMBERS = 4

# Members, accelerators each, adjacency, share of jobs, mean run time in ms.
SHAPES = [
    (1, 1, pb.ANY, 0.50, 200_000.0),
    (1, 4, pb.WORKER, 0.25, 400_000.0),
    (2, 8, pb.RACK, 0.17, 600_000.0),
    (LONG_MEMBERS, 8, pb.RACK, 0.08, 900_000.0),
]


def configuration() -> pb.Configuration:
    """Return a configuration of four teams, two of which hold guarantees."""
    guarantee = {"id": "g", "region": "south", "count": 1}
    shape = {"members": 2, "accelerators": 8, "adjacency": "RACK"}
    teams = [{"id": f"team-{index}", "keySha256": KEY_SHA256, "weight": 1} for index in range(4)]
    for team in teams[:2]:
        team["guarantees"] = [{**guarantee, "shape": shape}]
    kind = {"id": "render", "service": "GANG", "idempotent": True, "weight": 1}
    times = {"maxWaitMs": 1, "expectedRunMs": 300_000, "maxBodyBytes": 1}
    return read_configuration({"teams": teams, "kinds": [{**kind, **times}]})


def workers() -> list[Instance]:
    """Return the workers of one region."""
    return [
        Instance(f"w{n}", "worker", "south", "", "s1", f"rack-{n // PER_RACK}", ACCELERATORS)
        for n in range(WORKERS)
    ]


class Arrival:
    """A job with its arrival time, its real run time and the work that is left."""

    __slots__ = ("at_ms", "entry", "run_ms", "started_ms", "work_left_ms")

    def __init__(self, at_ms: float, entry: QueueEntry, run_ms: float) -> None:
        self.at_ms = at_ms
        self.entry = entry
        self.run_ms = run_ms
        self.started_ms = -1.0
        self.work_left_ms = run_ms


def arrivals(kind: pb.Kind) -> list[Arrival]:
    """Return random jobs that declare up to DECLARED_FACTOR times their real run time."""
    work = sum(m * a * share * run for m, a, _, share, run in SHAPES)
    rate = LOAD * WORKERS * ACCELERATORS / work
    jobs, now_ms = [], 0.0
    for number in range(JOBS):
        now_ms += random.expovariate(rate)
        members, per_member, required_adjacency, _, mean = random.choices(
            SHAPES, [s[3] for s in SHAPES]
        )[0]
        run_ms = mean * random.choice((0.4, 1.0, 1.6))
        shape = pb.Shape(members=members, accelerators=per_member, adjacency=required_adjacency)
        job = pb.JobAccepted(
            job_id=f"j{number}",
            team=f"team-{number % 4}",
            kind="render",
            shape=shape,
            accepted_ms=int(now_ms),
            run_ms=int(run_ms * random.uniform(1, DECLARED_FACTOR)),
        )
        jobs.append(Arrival(now_ms, QueueEntry(job, kind), run_ms))
    return jobs


class Simulation:
    """A simulation of the arrivals under one policy."""

    def __init__(self, policy: str, jobs: list[Arrival]) -> None:
        self.policy = policy
        self.jobs = jobs
        self.fleet = Fleet()
        self.fleet.set_workers(workers(), set())
        self.fleet.set_guarantees(configuration(), "south")
        self.waiting: dict[str, Arrival] = {}
        self.run_times = RunTimeEstimator()
        self.ends: list[tuple[float, int, str, int]] = []
        self.epoch_by_job: dict[str, int] = {}
        self.samples: list[tuple[float, float]] = []
        self.preemptions = 0
        self.by_id = {job.entry.accepted.job_id: job for job in jobs}

    def process_events(self) -> None:
        """Process arrivals and ends of jobs in order of time."""
        pending = list(reversed(self.jobs))
        while pending or self.ends:
            next_end = self.ends[0][0] if self.ends else float("inf")
            if pending and pending[-1].at_ms <= next_end:
                job = pending.pop()
                now_ms = job.at_ms
                self.waiting[job.entry.accepted.job_id] = job
            else:
                now_ms, _, job_id, epoch = heapq.heappop(self.ends)
                if self.epoch_by_job.get(job_id) != epoch:
                    continue
                self._end(job_id, now_ms)
            self._place(now_ms)
            if pending:
                self._sample()

    def _end(self, job_id: str, now_ms: float) -> None:
        job = self.by_id[job_id]
        self.fleet.remove(job_id)
        self.epoch_by_job.pop(job_id)
        self.run_times.observe(self._key(job.entry), job.run_ms)

    @staticmethod
    def _key(entry: QueueEntry) -> str:
        return f"{entry.accepted.team}/{entry.kind.id}"

    def _place(self, now_ms: float) -> None:
        if self.policy == "first come, first fit":
            self._place_first_come(now_ms)
        else:
            self._place_planned(now_ms)

    def _place_first_come(self, now_ms: float) -> None:
        """Baseline: first fit in order of arrival; stops at the first job that does not fit."""
        for job in list(self.waiting.values()):
            shape = job.entry.accepted.shape
            space = self.fleet.free_capacity()
            order = {name: float(index) for index, name in enumerate(space.available_by_worker)}
            found = choose_workers(space, shape, order)
            if found is None:
                return
            self._start(job, Plan(found, [], "", non_preemptible=False), now_ms)

    def _place_planned(self, now_ms: float) -> None:
        """Place jobs with the planner's queue order, backfill rule and placement."""
        waiting = [job.entry for job in self.waiting.values()]
        queue = order_queue(waiting, self.fleet, {}, now_ms)
        reserved: set[str] = set()
        until_ms = 0.0
        for entry in queue:
            if self.policy == "planned, no backfill rule":
                may_use_reserved = True
            else:
                may_use_reserved = may_backfill(entry, self.run_times, now_ms, until_ms)
            decision = self.fleet.plan(
                entry.accepted,
                entry.kind,
                reserved=set() if may_use_reserved else reserved,
                now_ms=now_ms,
            )
            if isinstance(decision, NotPlaced):
                if not reserved:
                    reserved, until_ms = self.fleet.reserve_for(entry.accepted.shape)
                continue
            self._start(self.by_id[entry.accepted.job_id], decision, now_ms)

    def _start(self, job: Arrival, plan: Plan, now_ms: float) -> None:
        for victim in plan.preempt:
            self._preempt(victim, now_ms)
        accepted = job.entry.accepted
        del self.waiting[accepted.job_id]
        if job.started_ms < 0:
            job.started_ms = now_ms
        expected = self.run_times.expect_ms(self._key(job.entry), accepted.run_ms)
        self.fleet.add(
            Placement(
                accepted.job_id,
                "",
                accepted.team,
                plan.workers,
                accepted.shape.accelerators,
                plan.guarantee,
                plan.non_preemptible,
                now_ms,
                now_ms + expected,
            )
        )
        epoch = len(self.ends) + self.preemptions * 1_000_000 + int(now_ms)
        self.epoch_by_job[accepted.job_id] = epoch
        heapq.heappush(self.ends, (now_ms + job.work_left_ms, epoch, accepted.job_id, epoch))

    def _preempt(self, job_id: str, now_ms: float) -> None:
        """Stop a borrowed gang, which keeps its progress, and queue it again."""
        placement = self.fleet.remove(job_id)
        job = self.by_id[job_id]
        job.work_left_ms -= now_ms - placement.started_ms
        self.epoch_by_job.pop(job_id)
        self.waiting[job_id] = job
        self.preemptions += 1

    def _sample(self) -> None:
        """Record the free share in idle workers and the most idle workers in one rack."""
        free = {name: self.fleet.free_on(name) for name in self.fleet.workers_by_id}
        total = sum(free.values())
        if total == 0:
            return
        whole = sum(amount for amount in free.values() if amount == ACCELERATORS)
        by_rack: dict[str, list[int]] = {}
        for name, amount in free.items():
            by_rack.setdefault(self.fleet.workers_by_id[name].rack, []).append(amount)
        largest = max(
            sum(1 for amount in amounts if amount == ACCELERATORS) for amounts in by_rack.values()
        )
        self.samples.append((whole / total, float(largest)))


POLICIES = ("first come, first fit", "planned, no backfill rule", "planned")


def main() -> None:
    """Run every policy and print the table."""
    table = Table(
        "placement",
        f"Gangs on {WORKERS}x{ACCELERATORS} at {LOAD:.0%} load, {JOBS} jobs, wrong declared times",
        [
            "policy",
            "mean wait s",
            "p99 wait s",
            "long gangs: mean wait s",
            "longest s",
            "free in whole workers",
            "largest gang that fits",
            "preemptions",
        ],
        values=7,
    )
    for policy in POLICIES:
        rows = []
        for seed in SEEDS:
            random.seed(seed)
            simulation = Simulation(policy, arrivals(configuration().kinds[0]))
            simulation.process_events()
            rows.append(_measurements(simulation))
        table.add(policy, *(median([row[index] for row in rows]) for index in range(7)))
    table.show()


def _measurements(simulation: Simulation) -> list[float]:
    waits = [(job.started_ms - job.at_ms) / 1_000 for job in simulation.jobs]
    long_waits = [
        (job.started_ms - job.at_ms) / 1_000
        for job in simulation.jobs
        if job.entry.accepted.shape.members == LONG_MEMBERS
    ]
    return [
        sum(waits) / len(waits),
        percentile(waits, 0.99),
        sum(long_waits) / len(long_waits),
        max(long_waits),
        sum(sample[0] for sample in simulation.samples) / len(simulation.samples),
        sum(sample[1] for sample in simulation.samples) / len(simulation.samples),
        float(simulation.preemptions),
    ]


if __name__ == "__main__":
    main()
