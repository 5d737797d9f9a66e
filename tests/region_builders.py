"""Builders of a fleet in two regions whose link carries the jobs topic only a few times."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

from fleet_builders import NORMAL, OWNER, job, runner_speeds_bytes, step, world

from carawayroute.fleet.entry import (
    NoSuchJobError,
    NotAcceptedError,
    OutcomeUnknownError,
    StateUnknownError,
)
from carawayroute.fleet.jobs import SPEEDS_KEY
from carawayroute.fleet.node import JOBS_TOPIC
from carawayroute_standins.fleet.world import CALLER_DEADLINE_MS, FleetWorld

REGION = "north"
NEAR = tuple(f"n{number}" for number in range(1, 4))
FAR = tuple(f"n{number}" for number in range(4, 25))
# 30 Mbit/s, and a topic that 21 instances together can not read over it.
LINK_BYTES_PER_MS = 3_750
TOPIC_BYTES_PER_MS = 270
RECORD_INTERVAL_MS = 50
SAMPLE_INTERVAL_MS = 10


def two_regions(one_reader: bool = True) -> FleetWorld:
    """Return a fleet in two regions, of which the far one has the smaller link.

    :param one_reader: whether the far region is one data centre, or each instance is in its own.
    """
    centres = {} if one_reader else {name: f"{REGION}-{name}" for name in FAR}
    fleet = world(
        instances=len(NEAR) + len(FAR),
        region_by_instance=dict.fromkeys(FAR, REGION),
        data_centre_by_instance=centres,
    )
    fleet.network.limit_region(REGION, LINK_BYTES_PER_MS)
    return fleet


async def write_records(fleet: FleetWorld) -> None:
    """Append records to the jobs topic, as a busy planner does, until cancelled."""
    value = runner_speeds_bytes(TOPIC_BYTES_PER_MS * RECORD_INTERVAL_MS)
    while True:
        fleet.store.put(JOBS_TOPIC, SPEEDS_KEY, value)
        await fleet.clock.sleep_ms(RECORD_INTERVAL_MS)


class Callers:
    """Callers that submit jobs and ask instances for their states.

    :ivar accepted: ids of the accepted jobs.
    :ivar answers: number of lookups by answer: a state, ``denied`` or ``unknown``.
    :ivar not_told: lookups without a state within the callers' deadline: instance, and the times
        at which they began and ended.
    :ivar not_accepted: number of submissions that failed, by error.
    """

    def __init__(self, fleet: FleetWorld) -> None:
        self._fleet = fleet
        self.accepted: list[str] = []
        self.answers: Counter[str] = Counter()
        self.not_told: list[tuple[str, float, float]] = []
        self.not_accepted: Counter[str] = Counter()

    async def submit(self, name: str) -> str | None:
        """Submit a short job to an instance and return its id, ``None`` if it is not accepted."""
        short = job(f"{random.getrandbits(64):016x}", [step(estimate_ms=100)], run_ms=100)
        try:
            await self._fleet.submit(short, NORMAL, OWNER, at=name)
        except (NotAcceptedError, OutcomeUnknownError) as error:
            self.not_accepted[type(error).__name__] += 1
            return None
        self.accepted.append(short.id)
        return short.id

    async def look_up(self, job_id: str, name: str) -> None:
        """Ask an instance for the state of a job, and note its answer."""
        asked_ms = self._fleet.clock.now_ms()
        try:
            answer = await self._fleet.state(job_id, at=name)
        except NoSuchJobError:
            answer = "denied"
        except StateUnknownError:
            answer = "unknown"
        now_ms = self._fleet.clock.now_ms()
        self.answers[answer] += 1
        if answer == "unknown" or now_ms - asked_ms > CALLER_DEADLINE_MS:
            self.not_told.append((name, asked_ms, now_ms))

    async def submit_and_look_up(self, asked: Sequence[str] = NEAR + FAR) -> None:
        """Submit a job to any instance, then ask three instances for it at once.

        An older job is asked for as well.

        :param asked: instances that are asked, of those that run.
        """
        job_id = await self.submit(random.choice(list(self._fleet.nodes_by_name)))
        job_ids = [job_id] * 3 if job_id is not None else []
        if self.accepted:
            job_ids.append(random.choice(self.accepted[-50:]))
        running = [name for name in asked if name in self._fleet.nodes_by_name]
        await asyncio.gather(*(self.look_up(one, random.choice(running)) for one in job_ids))


async def watch_lags(fleet: FleetWorld, largest_by_instance: Counter[str]) -> None:
    """Note the largest age of each far instance's state, until cancelled."""
    while True:
        for name in FAR:
            lag_ms = fleet.nodes_by_name[name].jobs_follower.lag_ms()
            largest_by_instance[name] = max(largest_by_instance[name], lag_ms)
        await fleet.clock.sleep_ms(SAMPLE_INTERVAL_MS)


