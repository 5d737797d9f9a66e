"""One pass over the waiting work: what is placed where, and what is stopped for it."""

from collections.abc import Callable, Collection, Sequence

from carawayroute.fleet import packing, preemption, ranking
from carawayroute.fleet.jobs import JobTable, Stage
from carawayroute.fleet.packing import Candidate
from carawayroute.fleet.preemption import Victim
from carawayroute.fleet.types import Capacity, Configuration

# Stages looked at in one pass; the rest wait for the next one.
MAX_STAGES_PER_PASS = 400
# Worth that may be lost by stopping other work, as a part of what the placed job brings.
MAX_PREEMPTION_COST_SHARE = 0.4
# A gang that has waited this long gets room kept for it.
RESERVE_AFTER_MS = 4_000
MAX_RESERVATIONS = 1
# Share of the fleet's runners that patient work leaves to urgent gangs while they are whole and
# free; a gang that finds none stops several runs (make experiment, policy "no headroom").
HEADROOM_SHARE = 0.15
# Gangs for which a pass looks for work to stop; the search is the dearest part of a pass.
MAX_VICTIM_SEARCHES = 12


class StopCost:
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

    __slots__ = ("guaranteed", "indices", "runner_ids", "stage", "victims")

    def __init__(
        self,
        stage: Stage,
        indices: list[int],
        runner_ids: list[str],
        victims: list[Victim],
        guaranteed: bool,
    ) -> None:
        self.stage = stage
        self.indices = indices
        self.runner_ids = runner_ids
        self.victims = victims
        self.guaranteed = guaranteed


