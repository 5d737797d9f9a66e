"""Measure the recovery time after large failures, and the log records appended meanwhile."""

import json
import random
from collections.abc import Awaitable, Callable

from bench.tables import Table
from carawayroute.exceptions import CarawayrouteError
from carawayroute.node import NodeSettings
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_standins.virtual import run_virtual
from carawayroute_standins.world import World

ENTRIES = {"a": "south", "b": "south", "c": "south", "d": "north", "e": "north", "f": "north"}
WORKERS = 12
PER_RACK = 4
JOBS = 24
RUN_MS = 7_200_000
HOUR_MS = 3_600_000
SEED = 1
RECOVERY_LIMIT_MS = 600_000
KEY_SHA256 = "0" * 64
CONFIGURATION = {
    "teams": [{"id": "team", "keySha256": KEY_SHA256, "weight": 1}],
    "kinds": [
        {
            "id": "render",
            "service": "GANG",
            "idempotent": True,
            "checkpoint": True,
            "weight": 1,
            "maxWaitMs": 1,
            "expectedRunMs": RUN_MS,
            "maxBodyBytes": 1,
        }
    ],
}

Disaster = Callable[["Trial"], Awaitable[None]]


class Trial:
    """A simulated system with running gangs in two regions."""

    def __init__(self) -> None:
        self.world = World(retention_ms=2 * HOUR_MS)
        self.submitted = 0
        self.peak_appends = 0

    async def prepare(self) -> None:
        """Start the system and run gangs on most of the workers."""
        world = self.world
        for region in ("south", "north"):
            for index in range(WORKERS):
                name = f"worker-{region}-{index:02}"
                world.add_worker(name, region, f"rack-{region}-{index // PER_RACK}")
            world.add_runner(f"runner-{region}", region)
        for name, region in ENTRIES.items():
            world.add_node(NodeSettings(name, region, retention_ms=2 * HOUR_MS))
        await world.run_for(3_000)
        await world.publish(CONFIGURATION)
        await world.run_for(2_000)
        for _ in range(JOBS):
            await self.submit("a")
        await world.run_for(10_000)

    async def submit(self, entry: str) -> bool:
        """Submit a job to one region or the other; return whether it was accepted."""
        self.submitted += 1
        job = pb.JobAccepted(
            team="team",
            kind="render",
            region="south" if self.submitted % 2 else "north",
            shape=pb.Shape(members=2, accelerators=2, adjacency=pb.RACK),
            request_id=f"q{self.submitted}",
            payload=json.dumps({"run_ms": RUN_MS}),
        )
        try:
            await self.world.submit(entry, job)
        except CarawayrouteError:
            return False
        return True

    def is_normal(self) -> bool:
        """Return whether all live entries are ready and agree, and every open job runs.

        Each region must have a planner.
        """
        nodes = [
            node
            for name, node in self.world.nodes_by_id.items()
            if self.world.hosts_by_id[name].alive
        ]
        if any(node.not_ready() or not node.follower.reachable for node in nodes):
            return False
        if len({node.follower.state.offset for node in nodes}) != 1:
            return False
        return all(self._region_is_normal(region) for region in ("south", "north"))

    def _region_is_normal(self, region: str) -> bool:
        name = self.world.planner_of(region)
        if not name:
            return False
        open_jobs = self.world.nodes_by_id[name].follower.state.open_jobs(region)
        return all(self._runs_completely(job.accepted) for job in open_jobs)

    def _runs_completely(self, job: pb.JobAccepted) -> bool:
        """Return whether every member of a job runs, according to the workers that are not lost."""
        running = sum(
            task.attempt.accelerators
            for name, worker in self.world.workers_by_id.items()
            if name not in self.world.unreachable_instances
            for task in worker.tasks_by_attempt.values()
            if task.attempt.job_id == job.job_id and task.attempt.status == "running"
        )
        return running == job.shape.members * job.shape.accelerators

    async def time_to_normal_ms(self) -> float:
        """Return the time until the system is normal in ms, or infinity after RECOVERY_LIMIT_MS."""
        began_ms = self.world.clock.now_ms()
        while self.world.clock.now_ms() - began_ms < RECOVERY_LIMIT_MS:
            before = self.world.log.appends
            await self.world.run_for(1_000)
            self.peak_appends = max(self.peak_appends, self.world.log.appends - before)
            if self.is_normal():
                return self.world.clock.now_ms() - began_ms
        return float("inf")


async def replace_all_instances(trial: Trial) -> None:
    """Kill and replace every instance at once."""
    for name in ENTRIES:
        trial.world.kill(name)
    await trial.world.run_for(1_000)
    for name in ENTRIES:
        trial.world.start_node(name)


async def partition_for_an_hour(trial: Trial) -> None:
    """Partition the regions for an hour, with jobs submitted in the south meanwhile."""
    trial.world.cut("south", "north")
    for _ in range(6):
        await trial.submit("a")
        await trial.world.run_for(HOUR_MS / 6)
    trial.world.heal()


async def lose_rack(trial: Trial) -> None:
    """Stop every worker of one rack."""
    for index in range(PER_RACK):
        trial.world.unreachable_instances.add(f"worker-south-{index:02}")


async def store_outage(trial: Trial) -> None:
    """Make the log unavailable for ten minutes, then submit a backlog of jobs."""
    trial.world.log.mode = "down"
    await trial.world.run_for(600_000)
    trial.world.log.mode = "up"
    for _ in range(24):
        await trial.submit(random.choice("abc"))


DISASTERS: dict[str, Disaster] = {
    "all instances replaced": replace_all_instances,
    "region cut for an hour": partition_for_an_hour,
    "rack of workers lost": lose_rack,
    "store down 10 min, 24 jobs after": store_outage,
}


async def measure(disaster: Disaster) -> list[float]:
    """Return time to normal in s, maximum appends per second, and total appends and bytes."""
    trial = Trial()
    await trial.prepare()
    if not trial.is_normal():
        raise RuntimeError("not normal before the disaster")
    await disaster(trial)
    appends = trial.world.log.appends
    log_bytes = sum(len(stored.data) for stored in trial.world.log.records)
    elapsed_ms = await trial.time_to_normal_ms()
    log_bytes = sum(len(stored.data) for stored in trial.world.log.records) - log_bytes
    return [
        elapsed_ms / 1_000,
        float(trial.peak_appends),
        float(trial.world.log.appends - appends),
        float(log_bytes),
    ]


def main() -> None:
    """Run every disaster and print the table."""
    table = Table(
        "recovery",
        f"Recovery with {JOBS} and more gangs on {2 * WORKERS} workers, six entries, two regions",
        ["disaster", "s to normal", "most appends/s", "appends", "bytes appended"],
        values=4,
    )
    for name, disaster in DISASTERS.items():
        table.add(name, *run_virtual(measure(disaster), SEED))
    table.show()


if __name__ == "__main__":
    main()