class RegionFaults:
    """Faults of a fleet in two regions, in series and overlapping.

    :ivar count_by_name: number of faults begun.
    """

    def __init__(self, fleet: FleetWorld) -> None:
        self._fleet = fleet
        self._tasks: set[asyncio.Task] = set()
        self._outages: list[tuple[str, float, float]] = []
        self.count_by_name: Counter[str] = Counter()

    async def run(self, duration_ms: float) -> None:
        """Begin faults at random for a time and wait until all have ended."""
        clock = self._fleet.clock
        until_ms = clock.now_ms() + duration_ms
        faults = (
            self._kill,
            self._pause,
            self._drain,
            self._move_planner,
            self._refuse,
            self._slow_link,
        )
        while clock.now_ms() < until_ms:
            fault = random.choice(faults)
            self.count_by_name[fault.__name__] += 1
            self._tasks.add(asyncio.create_task(fault(random.uniform(300, 4_000))))
            await clock.sleep_ms(random.uniform(100, 1_500))
        await asyncio.gather(*self._tasks)

    def was_out(self, name: str, from_ms: float, until_ms: float) -> bool:
        """Return whether an instance was stopped or reached nobody at some time in a period."""
        return any(
            name == out and began_ms <= until_ms and ended_ms >= from_ms
            for out, began_ms, ended_ms in self._outages
        )

    def _choose(self) -> str:
        """Return the planner, the far region's first or second reader, or any instance."""
        return random.choice((self._fleet.planner_name() or NEAR[0], *FAR[:2], random.choice(FAR)))

    def _note_outage(self, name: str, began_ms: float) -> None:
        self._outages.append((name, began_ms, self._fleet.clock.now_ms()))

    async def _restart(self, name: str, down_ms: float) -> None:
        fleet = self._fleet
        if name not in fleet.nodes_by_name:
            return
        began_ms = fleet.clock.now_ms()
        await fleet.kill_instance(name)
        await fleet.clock.sleep_ms(down_ms)
        fleet.start_instance(name)
        self._note_outage(name, began_ms)

    async def _kill(self, duration_ms: float) -> None:
        await self._restart(self._choose(), duration_ms)

    async def _drain(self, duration_ms: float) -> None:
        name = self._choose()
        node = self._fleet.nodes_by_name.get(name)
        if node is None:
            return
        await node.resign()
        await self._fleet.clock.sleep_ms(duration_ms)
        if self._fleet.nodes_by_name.get(name) is node:
            await self._restart(name, 300)

    async def _pause(self, duration_ms: float) -> None:
        """Answer nothing of an instance, and nobody who asks it."""
        fleet, name = self._fleet, self._choose()
        if name in fleet.unreachable_peers:
            return
        began_ms = fleet.clock.now_ms()
        fleet.unreachable_peers.add(name)
        fleet.store.unanswered_instances.add(name)
        await fleet.clock.sleep_ms(duration_ms)
        fleet.unreachable_peers.discard(name)
        fleet.store.unanswered_instances.discard(name)
        self._note_outage(name, began_ms)

    async def _refuse(self, duration_ms: float) -> None:
        name = self._choose()
        self._fleet.store.refused_instances.add(name)
        await self._fleet.clock.sleep_ms(duration_ms)
        self._fleet.store.refused_instances.discard(name)

    async def _move_planner(self, duration_ms: float) -> None:
        """Let only the other region's instances plan for a time."""
        fleet = self._fleet
        before = fleet.nodes_by_name.get(fleet.planner_name())
        if before is None:
            return
        held = [
            node
            for node in fleet.nodes_by_name.values()
            if node.settings.region == before.settings.region and node.leadership.candidate
        ]
        for node in held:
            node.leadership.candidate = False
        await before.leadership.resign()
        await fleet.clock.sleep_ms(duration_ms)
        for node in held:
            node.leadership.candidate = not node.draining

    async def _slow_link(self, duration_ms: float) -> None:
        """Leave the link enough bandwidth for the region's reader and a planner."""
        link = self._fleet.network.links_by_region[REGION]
        link.bytes_per_ms = LINK_BYTES_PER_MS / random.choice((2, 4))
        await self._fleet.clock.sleep_ms(duration_ms)
        link.bytes_per_ms = LINK_BYTES_PER_MS
