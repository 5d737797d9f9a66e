"""Choice of preemption victims for guaranteed or more urgent work.

On a full fleet, an urgent gang preempts the running work whose loss costs the least: work with a
recent checkpoint first, gangs that are nearly done last, and as few runs as possible.
"""

import heapq
from collections.abc import Iterable

from carawayroute.fleet.jobs import Stage
from carawayroute.fleet.packing import Candidate, best_fit, count_fitting_tasks, group_by_rack

# Time that stopping, placing and resuming a run costs.
RESTART_MS = 1_500


class Victim:
    """Running work that may be preempted: a whole gang, or one task.

    The cost is multiplied by the number of starts, so that the same work is not preempted over and
    over during a burst.

    :param lost_ms: run time of each task since its last checkpoint.
    :param value_rate: value per millisecond of run time.
    :ivar stopped: it has already been chosen in this pass.
    """

    __slots__ = ("cost", "indices", "stage", "stopped", "tasks_by_runner", "value_rate")

    def __init__(self, stage: Stage, indices: list[int], lost_ms: float, value_rate: float) -> None:
        self.stage = stage
        self.indices = indices
        self.value_rate = value_rate
        starts = max(stage.runs[index] for index in indices)
        self.cost = (lost_ms + RESTART_MS) * value_rate * max(1, starts)
        self.stopped = False
        self.tasks_by_runner: dict[str, int] = {}
        for index in indices:
            runner = stage.runners[index]
            self.tasks_by_runner[runner] = self.tasks_by_runner.get(runner, 0) + 1


class Preemption:
    """Runners for the tasks of a stage, and the victims to stop for it.

    :param cost: value lost by stopping the victims.
    """

    __slots__ = ("cost", "runner_ids", "victims")

    def __init__(self, runner_ids: list[str], victims: list[Victim], cost: float) -> None:
        self.runner_ids = runner_ids
        self.victims = victims
        self.cost = cost

    def displaced_value(self, for_ms: float) -> float:
        """Return the value that the victims would earn in the time for which they are displaced.

        :param for_ms: expected run time of the work that takes their place.
        """
        return for_ms * sum(victim.value_rate for victim in self.victims)


def group_by_runner(victims: Iterable[Victim]) -> dict[str, list[Victim]]:
    """Return the victims by runner, cheapest first."""
    found: dict[str, list[Victim]] = {}
    for victim in sorted(victims, key=lambda one: one.cost):
        for runner in victim.tasks_by_runner:
            found.setdefault(runner, []).append(victim)
    return found


def choose(
    stage: Stage,
    candidates: list[Candidate],
    count: int,
    victims_by_runner: dict[str, list[Victim]],
    spread: bool,
) -> Preemption | None:
    """Return the preemption that loses the least value, or None if none makes enough room.

    :param victims_by_runner: work that may be stopped, cheapest first.
    :param spread: also allow several racks for a gang that asks for a single one.
    """
    groups = [candidates]
    if stage.step.same_rack and count > 1 and not spread:
        groups = list(group_by_rack(candidates).values())
    best: Preemption | None = None
    for group in groups:
        found = _VictimSearch(stage, group, count, victims_by_runner).run()
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


class _VictimSearch:
    """Greedy search for the cheapest victims in a group of runners until all tasks fit.

    For each runner, the heap holds the cheapest victims that free capacity for one more task. After
    each choice only the offers of the affected runners are recomputed.
    """

    def __init__(
        self,
        stage: Stage,
        group: list[Candidate],
        count: int,
        victims_by_runner: dict[str, list[Victim]],
    ) -> None:
        self._stage = stage
        self._count = count
        self._victims_by_runner = victims_by_runner
        self._candidates_by_id = {candidate.runner.id: candidate for candidate in group}
        self._fitting_by_id = {
            candidate.runner.id: count_fitting_tasks(stage, candidate) for candidate in group
        }
        self._copied_ids: set[str] = set()
        self._chosen: list[Victim] = []
        self._chosen_ids: set[int] = set()
        # Heap of (cost per additional task, offer number, runner, victims). An offer is outdated if
        # its number is not the newest of its runner.
        self._offers: list[tuple[float, int, str, list[Victim]]] = []
        self._newest_offer_by_id: dict[str, int] = {}
        self._last_offer_number = 0

    def run(self) -> Preemption | None:
        """Return runners and victims, or None if all victims together free too little capacity."""
        total = sum(self._fitting_by_id.values())
        for runner in self._candidates_by_id:
            self._offer(runner)
        while total < self._count:
            if not self._offers:
                return None
            _, number, runner, picked = heapq.heappop(self._offers)
            if number != self._newest_offer_by_id[runner]:
                continue
            touched: dict[str, None] = {}
            for victim in picked:
                self._chosen.append(victim)
                self._chosen_ids.add(id(victim))
                touched.update(self._release(victim))
            for name in touched:
                before = self._fitting_by_id[name]
                self._fitting_by_id[name] = count_fitting_tasks(
                    self._stage, self._candidates_by_id[name]
                )
                total += self._fitting_by_id[name] - before
                self._offer(name)
        runner_ids = best_fit(self._stage, list(self._candidates_by_id.values()), self._count)
        used = set(runner_ids)
        needed = [one for one in self._chosen if used & one.tasks_by_runner.keys()]
        return Preemption(runner_ids, needed, sum(victim.cost for victim in self._chosen))

    def _offer(self, runner: str) -> None:
        """Push the cheapest victims of a runner that free capacity for at least one more task."""
        self._last_offer_number += 1
        self._newest_offer_by_id[runner] = self._last_offer_number
        victims = self._victims_by_runner.get(runner)
        if not victims:
            return
        candidate = self._candidates_by_id[runner]
        free = Candidate(candidate.runner, candidate.free.copy())
        before = self._fitting_by_id[runner]
        picked: list[Victim] = []
        cost = 0.0
        for victim in victims:
            if victim.stopped or id(victim) in self._chosen_ids:
                continue
            picked.append(victim)
            cost += victim.cost
            free.free.subtract(victim.stage.demand, -victim.tasks_by_runner[runner])
            gained = count_fitting_tasks(self._stage, free) - before
            if gained > 0:
                heapq.heappush(
                    self._offers, (cost / gained, self._last_offer_number, runner, picked)
                )
                return

    def _release(self, victim: Victim) -> dict[str, None]:
        """Count a victim's capacity as free and return its runners in the group.

        Candidates are copied before the first change, as they are shared with the pass.
        """
        touched: dict[str, None] = {}
        for runner, tasks in victim.tasks_by_runner.items():
            candidate = self._candidates_by_id.get(runner)
            if candidate is None:
                continue
            if runner not in self._copied_ids:
                self._copied_ids.add(runner)
                candidate = Candidate(candidate.runner, candidate.free.copy(), candidate.speed)
                self._candidates_by_id[runner] = candidate
            candidate.free.subtract(victim.stage.demand, -tasks)
            touched[runner] = None
        return touched
