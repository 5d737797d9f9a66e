"""Which running work gives way to a guaranteed or more urgent gang: the least work is lost.

Answers a full fleet that an urgent gang meets: work with a fresh checkpoint goes first, a gang that
is nearly done last, and as few runs as possible are touched.
"""

import heapq
from collections.abc import Iterable

from carawayroute.fleet.book import Stage
from carawayroute.fleet.packing import Room, copies, fill, racks

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

    def __init__(self, stage: Stage, indices: list[int], lost_ms: float, rate: float) -> None:
        self.stage = stage
        self.indices = indices
        starts = max(stage.runs[index] for index in indices)
        self.cost = (lost_ms + RESTART_MS) * rate * max(1, starts)
        self.stopped = False
        self.tasks_by_runner: dict[str, int] = {}
        for index in indices:
            runner = stage.runners[index]
            self.tasks_by_runner[runner] = self.tasks_by_runner.get(runner, 0) + 1


class Preemption:
    """Places for a gang, and what has to be stopped for it."""

    __slots__ = ("cost", "places", "victims")

    def __init__(self, places: list[str], victims: list[Victim], cost: float) -> None:
        self.places = places
        self.victims = victims
        self.cost = cost


def by_runner(victims: Iterable[Victim]) -> dict[str, list[Victim]]:
    """Return victims by the runners that they hold room on, cheapest first."""
    found: dict[str, list[Victim]] = {}
    for victim in sorted(victims, key=lambda one: one.cost):
        for runner in victim.tasks_by_runner:
            found.setdefault(runner, []).append(victim)
    return found


def choose(
    stage: Stage,
    rooms: list[Room],
    count: int,
    victims_by_runner: dict[str, list[Victim]],
    spread: bool,
) -> Preemption | None:
    """Return the places at which the least worth is lost.

    :param victims_by_runner: what may be stopped, cheapest first.
    :param spread: also consider places over several racks for a gang that wants one.
    """
    groups = [rooms]
    if stage.step.same_rack and count > 1 and not spread:
        groups = list(racks(rooms).values())
    best: Preemption | None = None
    for group in groups:
        found = _Clearing(stage, group, count, victims_by_runner).run()
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


class _Clearing:
    """Stop the cheapest work of a group of runners until a gang fits.

    Each runner offers its cheapest work whose room holds another task; the best offer is taken, and
    only the runners that it touches make a new one.
    """

    def __init__(
        self,
        stage: Stage,
        group: list[Room],
        count: int,
        victims_by_runner: dict[str, list[Victim]],
    ) -> None:
        self._stage = stage
        self._count = count
        self._victims_by_runner = victims_by_runner
        self._rooms_by_id = {room.runner.id: room for room in group}
        self._fitting_by_id = {room.runner.id: copies(stage, room) for room in group}
        self._own: set[str] = set()
        self._chosen: list[Victim] = []
        self._chosen_ids: set[int] = set()
        # Offers as (cost for each task gained, number, runner, victims); a number that is not the
        # runner's newest stands for an offer that no longer holds.
        self._offers: list[tuple[float, int, str, list[Victim]]] = []
        self._newest_by_id: dict[str, int] = {}
        self._numbers = 0

    def run(self) -> Preemption | None:
        """Return places and victims, or nothing if no stops make enough room."""
        total = sum(self._fitting_by_id.values())
        for runner in self._rooms_by_id:
            self._offer(runner)
        while total < self._count:
            if not self._offers:
                return None
            _, number, runner, picked = heapq.heappop(self._offers)
            if number != self._newest_by_id[runner]:
                continue
            touched: dict[str, None] = {}
            for victim in picked:
                self._chosen.append(victim)
                self._chosen_ids.add(id(victim))
                touched.update(self._release(victim))
            for name in touched:
                before = self._fitting_by_id[name]
                self._fitting_by_id[name] = copies(self._stage, self._rooms_by_id[name])
                total += self._fitting_by_id[name] - before
                self._offer(name)
        places = fill(self._stage, list(self._rooms_by_id.values()), self._count)
        used = set(places)
        needed = [one for one in self._chosen if used & one.tasks_by_runner.keys()]
        return Preemption(places, needed, sum(victim.cost for victim in self._chosen))

    def _offer(self, runner: str) -> None:
        """Put up the cheapest work of a runner whose room holds another task."""
        self._numbers += 1
        self._newest_by_id[runner] = self._numbers
        victims = self._victims_by_runner.get(runner)
        if not victims:
            return
        room = self._rooms_by_id[runner]
        free = Room(room.runner, room.free.copy())
        before = self._fitting_by_id[runner]
        picked: list[Victim] = []
        cost = 0.0
        for victim in victims:
            if victim.stopped or id(victim) in self._chosen_ids:
                continue
            picked.append(victim)
            cost += victim.cost
            free.free.take(victim.stage.need, -victim.tasks_by_runner[runner])
            gained = copies(self._stage, free) - before
            if gained > 0:
                heapq.heappush(self._offers, (cost / gained, self._numbers, runner, picked))
                return

    def _release(self, victim: Victim) -> dict[str, None]:
        """Count the room of a victim as free and return the runners of the group that it is on."""
        touched: dict[str, None] = {}
        for runner, tasks in victim.tasks_by_runner.items():
            room = self._rooms_by_id.get(runner)
            if room is None:
                continue
            if runner not in self._own:
                self._own.add(runner)
                room = Room(room.runner, room.free.copy(), room.speed)
                self._rooms_by_id[runner] = room
            room.free.take(victim.stage.need, -tasks)
            touched[runner] = None
        return touched
