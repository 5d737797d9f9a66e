"""Where tasks go: the tightest place that holds them, so that whole runners and racks stay free.

Answers a mix of small and large tasks under a high load, in which gangs of whole runners starve
once single accelerators are taken everywhere.
"""

from collections.abc import Iterable

from carawayroute.fleet.book import Stage
from carawayroute.fleet.speeds import SLOW_RATIO
from carawayroute.fleet.types import Capacity, Runner

# An objective below this many times the work leaves no time for a slow runner: 1.3 for the slow
# third of the users' runners, and 1.17 for the longest task of a usual gang.
HURRIED_STRETCH = 1.6
# More tasks on one runner than any runner holds.
UNBOUNDED = 1_000_000


# A runner that does less than this share of a usual one's work is slow (see speeds).
SLOW_SPEED = 1 / SLOW_RATIO


class Room:
    """What is free on a runner that may get work.

    :param speed: work done in a unit of time, 1.0 for a usual runner.
    """

    __slots__ = ("free", "runner", "speed")

    def __init__(self, runner: Runner, free: Capacity, speed: float = 1.0) -> None:
        self.runner = runner
        self.free = free
        self.speed = speed

    @property
    def slow(self) -> bool:
        """Return whether the runner takes notably longer than a usual one."""
        return self.speed < SLOW_SPEED

    @property
    def whole(self) -> bool:
        """Return whether nothing holds an accelerator of the runner."""
        return self.free.accelerators >= self.runner.capacity.accelerators


def suits(stage: Stage, runner: Runner) -> bool:
    """Return whether a runner may run the tasks of a stage at all."""
    if runner.service != stage.job.record.service or runner.draining:
        return False
    label = stage.step.label
    return not label or label in runner.labels


def racks(rooms: Iterable[Room]) -> dict[str, list[Room]]:
    """Return rooms by rack."""
    by_rack: dict[str, list[Room]] = {}
    for room in rooms:
        by_rack.setdefault(room.runner.rack, []).append(room)
    return by_rack


def _most(stage: Stage, runner: str) -> int:
    """Return how many more tasks of a stage may go to a runner."""
    bound = stage.step.most_per_runner
    if bound == 0:
        return UNBOUNDED
    return max(0, bound - sum(1 for placed in stage.runners if placed == runner))


def in_hurry(stage: Stage) -> bool:
    """Return whether a slow runner alone makes a stage late."""
    return stage.job.record.stretch < HURRIED_STRETCH


def copies(stage: Stage, room: Room) -> int:
    """Return how many tasks of a stage fit on a runner now."""
    if room.free.accelerators < stage.need.accelerators:
        return 0
    return room.free.copies_of(stage.need, _most(stage, room.runner.id))


def fill(stage: Stage, rooms: list[Room], count: int) -> list[str]:
    """Return runners for up to ``count`` tasks of a stage, the tightest places first.

    Work in a hurry goes to runners that are not slow, all other work leaves those free.
    """
    need = stage.need
    hurried = in_hurry(stage)

    def rank(room: Room) -> tuple[bool, int, int, float, str]:
        left = room.free.accelerators
        each = max(1, need.accelerators)
        return (room.slow is hurried, left % each, left, -room.speed, room.runner.id)

    places: list[str] = []
    fitting_rooms = [room for room in rooms if room.free.accelerators >= need.accelerators]
    for room in sorted(fitting_rooms, key=rank):
        fitting = min(copies(stage, room), count - len(places))
        places.extend([room.runner.id] * fitting)
        if len(places) == count:
            break
    return places


def _domains(stage: Stage, rooms: list[Room]) -> list[list[Room]]:
    """Return the groups of rooms in which a stage runs at full speed, best first."""
    if stage.step.data_rack:
        near = [room for room in rooms if room.runner.rack == stage.step.data_rack]
        return [near] if near else []
    if stage.step.same_rack and stage.step.count > 1:
        return list(racks(rooms).values())
    return [rooms]


def choose(stage: Stage, rooms: list[Room], count: int, whole: bool) -> list[str] | None:
    """Return runners for tasks of a stage where they run at full speed.

    :param whole: all of them or none; otherwise as many as fit, at least one.
    """
    best: list[str] | None = None
    best_rank: tuple[int, int, int] | None = None
    hurried = in_hurry(stage)
    slow = {room.runner.id for room in rooms if room.slow}
    for domain in _domains(stage, rooms):
        if whole and sum(copies(stage, room) for room in domain) < count:
            continue
        places = fill(stage, domain, count)
        if not places:
            continue
        left = sum(room.free.accelerators for room in domain)
        unsuited = sum(1 for place in places if (place in slow) is hurried)
        rank = (-len(places), unsuited if hurried else 0, left)
        if best_rank is None or rank < best_rank:
            best, best_rank = places, rank
    return best


def full_speed_possible(stage: Stage, rooms: list[Room], count: int) -> bool:
    """Return whether the tasks would fit at full speed if the runners were empty."""
    return any(_empty_copies(stage, domain) >= count for domain in _domains(stage, rooms))


def closest_domain(stage: Stage, rooms: list[Room], count: int) -> list[Room]:
    """Return the rooms in which a gang would fit if they were empty and that are emptiest now."""
    domains = _domains(stage, rooms)
    able = [domain for domain in domains if _empty_copies(stage, domain) >= count]
    if not able:
        able = [rooms] if _empty_copies(stage, rooms) >= count else []

    def rank(domain: list[Room]) -> tuple[int, int]:
        fitting = sum(copies(stage, room) for room in domain)
        return (min(fitting, count), sum(room.free.accelerators for room in domain))

    return max(able, key=rank, default=[])


def _empty_copies(stage: Stage, rooms: list[Room]) -> int:
    """Return how many tasks of a stage would fit if the runners were empty."""
    most = stage.step.most_per_runner or UNBOUNDED
    return sum(room.runner.capacity.copies_of(stage.need, most) for room in rooms)
