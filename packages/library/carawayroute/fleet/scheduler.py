"""Scheduling pass: ranks the waiting work, places it on runners and chooses preemption victims."""

import math
from collections.abc import Callable, Collection, Sequence

from carawayroute.fleet import isolation, packing, preemption, ranking
from carawayroute.fleet.fit_cache import FitCache, shape_of
from carawayroute.fleet.isolation import Isolation
from carawayroute.fleet.jobs import JobTable, Stage
from carawayroute.fleet.packing import Candidate
from carawayroute.fleet.preemption import Victim
from carawayroute.fleet.reservations import ReservationTurns
from carawayroute.fleet.types import Capacity, Configuration
from carawayroute.turns import Turns

# Stages for which a pass searches room. Others whose demand was found unmet are passed over.
MAX_STAGES_PER_PASS = 400
# Value that preemption may lose, as a share of the value that the placed job gains.
MAX_PREEMPTION_COST_SHARE = 0.4
# A gang that has waited this long gets a reservation.
RESERVE_AFTER_MS = 4_000
MAX_RESERVATIONS = 1
# Share of the fleet's accelerators, as whole runners, that work that is not time-critical leaves
# free for urgent gangs. Without it such a gang preempts several runs (make experiment, policy "no
# headroom").
HEADROOM_SHARE = 0.15
# Harm of stopping a guaranteed task, where that of any other is one; above what a runner holds.
GUARANTEED_HARM = 1_000.0
# The victim search is the most expensive part of a pass.
MAX_VICTIM_SEARCHES = 12
# Above the cost of any preemption.
LARGEST_COST = 1e300


class StopCost:
    """What is lost by stopping the current run of a task.

    :param lost_ms: run time since the last checkpoint.
    :param stoppable: the runner is reachable, and the run is not being stopped already.
    """

    __slots__ = ("lost_ms", "stoppable")

    def __init__(self, lost_ms: float, stoppable: bool) -> None:
        self.lost_ms = lost_ms
        self.stoppable = stoppable


class Placement:
    """Tasks to start, with one runner id each, once the victims have ended.

    :param isolated: runners on which a task runs that is suspected of crashing runners.
    """

    __slots__ = ("guaranteed", "indices", "isolated", "runner_ids", "stage", "victims")

    def __init__(
        self,
        stage: Stage,
        indices: list[int],
        runner_ids: list[str],
        victims: list[Victim],
        guaranteed: bool,
        isolated: Sequence[Candidate] = (),
    ) -> None:
        self.stage = stage
        self.indices = indices
        self.runner_ids = runner_ids
        self.victims = victims
        self.guaranteed = guaranteed
        self.isolated = isolated


class PassTurns:
    """What the passes of a term share, so that no waiting work is left out of all of them.

    :ivar stages: stages for which room is searched.
    :ivar victim_searches: stages for which work is searched that may be stopped.
    :ivar reservations: gangs that hold a reservation.
    """

    __slots__ = ("reservations", "stages", "victim_searches")

    def __init__(self) -> None:
        self.stages = Turns(MAX_STAGES_PER_PASS)
        self.victim_searches = Turns(MAX_VICTIM_SEARCHES)
        self.reservations = ReservationTurns()


