"""One pass over the waiting work: what is placed where, and what is stopped for it."""

from collections.abc import Callable, Collection, Sequence

from carawayroute.fleet import order, packing, preemption
from carawayroute.fleet.book import JobBook, Stage
from carawayroute.fleet.packing import Room
from carawayroute.fleet.preemption import Victim
from carawayroute.fleet.types import Capacity, Configuration

# Stages looked at in one pass; the rest wait for the next one.
MAX_TRIED = 400
# Worth that may be lost by stopping other work, as a part of what the placed job brings.
PREEMPTION_GAIN = 0.4
# A gang that has waited this long gets room kept for it.
RESERVE_AFTER_MS = 4_000
MOST_RESERVATIONS = 1
# Share of the fleet's runners that patient work leaves to urgent gangs while they are whole and
# free; a gang that finds none stops several runs (make experiment, policy "no headroom").
HEADROOM_SHARE = 0.15
# Gangs for which a pass looks for work to stop; the search is the dearest part of a pass.
MOST_PREEMPTIONS = 12


class RunClock:
    """What the planner knows of a stage's current runs.

    :param lost_ms: run time of each task that no checkpoint keeps.
    :param stoppable: its runner is in reach, and it is not being stopped already.
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
    :param estimate_ms: returns the run time expected of a task of a stage.
    :param run_clock: returns what is known of a task's current run.
    :param avoided: runners that get work only if a job has stood idle for long.
    :param idle_jobs: such jobs: their turn came, and nothing of them has run for a while.
    """

    def __init__(
        self,
        book: JobBook,
        configuration: Configuration,
        rooms: list[Room],
        wall_ms: float,
        estimate_ms: Callable[[Stage], float],
        run_clock: Callable[[Stage, int], RunClock],
        worth: order.Worth | None = None,
        avoided: Sequence[Room] = (),
        idle_jobs: Collection[str] = (),
    ) -> None:
        self.book = book
        self.configuration = configuration
        self.rooms = rooms
        self.avoided = avoided
        self.idle_jobs = idle_jobs
        self.rooms_by_id = {room.runner.id: room for room in (*rooms, *avoided)}
        self.wall_ms = wall_ms
        self.estimate_ms = estimate_ms
        self.run_clock = run_clock
        self.guaranteed_jobs = order.urgent_within_guarantees(
            list(book.open_by_id.values()), configuration
        )
        self.worth = worth or order.Worth(order.Room(usual_capacity(rooms)))
        self.worth.learn(book)
        self._reserved = 0
        self._preemptions_tried = 0
        self._unplaceable: set[tuple] = set()
        self._full_speed_by_shape: dict[tuple, bool] = {}
        self._rooms_by_need: dict[tuple[str, str], list[Room]] = {}
        self._victims_by_stage: dict[tuple[str, int, int], list[Victim]] = {}
        self._victims_by_claim: dict[tuple[int, bool], dict[str, list[Victim]]] = {}

    def run(self) -> list[Placement]:
        """Return what is to be placed, in order."""
        if not self.rooms_by_id:
            return []
        waiting = [
            stage
            for job in self.book.open_by_id.values()
            for stage in job.open_stages(self.wall_ms)
            if self._is_waiting(stage)
        ]
        waiting.sort(key=self._rank)
        placements = []
        for stage in waiting[:MAX_TRIED]:
            placement = self._place(stage) or self._place_idle(stage)
            if placement is not None:
                self._take(placement)
                placements.append(placement)
            elif self._deserves_reservation(stage):
                self._reserve(stage)
        return placements

    @staticmethod
    def _is_waiting(stage: Stage) -> bool:
        if stage.step.gang:
            return not any(stage.runners)
        return any(
            not runner and not done for runner, done in zip(stage.runners, stage.done, strict=True)
        )

    # ------------------------------------------------------------------ order

    def _rank(self, stage: Stage) -> tuple:
        job = stage.job
        if job.id in self.guaranteed_jobs:
            return (0, job.record.accepted_ms, job.id, stage.number)
        share = self._share(stage)
        claim = share * self.worth.per_room(job.record) * order.aging(job, self.wall_ms)
        return (1, -claim, job.record.accepted_ms, job.id, stage.number)

    def _share(self, stage: Stage) -> float:
        job = stage.job
        estimates = [
            self.estimate_ms(job.stage(stage.occurrence, number))
            for number in range(len(job.record.steps))
        ]
        chain_ms = job.chain_ms(dict(enumerate(estimates)))
        remaining_ms = order.remaining_chain_ms(job, stage.occurrence, estimates)
        return order.share_in_time(job, chain_ms, remaining_ms, self.wall_ms)

    # ------------------------------------------------------------------ places

    def _place(self, stage: Stage) -> Placement | None:
        rooms = self._open_to(stage)
        indices = stage.waiting()
        guaranteed = stage.job.id in self.guaranteed_jobs
        # Room only shrinks during a pass, so what did not fit once does not fit later.
        shape = _shape(stage, len(indices))
        if packing.in_hurry(stage) and stage.step.gang:
            found = self._place_fast(stage, rooms, indices, guaranteed)
            if found is not None:
                return found
        if shape not in self._unplaceable:
            places = self._free_places(stage, rooms, len(indices))
            if places:
                return Placement(stage, indices[: len(places)], places, [], guaranteed)
            self._unplaceable.add(shape)
        return self._preempt(stage, rooms, indices, guaranteed)

    def _place_fast(
        self, stage: Stage, rooms: list[Room], indices: list[int], guaranteed: bool
    ) -> Placement | None:
        """Place a gang in a hurry on runners that are not slow, by stopping others if it pays."""
        fast = [room for room in rooms if not room.slow]
        if len(fast) == len(rooms) or self._share(stage) < 1.0:
            return None
        shape = ("fast", _shape(stage, len(indices)))
        if shape not in self._unplaceable:
            places = packing.choose(stage, fast, len(indices), whole=True)
            if places:
                return Placement(stage, indices, places, [], guaranteed)
            self._unplaceable.add(shape)
        if not packing.full_speed_possible(stage, fast, len(indices)):
            return None
        return self._preempt(stage, fast, indices, guaranteed, 1 - order.LATE_SHARE)

    def _open_to(self, stage: Stage) -> list[Room]:
        """Return the rooms on runners that a stage may use now.

        Answers bursts of urgent gangs of whole runners over a fleet full of patient work, which
        would fill every gap and be stopped again for each of them.
        """
        rooms = self._suitable(stage)
        if packing.in_hurry(stage):
            return rooms
        left = int(HEADROOM_SHARE * len(self.rooms))
        found = []
        for room in rooms:
            if left and not room.slow and room.whole:
                left -= 1
            else:
                found.append(room)
        return found

    def _place_idle(self, stage: Stage) -> Placement | None:
        """Place work of a job that stands idle wherever there is room, rather than not at all.

        Answers runners that are avoided by mistake, and gangs that want one rack while most of the
        fleet is free.
        """
        if stage.job.id not in self.idle_jobs:
            return None
        rooms = [*self._suitable(stage)]
        rooms += [room for room in self.avoided if packing.suits(stage, room.runner)]
        indices = stage.waiting()
        places = self._free_places(stage, rooms, len(indices))
        if places is None and self._mostly_free():
            places = packing.fill(stage, rooms, len(indices))
        if not places or (stage.step.gang and len(places) < len(indices)):
            return None
        guaranteed = stage.job.id in self.guaranteed_jobs
        return Placement(stage, indices[: len(places)], places, [], guaranteed)

    def _mostly_free(self) -> bool:
        """Return whether less than half of the fleet is in use."""
        rooms = self.rooms_by_id.values()
        free = sum(room.free.accelerators for room in rooms)
        return 2 * free > sum(room.runner.capacity.accelerators for room in rooms)

    def _suitable(self, stage: Stage) -> list[Room]:
        """Return the rooms on runners that may run a stage."""
        key = (stage.job.record.service, stage.step.label)
        found = self._rooms_by_need.get(key)
        if found is None:
            found = [room for room in self.rooms if packing.suits(stage, room.runner)]
            self._rooms_by_need[key] = found
        return found

    def _full_speed_possible(self, stage: Stage, rooms: list[Room], count: int) -> bool:
        """Return whether tasks would fit at full speed on empty runners, computed once a shape."""
        shape = (_shape(stage, count), count)
        found = self._full_speed_by_shape.get(shape)
        if found is None:
            found = packing.full_speed_possible(stage, rooms, count)
            self._full_speed_by_shape[shape] = found
        return found

    def _free_places(self, stage: Stage, rooms: list[Room], count: int) -> list[str] | None:
        whole = stage.step.gang
        places = packing.choose(stage, rooms, count, whole)
        if places is None and not self._full_speed_possible(stage, rooms, count):
            places = packing.fill(stage, rooms, count)
            if whole and len(places) < count:
                return None
        return places

    def _preempt(
        self,
        stage: Stage,
        rooms: list[Room],
        indices: list[int],
        guaranteed: bool,
        gained: float = 0.0,
    ) -> Placement | None:
        """Place a stage by stopping other work.

        :param gained: part of its worth that this brings beside a place elsewhere, 0.0 where
            there is none; then guaranteed work is placed whatever it costs.
        """
        if not guaranteed and not whole_gain(stage):
            return None
        if self._preemptions_tried >= MOST_PREEMPTIONS:
            return None
        victims = self._victims(stage, guaranteed)
        if not victims:
            return None
        self._preemptions_tried += 1
        count = len(indices)
        spread = not self._full_speed_possible(stage, rooms, count)
        found = preemption.choose(stage, rooms, count, victims, spread)
        if found is None and guaranteed and not gained:
            found = preemption.choose(stage, rooms, count, victims, spread=True)
        if found is None:
            return None
        gain = self._share(stage) * self.worth.of(stage.job.record) * (gained or 1.0)
        if (gained or not guaranteed) and found.cost > PREEMPTION_GAIN * gain:
            return None
        return Placement(stage, indices, found.places, found.victims, guaranteed)

    def _victims(self, stage: Stage, guaranteed: bool) -> dict[str, list[Victim]]:
        """Return what may be stopped for a stage: less urgent work, or what exceeds guarantees."""
        priority = stage.job.record.priority
        known = self._victims_by_claim.get((priority, guaranteed))
        if known is not None:
            return known
        victims: list[Victim] = []
        for job in self.book.open_by_id.values():
            less_urgent = job.record.priority > priority
            exceeds = guaranteed and job.id not in self.guaranteed_jobs
            if not less_urgent and not exceeds:
                continue
            rate = self.worth.per_room(job.record)
            for other in job.stages_by_key.values():
                found = self._victims_by_stage.get(other.key)
                if found is None:
                    found = self._victims_of(other, rate)
                    self._victims_by_stage[other.key] = found
                victims.extend(found)
        self._victims_by_claim[priority, guaranteed] = preemption.by_runner(victims)
        return self._victims_by_claim[priority, guaranteed]

    def _victims_of(self, stage: Stage, worth_per_room: float) -> list[Victim]:
        placed = stage.placed()
        if not placed:
            return []
        task_rate = worth_per_room * self.worth.room.of_step(stage.step, 1)
        if stage.step.gang:
            clocks = [self.run_clock(stage, index) for index in placed]
            if not all(clock.stoppable for clock in clocks):
                return []
            return [Victim(stage, placed, clocks[0].lost_ms, task_rate * len(placed))]
        found = []
        for index in placed:
            clock = self.run_clock(stage, index)
            if clock.stoppable:
                found.append(Victim(stage, [index], clock.lost_ms, task_rate))
        return found

    def _take(self, placement: Placement) -> None:
        """Count a placement; room of victims that it does not use is free only once they ended."""
        before_by_id: dict[str, Capacity] = {}
        for victim in placement.victims:
            victim.stopped = True
            for index in victim.indices:
                runner = victim.stage.runners[index]
                room = self.rooms_by_id.get(runner)
                if room is not None:
                    before_by_id.setdefault(runner, room.free.copy())
                    room.free.take(victim.stage.need, -1)
        for place in placement.places:
            self.rooms_by_id[place].free.take(placement.stage.need)
        for runner, before in before_by_id.items():
            self.rooms_by_id[runner].free.lower_to(before)

    # ------------------------------------------------------------------ reservations

    def _deserves_reservation(self, stage: Stage) -> bool:
        if self._reserved >= MOST_RESERVATIONS or not whole_gain(stage):
            return False
        return self.wall_ms - stage.job.record.accepted_ms > RESERVE_AFTER_MS

    def _reserve(self, stage: Stage) -> None:
        """Keep later work off the runners on which a waiting gang will fit soonest."""
        rooms = self._suitable(stage)
        count = len(stage.waiting())
        domain = packing.closest_domain(stage, rooms, count)
        if not domain:
            return
        self._reserved += 1
        kept = 0
        for room in sorted(domain, key=lambda room: -room.free.accelerators):
            if kept >= count:
                break
            kept += room.runner.capacity.copies_of(stage.need, count - kept)
            room.free = Capacity(0, 0, 0)


def _shape(stage: Stage, count: int) -> tuple:
    """Return what decides whether tasks of a stage fit anywhere; gangs need room for all."""
    step = stage.step
    return (
        stage.job.record.service,
        step.label,
        step.data_rack,
        step.same_rack,
        step.cpu_millis,
        step.memory_mb,
        step.accelerators,
        count if step.gang else 0,
        stage.key if step.most_per_runner else None,
    )


def whole_gain(stage: Stage) -> bool:
    """Return whether a stage gains only from room for all of its tasks at once."""
    return stage.step.gang


def usual_capacity(rooms: list[Room]) -> Capacity:
    """Return the capacity of a usual runner."""
    if not rooms:
        return Capacity(1, 1, 1)
    ordered = sorted(rooms, key=lambda room: room.runner.capacity.accelerators)
    return ordered[len(ordered) // 2].runner.capacity