class SchedulingPass:
    """Plan placements on a view of the fleet.

    :param rooms: runners that may get work, with what is free; changed as work is placed.
    :param estimate_ms: returns the run time expected of a task of a stage.
    :param run_clock: returns what is known of a task's current run.
    :param avoided: runners that get work only if a job has stood idle for long.
    :param idle_jobs: such jobs: their turn came, and nothing of them has run for a while.
    """

    def __init__(
        self,
        job_table: JobTable,
        configuration: Configuration,
        candidates: list[Candidate],
        wall_ms: float,
        estimate_ms: Callable[[Stage], float],
        stop_cost: Callable[[Stage, int], StopCost],
        job_values: ranking.JobValues | None = None,
        avoided: Sequence[Candidate] = (),
        idle_jobs: Collection[str] = (),
    ) -> None:
        self.job_table = job_table
        self.configuration = configuration
        self.candidates = candidates
        self.avoided = avoided
        self.idle_jobs = idle_jobs
        self.candidates_by_id = {
            candidate.runner.id: candidate for candidate in (*candidates, *avoided)
        }
        self.wall_ms = wall_ms
        self.estimate_ms = estimate_ms
        self.stop_cost = stop_cost
        self.guaranteed_jobs = ranking.urgent_within_guarantees(
            list(job_table.open_by_id.values()), configuration
        )
        self.job_values = job_values or ranking.JobValues(
            ranking.DominantShare(median_capacity(candidates))
        )
        self.job_values.add_open_jobs(job_table)
        self._reserved = 0
        self._victim_searches = 0
        self._unplaceable: set[tuple] = set()
        self._full_speed_by_shape: dict[tuple, bool] = {}
        self._eligible_by_service_label: dict[tuple[str, str], list[Candidate]] = {}
        self._victims_by_stage: dict[tuple[str, int, int], list[Victim]] = {}
        self._victims_by_priority: dict[tuple[int, bool], dict[str, list[Victim]]] = {}

    def run(self) -> list[Placement]:
        """Return what is to be placed, in order."""
        if not self.candidates_by_id:
            return []
        waiting = [
            stage
            for job in self.job_table.open_by_id.values()
            for stage in job.open_stages(self.wall_ms)
            if self._is_waiting(stage)
        ]
        waiting.sort(key=self._rank)
        placements = []
        for stage in waiting[:MAX_STAGES_PER_PASS]:
            placement = self._place(stage) or self._place_idle(stage)
            if placement is not None:
                self._commit(placement)
                placements.append(placement)
            elif self._needs_reservation(stage):
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
        share = self._value_share(stage)
        score = (
            share
            * self.job_values.value_per_runner_ms(job.record)
            * ranking.aging_factor(job, self.wall_ms)
        )
        return (1, -score, job.record.accepted_ms, job.id, stage.number)

    def _value_share(self, stage: Stage) -> float:
        job = stage.job
        estimates = [
            self.estimate_ms(job.stage(stage.occurrence, number))
            for number in range(len(job.record.steps))
        ]
        critical_path_ms = job.critical_path_ms(dict(enumerate(estimates)))
        remaining_ms = ranking.remaining_critical_path_ms(job, stage.occurrence, estimates)
        return ranking.remaining_value_share(job, critical_path_ms, remaining_ms, self.wall_ms)

    # ------------------------------------------------------------------ places

    def _place(self, stage: Stage) -> Placement | None:
        candidates = self._available_to(stage)
        indices = stage.waiting()
        guaranteed = stage.job.id in self.guaranteed_jobs
        # Room only shrinks during a pass, so what did not fit once does not fit later.
        shape = _shape(stage, len(indices))
        if packing.is_time_critical(stage) and stage.step.gang:
            found = self._place_time_critical(stage, candidates, indices, guaranteed)
            if found is not None:
                return found
        if shape not in self._unplaceable:
            runner_ids = self._find_free_runners(stage, candidates, len(indices))
            if runner_ids:
                return Placement(stage, indices[: len(runner_ids)], runner_ids, [], guaranteed)
            self._unplaceable.add(shape)
        return self._preempt(stage, candidates, indices, guaranteed)

    def _place_time_critical(
        self, stage: Stage, candidates: list[Candidate], indices: list[int], guaranteed: bool
    ) -> Placement | None:
        """Place a gang in a hurry on runners that are not slow, by stopping others if it pays."""
        fast_candidates = [candidate for candidate in candidates if not candidate.slow]
        if len(fast_candidates) == len(candidates) or self._value_share(stage) < 1.0:
            return None
        shape = ("fast", _shape(stage, len(indices)))
        if shape not in self._unplaceable:
            runner_ids = packing.choose(stage, fast_candidates, len(indices), all_or_nothing=True)
            if runner_ids:
                return Placement(stage, indices, runner_ids, [], guaranteed)
            self._unplaceable.add(shape)
        if not packing.full_speed_possible(stage, fast_candidates, len(indices)):
            return None
        return self._preempt(
            stage, fast_candidates, indices, guaranteed, 1 - ranking.LATE_VALUE_SHARE
        )

    def _available_to(self, stage: Stage) -> list[Candidate]:
        """Return the rooms on runners that a stage may use now.

        Answers bursts of urgent gangs of whole runners over a fleet full of patient work, which
        would fill every gap and be stopped again for each of them.
        """
        candidates = self._eligible(stage)
        if packing.is_time_critical(stage):
            return candidates
        headroom = int(HEADROOM_SHARE * len(self.candidates))
        found = []
        for candidate in candidates:
            if headroom and not candidate.slow and candidate.unallocated:
                headroom -= 1
            else:
                found.append(candidate)
        return found

    def _place_idle(self, stage: Stage) -> Placement | None:
        """Place work of a job that stands idle wherever there is room, rather than not at all.

        Answers runners that are avoided by mistake, and gangs that want one rack while most of the
        fleet is free.
        """
        if stage.job.id not in self.idle_jobs:
            return None
        candidates = [*self._eligible(stage)]
        candidates += [
            candidate for candidate in self.avoided if packing.can_run(stage, candidate.runner)
        ]
        indices = stage.waiting()
        runner_ids = self._find_free_runners(stage, candidates, len(indices))
        if runner_ids is None and self._mostly_free():
            runner_ids = packing.best_fit(stage, candidates, len(indices))
        if not runner_ids or (stage.step.gang and len(runner_ids) < len(indices)):
            return None
        guaranteed = stage.job.id in self.guaranteed_jobs
        return Placement(stage, indices[: len(runner_ids)], runner_ids, [], guaranteed)

    def _mostly_free(self) -> bool:
        """Return whether less than half of the fleet is in use."""
        candidates = self.candidates_by_id.values()
        free = sum(candidate.free.accelerators for candidate in candidates)
        return 2 * free > sum(candidate.runner.capacity.accelerators for candidate in candidates)

    def _eligible(self, stage: Stage) -> list[Candidate]:
        """Return the rooms on runners that may run a stage."""
        key = (stage.job.record.service, stage.step.label)
        found = self._eligible_by_service_label.get(key)
        if found is None:
            found = [
                candidate
                for candidate in self.candidates
                if packing.can_run(stage, candidate.runner)
            ]
            self._eligible_by_service_label[key] = found
        return found

    def _full_speed_possible(self, stage: Stage, candidates: list[Candidate], count: int) -> bool:
        """Return whether tasks would fit at full speed on empty runners, computed once a shape."""
        shape = (_shape(stage, count), count)
        found = self._full_speed_by_shape.get(shape)
        if found is None:
            found = packing.full_speed_possible(stage, candidates, count)
            self._full_speed_by_shape[shape] = found
        return found

    def _find_free_runners(
        self, stage: Stage, candidates: list[Candidate], count: int
    ) -> list[str] | None:
        all_or_nothing = stage.step.gang
        runner_ids = packing.choose(stage, candidates, count, all_or_nothing)
        if runner_ids is None and not self._full_speed_possible(stage, candidates, count):
            runner_ids = packing.best_fit(stage, candidates, count)
            if all_or_nothing and len(runner_ids) < count:
                return None
        return runner_ids

    def _preempt(
        self,
        stage: Stage,
        candidates: list[Candidate],
        indices: list[int],
        guaranteed: bool,
        gain_share: float = 0.0,
    ) -> Placement | None:
        """Place a stage by stopping other work.

        :param gained: part of its worth that this brings beside a place elsewhere, 0.0 where
            there is none; then guaranteed work is placed whatever it costs.
        """
        if not guaranteed and not is_all_or_nothing(stage):
            return None
        if self._victim_searches >= MAX_VICTIM_SEARCHES:
            return None
        victims = self._victims(stage, guaranteed)
        if not victims:
            return None
        self._victim_searches += 1
        count = len(indices)
        spread = not self._full_speed_possible(stage, candidates, count)
        found = preemption.choose(stage, candidates, count, victims, spread)
        if found is None and guaranteed and not gain_share:
            found = preemption.choose(stage, candidates, count, victims, spread=True)
        if found is None:
            return None
        gain = (
            self._value_share(stage)
            * self.job_values.value_of(stage.job.record)
            * (gain_share or 1.0)
        )
        if (gain_share or not guaranteed) and found.cost > MAX_PREEMPTION_COST_SHARE * gain:
            return None
        return Placement(stage, indices, found.runner_ids, found.victims, guaranteed)

    def _victims(self, stage: Stage, guaranteed: bool) -> dict[str, list[Victim]]:
        """Return what may be stopped for a stage: less urgent work, or what exceeds guarantees."""
        priority = stage.job.record.priority
        known = self._victims_by_priority.get((priority, guaranteed))
        if known is not None:
            return known
        victims: list[Victim] = []
        for job in self.job_table.open_by_id.values():
            less_urgent = job.record.priority > priority
            exceeds = guaranteed and job.id not in self.guaranteed_jobs
            if not less_urgent and not exceeds:
                continue
            value_rate = self.job_values.value_per_runner_ms(job.record)
            for other in job.stages_by_key.values():
                found = self._victims_by_stage.get(other.key)
                if found is None:
                    found = self._victims_of(other, value_rate)
                    self._victims_by_stage[other.key] = found
                victims.extend(found)
        self._victims_by_priority[priority, guaranteed] = preemption.group_by_runner(victims)
        return self._victims_by_priority[priority, guaranteed]

    def _victims_of(self, stage: Stage, value_per_runner_ms: float) -> list[Victim]:
        placed = stage.placed()
        if not placed:
            return []
        task_rate = value_per_runner_ms * self.job_values.dominant_share.of_step(stage.step, 1)
        if stage.step.gang:
            stop_costs = [self.stop_cost(stage, index) for index in placed]
            if not all(task_cost.stoppable for task_cost in stop_costs):
                return []
            return [Victim(stage, placed, stop_costs[0].lost_ms, task_rate * len(placed))]
        found = []
        for index in placed:
            task_cost = self.stop_cost(stage, index)
            if task_cost.stoppable:
                found.append(Victim(stage, [index], task_cost.lost_ms, task_rate))
        return found

    def _commit(self, placement: Placement) -> None:
        """Count a placement; room of victims that it does not use is free only once they ended."""
        before_by_id: dict[str, Capacity] = {}
        for victim in placement.victims:
            victim.stopped = True
            for index in victim.indices:
                runner = victim.stage.runners[index]
                candidate = self.candidates_by_id.get(runner)
                if candidate is not None:
                    before_by_id.setdefault(runner, candidate.free.copy())
                    candidate.free.subtract(victim.stage.demand, -1)
        for runner_id in placement.runner_ids:
            self.candidates_by_id[runner_id].free.subtract(placement.stage.demand)
        for runner, before in before_by_id.items():
            self.candidates_by_id[runner].free.lower_to(before)

    # ------------------------------------------------------------------ reservations

    def _needs_reservation(self, stage: Stage) -> bool:
        if self._reserved >= MAX_RESERVATIONS or not is_all_or_nothing(stage):
            return False
        return self.wall_ms - stage.job.record.accepted_ms > RESERVE_AFTER_MS

    def _reserve(self, stage: Stage) -> None:
        """Keep later work off the runners on which a waiting gang will fit soonest."""
        candidates = self._eligible(stage)
        count = len(stage.waiting())
        domain = packing.emptiest_domain(stage, candidates, count)
        if not domain:
            return
        self._reserved += 1
        kept = 0
        for candidate in sorted(domain, key=lambda candidate: -candidate.free.accelerators):
            if kept >= count:
                break
            kept += candidate.runner.capacity.count_fitting(stage.demand, count - kept)
            candidate.free = Capacity(0, 0, 0)


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


def is_all_or_nothing(stage: Stage) -> bool:
    """Return whether a stage gains only from room for all of its tasks at once."""
    return stage.step.gang


def median_capacity(candidates: list[Candidate]) -> Capacity:
    """Return the capacity of a usual runner."""
    if not candidates:
        return Capacity(1, 1, 1)
    ordered = sorted(candidates, key=lambda candidate: candidate.runner.capacity.accelerators)
    return ordered[len(ordered) // 2].runner.capacity
