"""One pass over the waiting work: what is placed where, and what is stopped for it."""

from carawayroute.fleet import order, packing, preemption
from carawayroute.fleet.book import Job, JobBook, Stage
from carawayroute.fleet.packing import Room
from carawayroute.fleet.preemption import Victim
from carawayroute.fleet.types import Configuration

# Stages looked at in one pass; the rest wait for the next one.
MAX_TRIED = 400


class RunClock:
    """What the planner knows of a stage's current runs.

    :param lost_ms: run time of each task that no checkpoint keeps.
    """

    __slots__ = ("lost_ms", "stoppable")

    def __init__(self, lost_ms: float, stoppable: bool) -> None:
        self.lost_ms = lost_ms
        self.stoppable = stoppable


class Placement:
    """Tasks that are to be started, one runner for each, once the victims have ended."""

    __slots__ = ("guaranteed", "indices", "places", "stage", "victims")

    def __init__(
        self,
        stage: Stage,
        indices: list[int],
        places: list[str],
        victims: list[Victim],
        guaranteed: bool,
    ) -> None:
        self.stage = stage
        self.indices = indices
        self.places = places
        self.victims = victims
        self.guaranteed = guaranteed


class Pass:
    """Plan placements on a view of the fleet.

    :param rooms: runners that may get work, with what is free; changed as work is placed.
    :param runs_by_stage: what runs, by stage key.
    :param estimate_ms: returns the run time expected of a task of a stage.
    :param hold_back: returns whether a job is not to be tried now.
    """

    def __init__(
        self,
        book: JobBook,
        configuration: Configuration,
        rooms: list[Room],
        wall_ms: float,
        estimate_ms,
        run_clock,
        hold_back,
    ) -> None:
        self.book = book
        self.configuration = configuration
        self.rooms = rooms
        self.rooms_by_id = {room.runner.id: room for room in rooms}
        self.wall_ms = wall_ms
        self.estimate_ms = estimate_ms
        self.run_clock = run_clock
        self.hold_back = hold_back
        self.guaranteed_jobs = order.urgent_within_guarantees(
            list(book.open_by_id.values()), configuration
        )
        self._stopped: set[tuple[tuple[str, int, int], int]] = set()

    def run(self) -> list[Placement]:
        """Return what is to be placed, in order."""
        waiting = [
            stage
            for job in self.book.open_by_id.values()
            for stage in job.open_stages(self.wall_ms)
            if self._is_waiting(stage) and not self.hold_back(stage)
        ]
        waiting.sort(key=self._rank)
        placements = []
        for stage in waiting[:MAX_TRIED]:
            placement = self._place(stage)
            if placement is not None:
                self._take(placement)
                placements.append(placement)
        return placements

    @staticmethod
    def _is_waiting(stage: Stage) -> bool:
        if stage.step.gang:
            return not any(stage.runners)
        return any(
            not runner and not done for runner, done in zip(stage.runners, stage.done, strict=True)
        )

    def _rank(self, stage: Stage) -> tuple:
        job = stage.job
        if job.id in self.guaranteed_jobs:
            return (0, job.record.accepted_ms, job.id, stage.number)
        share = self._share(stage)
        urgency = 1 if job.record.priority == order.URGENT_PRIORITY and share > 0 else 2
        return (urgency, -share * self._worth_per_room(job), job.record.accepted_ms, job.id)

    def _chain_ms(self, job: Job) -> float:
        estimates = {
            number: self.estimate_ms(job.stage(0, number))
            for number in range(len(job.record.steps))
        }
        return job.chain_ms(estimates)

    def _share(self, stage: Stage) -> float:
        job = stage.job
        chain_ms = self._chain_ms(job)
        return order.Timeliness(job, chain_ms, chain_ms).share(self.wall_ms)

    def _worth_per_room(self, job: Job) -> float:
        work = sum(
            step.count * max(1, step.accelerators) * step.estimate_ms for step in job.record.steps
        )
        return order.Demand(work, work).worth_per_room()

    def _place(self, stage: Stage) -> Placement | None:
        rooms = [room for room in self.rooms if packing.suits(stage, room.runner)]
        indices = stage.waiting()
        count = len(indices)
        whole = stage.step.gang
        guaranteed = stage.job.id in self.guaranteed_jobs
        places = packing.choose(stage, rooms, count, whole)
        if places is None and not packing.full_speed_possible(stage, rooms, count):
            places = packing.fill(stage, rooms, count)
            if whole and len(places) < count:
                places = None
        if places:
            return Placement(stage, indices[: len(places)], places, [], guaranteed)
        if stage.job.record.priority != order.URGENT_PRIORITY:
            return None
        if not guaranteed and self._share(stage) < 1.0:
            return None
        return self._preempt(stage, rooms, indices, guaranteed)

    def _preempt(
        self, stage: Stage, rooms: list[Room], indices: list[int], guaranteed: bool
    ) -> Placement | None:
        victims = self._victims(guaranteed)
        count = len(indices)
        found = preemption.choose(stage, rooms, count, victims, spread=False)
        if found is None and guaranteed:
            found = preemption.choose(stage, rooms, count, victims, spread=True)
        if found is None:
            return None
        return Placement(stage, indices, found.places, found.victims, guaranteed)

    def _victims(self, guaranteed: bool) -> list[Victim]:
        """Return what may be stopped for an urgent stage."""
        victims = []
        for job in self.book.open_by_id.values():
            urgent = job.record.priority == order.URGENT_PRIORITY
            if urgent and (not guaranteed or job.id in self.guaranteed_jobs):
                continue
            for stage in job.stages_by_key.values():
                victims.extend(self._victims_of(stage, urgent))
        return victims

    def _victims_of(self, stage: Stage, urgent: bool) -> list[Victim]:
        weight = 4.0 if urgent else 1.0
        placed = [index for index in stage.placed() if (stage.key, index) not in self._stopped]
        if not placed:
            return []
        if stage.step.gang:
            if len(placed) < len(stage.placed()):
                return []
            clock = self.run_clock(stage, placed[0])
            if not clock.stoppable:
                return []
            return [Victim(stage, placed, clock.lost_ms, weight)]
        found = []
        for index in placed:
            clock = self.run_clock(stage, index)
            if clock.stoppable:
                found.append(Victim(stage, [index], clock.lost_ms, weight))
        return found

    def _take(self, placement: Placement) -> None:
        """Count a placement, and its victims as gone."""
        for victim in placement.victims:
            for index in victim.indices:
                self._stopped.add((victim.stage.key, index))
                room = self.rooms_by_id.get(victim.stage.runners[index])
                if room is not None:
                    room.free.take(victim.stage.need, -1)
        for place in placement.places:
            self.rooms_by_id[place].free.take(placement.stage.need)