class SchedulingPass:
    """One scheduling pass over a snapshot of the fleet.

    :param candidates: runners that may get work; their free capacity is updated as work is placed.
    :param wall_ms: current wall-clock time.
    :param estimate_ms: returns the expected run time of a task of a stage.
    :param stop_cost: returns the cost of stopping the current run of a task.
    :param job_values: value model to reuse; a new one is made from the open jobs by default.
    :param avoided: unhealthy runners, used only for idle jobs.
    :param idle_jobs: ids of jobs that are due but of which nothing has run for a while.
    :param suspects: placement of tasks that are suspected of crashing runners.
    :param stages: all stages that are due; collected from the open jobs by default.
    :param preempting: whether work beyond guarantees may preempt.
    :param turns: what this pass shares with the ones before; nothing by default.
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
        suspects: Isolation | None = None,
        stages: list[Stage] | None = None,
        preempting: bool = True,
        turns: PassTurns | None = None,
    ) -> None:
        self.job_table = job_table
        self.configuration = configuration
        self.candidates = candidates
        self.avoided = avoided
        self.idle_jobs = idle_jobs
        self.suspects = suspects or Isolation(candidates)
        self._preempting = preempting
        self._stages = stages
        self.candidates_by_id = {
            candidate.runner.id: candidate for candidate in (*candidates, *avoided)
        }
        self.wall_ms = wall_ms
        self.estimate_ms = estimate_ms
        self.stop_cost = stop_cost
        self._empty_room = packing.EmptyRoom((*candidates, *avoided))
        self.guaranteed_jobs = ranking.urgent_within_guarantees(
            list(job_table.open_by_id.values()),
            configuration,
            lambda job: self._empty_room.may_hold(job.record),
        )
        self.job_values = job_values or ranking.JobValues(
            ranking.DominantShare(median_capacity(candidates))
        )
        self.job_values.add_open_jobs(job_table)
        self._headroom = HEADROOM_SHARE * sum(
            candidate.runner.capacity.accelerators for candidate in candidates
        )
        self._turns = turns or PassTurns()
        # Demands for which no room was found, with the gain for which work could be stopped.
        self._unmet: dict[tuple, float] = {}
        self._search_put_off = False
        self._unplaced: list[Stage] = []
        self._reserved = 0
        self._reserved_room: dict[str, Capacity] = {}
        self._backlog_share = 0.0
        self._fits = FitCache()
        self._eligible_by_service_label: dict[tuple[str, str], list[Candidate]] = {}
        self._fast_by_service_label: dict[tuple[str, str], list[Candidate]] = {}
        self._available_by_service_label: dict[tuple[str, str], list[Candidate]] = {}
        self._value_share_by_stage: dict[tuple[str, int, int], float] = {}
        self._harm_by_runner: dict[str, float] | None = None
        self._victims_by_stage: dict[tuple[str, int, int], list[Victim]] = {}
        self._victims_by_priority: dict[tuple[int, bool], dict[str, list[Victim]]] = {}

    def run(self) -> list[Placement]:
        """Return the placements of this pass, highest rank first."""
        self._turns.stages.begin_pass()
        self._turns.victim_searches.begin_pass()
        if not self.candidates_by_id:
            return []
        stages = self._stages
        if stages is None:
            stages = [
                stage
                for job in self.job_table.open_by_id.values()
                for stage in job.open_stages(self.wall_ms)
            ]
        waiting = [stage for stage in stages if self._is_waiting(stage)]
        self._backlog_share = self._share_of_fleet(waiting)
        waiting.sort(key=self._rank)
        placements = []
        for stage in waiting:
            demand = self._demand(stage)
            gain = self._preemption_gain(stage)
            placement = None
            if not self._is_unmet(demand, gain) and self._may_ever_fit(stage):
                if not self._turns.stages.admit(stage.key):
                    continue
                self._search_put_off = False
                placement = self._place(stage) or self._place_idle(stage)
            if placement is not None:
                self._commit(placement)
                placements.append(placement)
                continue
            if not self._search_put_off:
                self._note_unmet(demand, gain)
            self._unplaced.append(stage)
            if self._needs_reservation(stage):
                self._reserve(stage)
        return placements

    def stuck_stages(self) -> list[Stage]:
        """Return stages that the run could not place for a reason that holds for no other work.

        They wait for particular runners, or for more than the runners hold.
        """
        # Stages often have the same demand.
        fits_by_demand: dict[tuple, bool] = {}
        return [
            stage
            for stage in self._unplaced
            if not self._may_ever_fit(stage)
            or (stage.step.label or stage.step.most_per_runner)
            and self._fits_elsewhere(stage, fits_by_demand)
        ]

    def _fits_elsewhere(self, stage: Stage, fits_by_demand: dict[tuple, bool]) -> bool:
        """Return whether a stage has room but for the label or the limit per runner it asks for."""
        service, demand = stage.job.record.service, stage.demand
        needed = stage.step.count if stage.step.gang else 1
        key = (service, demand.cpu_millis, demand.memory_mb, demand.accelerators, needed)
        if key not in fits_by_demand:
            fitting = sum(
                candidate.free.count_fitting(demand, needed)
                for candidate in self.candidates
                if candidate.runner.service == service
            )
            fits_by_demand[key] = fitting >= needed
        return fits_by_demand[key]

    def services_without_queue(self) -> set[str]:
        """Return the services that are mostly free and of which only stuck stages wait.

        Unplaced work beside free runners shows that something else holds work back, such as tasks
        that are suspected of crashing runners, and would hold new work back as well.
        """
        stuck = {stage.key for stage in self.stuck_stages()}
        queued = {stage.job.record.service for stage in self._unplaced if stage.key not in stuck}
        return self.mostly_free_services() - queued

    def mostly_free_services(self) -> set[str]:
        """Return the services of which at least half of each resource is free, reserved or not."""
        sums_by_service: dict[str, tuple[Capacity, Capacity]] = {}
        for runner_id, candidate in self.candidates_by_id.items():
            free, total = sums_by_service.setdefault(
                candidate.runner.service, (Capacity(0, 0, 0), Capacity(0, 0, 0))
            )
            free.subtract(self._reserved_room.get(runner_id, candidate.free), -1)
            total.subtract(candidate.runner.capacity, -1)
        return {
            service
            for service, (free, total) in sums_by_service.items()
            if 2 * free.accelerators >= total.accelerators
            and 2 * free.cpu_millis >= total.cpu_millis
            and 2 * free.memory_mb >= total.memory_mb
        }

    def _demand(self, stage: Stage) -> tuple | None:
        """Return what decides whether a stage can be placed, ``None`` if more than that does.

        Free capacity only shrinks during a pass, so that of all stages with the same demand only
        the first one that cannot be placed is searched room for.
        """
        if any(stage.crashes):
            # Where suspects of crashing runners are placed depends on each of them.
            return None
        job = stage.job
        return (
            shape_of(stage),
            len(stage.waiting()),
            packing.is_time_critical(stage),
            job.record.priority,
            job.id in self.guaranteed_jobs,
            job.id in self.idle_jobs,
            any(stage.failures),
        )

    def _preemption_gain(self, stage: Stage) -> float:
        """Return the value of a stage's job if it decides whether work is stopped for it."""
        if stage.job.id in self.guaranteed_jobs or not is_all_or_nothing(stage):
            return 0.0
        return self._gain(stage)

    def _gain(self, stage: Stage) -> float:
        return self._value_share(stage) * self.job_values.value_of(stage.job.record)

    def _is_unmet(self, demand: tuple | None, gain: float) -> bool:
        return demand is not None and gain <= self._unmet.get(demand, -math.inf)

    def _may_ever_fit(self, stage: Stage) -> bool:
        """Return whether a stage may fit once the runners are empty."""
        return self._empty_room.may_hold_step(stage.job.record.service, stage.step)

    def _note_unmet(self, demand: tuple | None, gain: float) -> None:
        if demand is not None:
            self._unmet[demand] = max(gain, self._unmet.get(demand, gain))

    def _share_of_fleet(self, stages: list[Stage]) -> float:
        """Return the accelerators that stages wait for, as a share of all that the fleet has."""
        wanted = sum(stage.demand.accelerators * len(stage.waiting()) for stage in stages)
        available = sum(one.runner.capacity.accelerators for one in self.candidates)
        return wanted / max(1, available)

    @staticmethod
    def _is_waiting(stage: Stage) -> bool:
        if stage.step.gang:
            return not any(stage.runners)
        return any(
            not runner and not done for runner, done in zip(stage.runners, stage.done, strict=True)
        )

    # ------------------------------------------------------------------ ranking

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
        known = self._value_share_by_stage.get(stage.key)
        if known is None:
            known = self._value_share_by_stage[stage.key] = self._compute_value_share(stage)
        return known

    def _compute_value_share(self, stage: Stage) -> float:
        job = stage.job
        estimates = [
            self.estimate_ms(job.stage(stage.occurrence, number))
            for number in range(len(job.record.steps))
        ]
        critical_path_ms = job.critical_path_ms(dict(enumerate(estimates)))
        remaining_ms = ranking.remaining_critical_path_ms(job, stage.occurrence, estimates)
        return ranking.remaining_value_share(job, critical_path_ms, remaining_ms, self.wall_ms)

    # ------------------------------------------------------------------ placement

    def _place(self, stage: Stage) -> Placement | None:
        indices = stage.waiting()
        suspects = isolation.suspects(stage, indices)
        if suspects:
            return self._place_suspects(stage, indices, suspects)
        candidates = self._available_to(stage)
        elsewhere = isolation.elsewhere(stage, candidates)
        if elsewhere:
            runner_ids = packing.choose(stage, elsewhere, len(indices), stage.step.gang)
            if runner_ids:
                guaranteed = stage.job.id in self.guaranteed_jobs
                return Placement(stage, indices[: len(runner_ids)], runner_ids, [], guaranteed)
        return self._place_among(stage, indices, candidates)

    def _place_among(
        self,
        stage: Stage,
        indices: list[int],
        candidates: list[Candidate],
        remembered: bool = True,
    ) -> Placement | None:
        """Place tasks on candidates, by preemption if none is free.

        :param remembered: whether the outcome holds for all stages of the same shape, as it does
            if the candidates are all that are available.
        """
        guaranteed = stage.job.id in self.guaranteed_jobs
        if packing.is_time_critical(stage) and stage.step.gang:
            found = self._place_time_critical(stage, candidates, indices, guaranteed, remembered)
            if found is not None:
                return found
        at_full_speed = self._full_speed_possible(stage, candidates, len(indices))
        key = (shape_of(stage), at_full_speed)
        together = len(indices) if stage.step.gang else 1
        if not self._fits.is_unplaceable(key, together):
            runner_ids = self._find_free_runners(stage, candidates, len(indices))
            if runner_ids:
                return Placement(stage, indices[: len(runner_ids)], runner_ids, [], guaranteed)
            if remembered:
                self._fits.note_unplaceable(key, together)
        return self._preempt(stage, candidates, indices, guaranteed, remembered=remembered)

    def _place_suspects(
        self, stage: Stage, indices: list[int], suspects: list[int]
    ) -> Placement | None:
        """Place a stage of which some waiting tasks are suspected of crashing runners."""
        waits = self.suspects.must_wait(stage, suspects)
        candidates = self._eligible(stage) if waits else self._available_to(stage)
        others = [index for index in indices if index not in suspects]
        placement = self._place_isolated(stage, candidates, suspects, others)
        if placement is not None:
            return placement
        if others and not stage.step.gang:
            return self._place_among(stage, others, self._available_to(stage))
        overdue = self.suspects.is_overdue(stage, suspects)
        if not waits:
            allowed = candidates if overdue else [one for one in candidates if one.steady]
            return self._place_lone_suspects(stage, indices, allowed)
        if not overdue:
            return None
        chosen = self.suspects.choose_least_harmful(stage, candidates, len(suspects), self._harm())
        placement = self._place_around(stage, candidates, suspects, others, chosen)
        if placement is None and stage.step.gang:
            # There may be fewer runners than suspects.
            runner_ids = self._find_free_runners(stage, candidates, len(indices))
            if runner_ids:
                guaranteed = stage.job.id in self.guaranteed_jobs
                return Placement(stage, indices, runner_ids, [], guaranteed)
        return placement

    def _place_isolated(
        self, stage: Stage, candidates: list[Candidate], suspects: list[int], others: list[int]
    ) -> Placement | None:
        """Place suspects on empty runners, and the other members of a gang beside them."""
        domains = packing.domains(stage, candidates)
        if len(domains) > 1 and not self._full_speed_possible(stage, candidates, stage.step.count):
            domains = [candidates]
        for domain in domains:
            chosen = self.suspects.choose_empty(stage, domain, suspects)
            placement = self._place_around(stage, domain, suspects, others, chosen)
            if placement is not None:
                return placement
        return None

    def _place_around(
        self,
        stage: Stage,
        candidates: list[Candidate],
        suspects: list[int],
        others: list[int],
        chosen: list[Candidate],
    ) -> Placement | None:
        """Place suspects on runners chosen for them, and other tasks on the rest.

        :param chosen: a runner for each of the first suspects.
        """
        if not chosen:
            return None
        ids = {candidate.runner.id for candidate in chosen}
        runner_ids: list[str] = []
        if others:
            within = {candidate.runner.id for candidate in candidates} - ids
            rest = [one for one in self._available_to(stage) if one.runner.id in within]
            runner_ids = packing.best_fit(stage, rest, len(others))
        if stage.step.gang and len(chosen) + len(runner_ids) < len(suspects) + len(others):
            return None
        return Placement(
            stage,
            suspects[: len(chosen)] + others[: len(runner_ids)],
            [candidate.runner.id for candidate in chosen] + runner_ids,
            [],
            stage.job.id in self.guaranteed_jobs,
            chosen,
        )

    def _place_lone_suspects(
        self, stage: Stage, indices: list[int], candidates: list[Candidate]
    ) -> Placement | None:
        """Place suspects after a single crash as usual, but rather not beside guaranteed work."""
        harm = self._harm()
        apart = [one for one in candidates if harm.get(one.runner.id, 0.0) < GUARANTEED_HARM]
        if len(apart) < len(candidates):
            runner_ids = packing.choose(stage, apart, len(indices), stage.step.gang)
            if runner_ids:
                guaranteed = stage.job.id in self.guaranteed_jobs
                return Placement(stage, indices[: len(runner_ids)], runner_ids, [], guaranteed)
        return self._place_among(stage, indices, candidates, remembered=False)

    def _harm(self) -> dict[str, float]:
        """Return what the crash of each runner would harm, guaranteed work above all other."""
        if self._harm_by_runner is None:
            harm: dict[str, float] = {}
            for job in self.job_table.open_by_id.values():
                each = GUARANTEED_HARM if job.id in self.guaranteed_jobs else 1.0
                for stage in job.stages_by_key.values():
                    for index in stage.placed():
                        runner = stage.runners[index]
                        harm[runner] = harm.get(runner, 0.0) + each
            self._harm_by_runner = harm
        return self._harm_by_runner

    def _place_time_critical(
        self,
        stage: Stage,
        candidates: list[Candidate],
        indices: list[int],
        guaranteed: bool,
        remembered: bool,
    ) -> Placement | None:
        """Place a time-critical gang on runners that are not slow, by preemption if it pays."""
        if remembered:
            fast_candidates = self._fast(stage)
        else:
            fast_candidates = [candidate for candidate in candidates if not candidate.slow]
        if len(fast_candidates) == len(candidates) or self._value_share(stage) < 1.0:
            return None
        key = (shape_of(stage), "fast")
        if not self._fits.is_unplaceable(key, len(indices)):
            runner_ids = packing.choose(stage, fast_candidates, len(indices), all_or_nothing=True)
            if runner_ids:
                return Placement(stage, indices, runner_ids, [], guaranteed)
            if remembered:
                self._fits.note_unplaceable(key, len(indices))
        most = self._fits.most_when_empty(
            key, lambda: packing.most_when_empty(stage, fast_candidates)
        )
        if most < len(indices):
            return None
        return self._preempt(
            stage,
            fast_candidates,
            indices,
            guaranteed,
            1 - ranking.LATE_VALUE_SHARE,
            remembered,
        )

    def _available_to(self, stage: Stage) -> list[Candidate]:
        """Return the candidates that a stage may use, less the headroom for urgent gangs.

        Without headroom, low-priority work fills every gap in a full fleet and is preempted again
        for each urgent gang of whole runners in a burst.
        """
        candidates = self._eligible(stage)
        if packing.is_time_critical(stage):
            return candidates
        key = (stage.job.record.service, stage.step.label)
        known = self._available_by_service_label.get(key)
        if known is None:
            known = self._available_by_service_label[key] = self._less_headroom(candidates)
        return known

    def _less_headroom(self, candidates: list[Candidate]) -> list[Candidate]:
        """Return candidates without the empty runners that are kept for urgent gangs."""
        headroom = self._headroom
        found = []
        for candidate in candidates:
            accelerators = candidate.runner.capacity.accelerators
            if 0 < accelerators <= headroom and not candidate.slow and candidate.unallocated:
                headroom -= accelerators
            else:
                found.append(candidate)
        return found

    def _place_idle(self, stage: Stage) -> Placement | None:
        """Place work of an idle job also on avoided runners and, if most is free, across domains.

        This covers runners that are avoided by mistake, and gangs that ask for one rack while most
        of the fleet is free.
        """
        if stage.job.id not in self.idle_jobs:
            return None
        candidates = [*self._eligible(stage)]
        candidates += [
            candidate for candidate in self.avoided if packing.can_run(stage, candidate.runner)
        ]
        indices = stage.waiting()
        runner_ids = self._find_for_idle(stage, candidates, len(indices))
        if not runner_ids and self._release_reserved(stage.job.record.service):
            runner_ids = self._find_for_idle(stage, candidates, len(indices))
        if not runner_ids:
            return None
        guaranteed = stage.job.id in self.guaranteed_jobs
        return Placement(stage, indices[: len(runner_ids)], runner_ids, [], guaranteed)

    def _find_for_idle(
        self, stage: Stage, candidates: list[Candidate], count: int
    ) -> list[str] | None:
        runner_ids = self._find_free_runners(stage, candidates, count)
        if runner_ids is None and self._accelerators_mostly_free():
            runner_ids = packing.best_fit(stage, candidates, count)
        if runner_ids and stage.step.gang and len(runner_ids) < count:
            return None
        return runner_ids

    def _accelerators_mostly_free(self) -> bool:
        """Return whether more than half of the fleet's unreserved accelerators are free."""
        candidates = self.candidates_by_id.values()
        free = sum(candidate.free.accelerators for candidate in candidates)
        return 2 * free > sum(candidate.runner.capacity.accelerators for candidate in candidates)

    def _eligible(self, stage: Stage) -> list[Candidate]:
        """Return the candidates that can run a stage."""
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

    def _fast(self, stage: Stage) -> list[Candidate]:
        """Return the candidates that can run a stage and are not slow."""
        key = (stage.job.record.service, stage.step.label)
        found = self._fast_by_service_label.get(key)
        if found is None:
            found = [candidate for candidate in self._eligible(stage) if not candidate.slow]
            self._fast_by_service_label[key] = found
        return found

    def _full_speed_possible(self, stage: Stage, candidates: list[Candidate], count: int) -> bool:
        """Return whether tasks would fit in one domain of empty runners; cached by shape."""
        most = self._fits.most_when_empty(
            (shape_of(stage),), lambda: packing.most_when_empty(stage, candidates)
        )
        return count <= most

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
        remembered: bool = True,
    ) -> Placement | None:
        """Place a stage by preempting other work.

        :param gain_share: share of the job's value gained over its placement without preemption;
            0.0 if there is no such placement, and then guaranteed work is placed at any cost.
        :param remembered: whether the outcome holds for all stages of the same shape.
        """
        if not guaranteed and not is_all_or_nothing(stage):
            return None
        if not guaranteed and not self._preempting:
            return None
        if not guaranteed and any(stage.failures):
            # It may fail again, and its victims' work would be lost for nothing.
            return None
        count = len(indices)
        gain = self._gain(stage) * (gain_share or 1.0)
        at_any_cost = guaranteed and not gain_share
        most = LARGEST_COST if at_any_cost else MAX_PREEMPTION_COST_SHARE * gain
        spread = not self._full_speed_possible(stage, candidates, count)
        key = (shape_of(stage), spread, stage.job.record.priority, guaranteed, bool(gain_share))
        if self._fits.is_too_costly(key, count, most):
            return None
        victims = self._victims(stage, guaranteed)
        if not victims:
            return None
        # Work beyond guarantees may not preempt in each pass, so that it cannot queue for one.
        if not self._turns.victim_searches.admit(stage.key, queued=guaranteed):
            self._search_put_off = True
            return None
        found = preemption.choose(stage, candidates, count, victims, spread)
        if found is None and at_any_cost:
            found = preemption.choose(stage, candidates, count, victims, spread=True)
        cost = math.inf
        if found is not None:
            displaced = found.displaced_value(self.estimate_ms(stage))
            # While little waits, the victims are soon placed elsewhere.
            cost = found.cost + min(1.0, self._backlog_share) * displaced
        if found is None or cost > most:
            if remembered:
                self._fits.note_cost(key, count, cost)
            return None
        return Placement(stage, indices, found.runner_ids, found.victims, guaranteed)

    def _victims(self, stage: Stage, guaranteed: bool) -> dict[str, list[Victim]]:
        """Return the possible victims by runner.

        Less urgent work may be preempted, and for a guaranteed job also all work that is not
        within a guarantee.
        """
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
        """Update the free capacity for a placement.

        Capacity of its victims beyond what it uses is not given out before the victims have ended.
        """
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
        self.suspects.close(placement.isolated)
        # Runners that were empty may be in use now.
        self._available_by_service_label.clear()

    # ------------------------------------------------------------------ reservations

    def _needs_reservation(self, stage: Stage) -> bool:
        if self._reserved >= MAX_RESERVATIONS or not is_all_or_nothing(stage):
            return False
        return self.wall_ms - stage.job.record.accepted_ms > RESERVE_AFTER_MS

    def _reserve(self, stage: Stage) -> None:
        """Block the runners on which a waiting gang will fit soonest for the rest of the pass."""
        candidates = self._eligible(stage)
        count = len(stage.waiting())
        domain = packing.emptiest_domain(stage, candidates, count)
        if not domain or not self._turns.reservations.admit(stage.key, self.wall_ms):
            return
        self._reserved += 1
        kept = 0
        for candidate in sorted(domain, key=lambda candidate: -candidate.free.accelerators):
            if kept >= count:
                break
            kept += candidate.runner.capacity.count_fitting(stage.demand, count - kept)
            self._reserved_room[candidate.runner.id] = candidate.free.copy()
            candidate.free.lower_to(Capacity(0, 0, 0))
        self._available_by_service_label.clear()

    def _release_reserved(self, service: str) -> bool:
        """Give reserved room back if it belongs to a service of which most is free.

        A gang that does not fit then waits for particular runners, which other work need not do.

        :return: whether any was given back.
        """
        services = {self.candidates_by_id[one].runner.service for one in self._reserved_room}
        if services != {service} or service not in self.mostly_free_services():
            return False
        for runner_id, room in self._reserved_room.items():
            self.candidates_by_id[runner_id].free = room
        self._reserved_room = {}
        self._available_by_service_label.clear()
        return True


def is_all_or_nothing(stage: Stage) -> bool:
    """Return whether a stage can only start with all of its tasks at once."""
    return stage.step.gang


def median_capacity(candidates: list[Candidate]) -> Capacity:
    """Return the capacity of the runner with the median number of accelerators."""
    if not candidates:
        return Capacity(1, 1, 1)
    ordered = sorted(candidates, key=lambda candidate: candidate.runner.capacity.accelerators)
    return ordered[len(ordered) // 2].runner.capacity
