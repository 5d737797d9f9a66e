"""Which running work gives way to a guaranteed or more urgent gang: the least work is lost.

Answers a full fleet that an urgent gang meets: work with a fresh checkpoint goes first, a gang that
is nearly done last, and as few runs as possible are touched.
"""

from carawayroute.fleet.book import Stage
from carawayroute.fleet.packing import Room, copies, fill, racks

# Stopping, placing again and resuming cost about this much of the room's time.
RESTART_MS = 1_500


class Victim:
    """Running work that may be stopped: a whole gang, or one task.

    :param lost_ms: run time of each task that no checkpoint keeps.
    :param rate: worth that a millisecond of its running brings.

    What was started several times costs as many times more, so that the same work is not stopped
    again and again while a flood goes on.
    """

    __slots__ = ("cost", "indices", "stage")

    def __init__(self, stage: Stage, indices: list[int], lost_ms: float, rate: float) -> None:
        self.stage = stage
        self.indices = indices
        starts = max(stage.runs[index] for index in indices)
        self.cost = (lost_ms + RESTART_MS) * rate * max(1, starts)

    def runners(self) -> list[str]:
        """Return the runner of each task."""
        return [self.stage.runners[index] for index in self.indices]


class Preemption:
    """Places for a gang, and what has to be stopped for it."""

    __slots__ = ("cost", "places", "victims")

    def __init__(self, places: list[str], victims: list[Victim], cost: float) -> None:
        self.places = places
        self.victims = victims
        self.cost = cost


def choose(
    stage: Stage, rooms: list[Room], count: int, victims: list[Victim], spread: bool
) -> Preemption | None:
    """Return the places at which the least worth is lost.

    :param spread: also consider places over several racks for a gang that wants one.
    """
    groups = [rooms]
    if stage.step.same_rack and count > 1 and not spread:
        groups = list(racks(rooms).values())
    best: Preemption | None = None
    for group in groups:
        found = _clear(stage, group, count, victims)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def _clear(stage: Stage, group: list[Room], count: int, victims: list[Victim]) -> Preemption | None:
    """Stop the cheapest work of a group, runner by runner, until the gang fits."""
    rooms_by_id = {
        room.runner.id: Room(room.runner, room.free.copy(), room.speed) for room in group
    }
    victims_by_runner: dict[str, list[Victim]] = {}
    for victim in victims:
        for runner in set(victim.runners()):
            if runner in rooms_by_id:
                victims_by_runner.setdefault(runner, []).append(victim)
    for found in victims_by_runner.values():
        found.sort(key=lambda victim: victim.cost)
    total = sum(copies(stage, room) for room in rooms_by_id.values())
    chosen: list[Victim] = []
    cost = 0.0
    while total < count:
        step = _cheapest_step(stage, rooms_by_id, victims_by_runner, chosen)
        if step is None:
            return None
        for victim in step:
            chosen.append(victim)
            cost += victim.cost
            _release(victim, rooms_by_id)
        total = sum(copies(stage, room) for room in rooms_by_id.values())
    places = fill(stage, list(rooms_by_id.values()), count)
    return Preemption(places, _needed(chosen, places), cost)


def _needed(chosen: list[Victim], places: list[str]) -> list[Victim]:
    """Return the victims that hold room on a runner that is used."""
    used = set(places)
    return [victim for victim in chosen if used & set(victim.runners())]


def _release(victim: Victim, rooms_by_id: dict[str, Room]) -> None:
    for runner in victim.runners():
        room = rooms_by_id.get(runner)
        if room is not None:
            room.free.take(victim.stage.need, -1)


def _cheapest_step(
    stage: Stage,
    rooms_by_id: dict[str, Room],
    victims_by_runner: dict[str, list[Victim]],
    chosen: list[Victim],
) -> list[Victim] | None:
    """Return the victims on one runner whose room holds more tasks at the least cost for each."""
    best: list[Victim] | None = None
    best_rate = 0.0
    taken = {id(victim) for victim in chosen}
    for runner, found in victims_by_runner.items():
        room = rooms_by_id[runner]
        before = copies(stage, room)
        free = Room(room.runner, room.free.copy())
        picked: list[Victim] = []
        cost = 0.0
        for victim in found:
            if id(victim) in taken:
                continue
            picked.append(victim)
            cost += victim.cost
            here = sum(1 for name in victim.runners() if name == runner)
            free.free.take(victim.stage.need, -here)
            gained = copies(stage, free) - before
            if gained > 0:
                if best is None or cost / gained < best_rate:
                    best, best_rate = list(picked), cost / gained
                break
    return best
