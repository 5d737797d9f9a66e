"""Which running work gives way to a guaranteed or more urgent gang: the least work is lost.

Answers a full fleet that an urgent gang meets: work with a fresh checkpoint goes first, a gang that
is nearly done last, and as few runs as possible are touched.
"""

import heapq
from collections.abc import Iterable

from carawayroute.fleet.jobs import Stage
from carawayroute.fleet.packing import Candidate, best_fit, count_fitting_tasks, group_by_rack

# Stopping, placing again and resuming cost about this much of the room's time.
RESTART_MS = 1_500


class Victim:
    """Running work that may be stopped: a whole gang, or one task.

    :param lost_ms: run time of each task that no checkpoint keeps.
    :param rate: worth that a millisecond of its running brings.
    :ivar stopped: it was chosen already.

    What was started several times costs as many times more, so that the same work is not stopped
    again and again while a flood goes on.
    """

    __slots__ = ("cost", "indices", "stage", "stopped", "tasks_by_runner")

    def __init__(self, stage: Stage, indices: list[int], lost_ms: float, value_rate: float) -> None:
        self.stage = stage
        self.indices = indices
        starts = max(stage.runs[index] for index in indices)
        self.cost = (lost_ms + RESTART_MS) * value_rate * max(1, starts)
        self.stopped = False
        self.tasks_by_runner: dict[str, int] = {}
        for index in indices:
            runner = stage.runners[index]
            self.tasks_by_runner[runner] = self.tasks_by_runner.get(runner, 0) + 1


class Preemption:
    """Places for a gang, and what has to be stopped for it."""

    __slots__ = ("cost", "runner_ids", "victims")

    def __init__(self, runner_ids: list[str], victims: list[Victim], cost: float) -> None:
        self.runner_ids = runner_ids
        self.victims = victims
        self.cost = cost


def group_by_runner(victims: Iterable[Victim]) -> dict[str, list[Victim]]:
    """Return victims by the runners that they hold room on, cheapest first."""
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
    """Return the places at which the least worth is lost.

    :param victims_by_runner: what may be stopped, cheapest first.
    :param spread: also consider places over several racks for a gang that wants one.
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
    """Stop the cheapest work of a group of runners until a gang fits.

    Each runner offers its cheapest work whose room holds another task; the best offer is taken, and
    only the runners that it touches make a new one.
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
        # Offers as (cost for each task gained, number, runner, victims); a number that is not the
        # runner's newest stands for an offer that no longer holds.
        self._offers: list[tuple[float, int, str, list[Victim]]] = []
        self._newest_offer_by_id: dict[str, int] = {}
        self._last_offer_number = 0

    def run(self) -> Preemption | None:
        """Return places and victims, or nothing if no stops make enough room."""
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
        """Put up the cheapest work of a runner whose room holds another task."""
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
        """Count the room of a victim as free and return the runners of the group that it is on."""
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
