"""Packing of gangs onto workers with a limited number of available accelerators."""

from carawayroute.types import Instance
from carawayroute_schema import carawayroute_pb2 as pb


class FreeCapacity:
    """Accelerators available per worker, with the workers grouped by rack.

    :param workers_by_id: all workers, looked up for their racks.
    :param available_by_worker: accelerators available on each usable worker; changed by `take`.
    """

    __slots__ = ("available_by_worker", "workers_by_rack")

    def __init__(
        self, workers_by_id: dict[str, Instance], available_by_worker: dict[str, int]
    ) -> None:
        self.available_by_worker = available_by_worker
        self.workers_by_rack: dict[str, list[str]] = {}
        for worker in available_by_worker:
            rack = workers_by_id[worker].rack
            self.workers_by_rack.setdefault(rack, []).append(worker)

    def take(self, workers: list[str], accelerators: int) -> None:
        """Subtract accelerators per member; a worker with several members is repeated."""
        for worker in workers:
            self.available_by_worker[worker] -= accelerators

    def members_on(self, worker: str, accelerators: int) -> int:
        """Return how many members with this many accelerators fit on a worker."""
        return self.available_by_worker[worker] // accelerators

    def members_in(self, workers: list[str], accelerators: int) -> int:
        """Return how many members with this many accelerators fit on some workers."""
        available = self.available_by_worker
        return sum(available[worker] // accelerators for worker in workers)


def _domains(free: FreeCapacity, shape: pb.Shape) -> list[list[str]]:
    """Return the groups of workers (topology domains) of which a gang must fit into one."""
    if shape.adjacency == pb.WORKER:
        return [[worker] for worker in free.available_by_worker]
    if shape.adjacency == pb.RACK:
        return list(free.workers_by_rack.values())
    return [list(free.available_by_worker)]


def choose_workers(
    free: FreeCapacity, shape: pb.Shape, penalty_by_worker: dict[str, float] | None = None
) -> list[str] | None:
    """Return one worker for each member of a gang, or ``None`` if it does not fit.

    Best fit: the domain with the least available capacity is chosen, so that whole workers and
    racks stay free for larger gangs.

    :param penalty_by_worker: cost of using each worker; a lower sum outranks a tighter fit.
    """
    penalties = penalty_by_worker or {}
    if shape.adjacency == pb.WORKER:
        return _choose_single_worker(free, shape, penalties)
    best: list[str] | None = None
    best_rank: tuple[float, int] | None = None
    for domain in _domains(free, shape):
        member_capacity = free.members_in(domain, shape.accelerators)
        if member_capacity < shape.members:
            continue
        workers = _choose_in_domain(free, shape, domain, penalties)
        penalty = sum(penalties.get(worker, 0.0) for worker in set(workers))
        left = sum(free.available_by_worker[worker] for worker in domain)
        rank = (penalty, left)
        if best_rank is None or rank < best_rank:
            best, best_rank = workers, rank
    return best


def _choose_single_worker(
    free: FreeCapacity, shape: pb.Shape, penalties: dict[str, float]
) -> list[str] | None:
    """Return the worker for a whole gang: least penalty first, then the tightest fit."""
    needed = shape.members * shape.accelerators
    fitting = (
        (penalties.get(worker, 0.0), available, worker)
        for worker, available in free.available_by_worker.items()
        if available >= needed
    )
    best = min(fitting, default=None)
    return None if best is None else [best[2]] * shape.members


def _choose_in_domain(
    free: FreeCapacity, shape: pb.Shape, domain: list[str], penalties: dict[str, float]
) -> list[str]:
    """Return workers of a domain for a gang: least penalty first, then the tightest fit."""
    available = free.available_by_worker
    per_member = shape.accelerators

    def rank(worker: str) -> tuple[float, int, int, str]:
        return (
            penalties.get(worker, 0.0),
            available[worker] % per_member,
            available[worker],
            worker,
        )

    fitting = [worker for worker in domain if available[worker] >= per_member]
    fitting.sort(key=rank)
    chosen: list[str] = []
    for worker in fitting:
        count = min(free.members_on(worker, per_member), shape.members - len(chosen))
        chosen.extend([worker] * count)
        if len(chosen) == shape.members:
            break
    return chosen


# The worker of each member of one gang.
PlacedShape = list[str]


class ShapeCount:
    """A number of gangs of one shape."""

    __slots__ = ("count", "shape")

    def __init__(self, shape: pb.Shape, count: int) -> None:
        self.shape = shape
        self.count = count

    @property
    def shape_key(self) -> tuple[int, int, int]:
        """Return a key that is equal for equal shapes."""
        return (self.shape.members, self.shape.accelerators, self.shape.adjacency)


def group_shapes(counts: list[ShapeCount]) -> list[ShapeCount]:
    """Merge the counts of equal shapes and sort them, the hardest to place first."""
    by_shape_key: dict[tuple[int, int, int], ShapeCount] = {}
    for item in counts:
        grouped = by_shape_key.setdefault(item.shape_key, ShapeCount(item.shape, 0))
        grouped.count += item.count
    return sorted(by_shape_key.values(), key=_difficulty, reverse=True)


def _difficulty(item: ShapeCount) -> tuple[int, int, int]:
    shape = item.shape
    on_one_worker = shape.accelerators
    if shape.adjacency == pb.WORKER:
        on_one_worker *= shape.members
    return (on_one_worker, int(shape.adjacency), shape.members)


def pack_shapes(free: FreeCapacity, counts: list[ShapeCount]) -> list[list[PlacedShape]]:
    """Place gangs of many shapes and return the workers found for each shape.

    The gangs' accelerators are subtracted from the free capacity. This is first-fit decreasing over
    groups of equal shapes: a full result proves that all gangs fit together, but a shortfall does
    not prove that they cannot.

    :param counts: grouped and sorted by `group_shapes`.
    """
    return [_pack_group(free, item.shape, item.count) for item in counts]


def _pack_group(free: FreeCapacity, shape: pb.Shape, count: int) -> list[PlacedShape]:
    per_member = shape.accelerators
    domains = _domains(free, shape)
    member_capacity_by_domain = [free.members_in(domain, per_member) for domain in domains]
    placed: list[PlacedShape] = []
    for index in sorted(range(len(domains)), key=member_capacity_by_domain.__getitem__):
        gangs = min(member_capacity_by_domain[index] // shape.members, count - len(placed))
        if gangs > 0:
            workers = _take_members(free, domains[index], per_member, gangs * shape.members)
            for first in range(0, len(workers), shape.members):
                placed.append(workers[first : first + shape.members])
        if len(placed) == count:
            break
    return placed


def _take_members(
    free: FreeCapacity, domain: list[str], per_member: int, members: int
) -> list[str]:
    """Subtract members from the tightest workers and return the worker of each member."""
    available = free.available_by_worker
    taken: list[str] = []
    for worker in sorted(domain, key=lambda name: (available[name] % per_member, available[name])):
        count = min(available[worker] // per_member, members - len(taken))
        available[worker] -= count * per_member
        taken.extend([worker] * count)
        if len(taken) == members:
            break
    return taken


def fits_all(free: FreeCapacity, counts: list[ShapeCount]) -> bool:
    """Return whether gangs of all shapes fit together; the free capacity is used up."""
    grouped = group_shapes(counts)
    placed = pack_shapes(free, grouped)
    return all(len(found) == item.count for found, item in zip(placed, grouped, strict=True))
