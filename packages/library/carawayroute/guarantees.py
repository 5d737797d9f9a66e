"""Reservations that keep every guaranteed shape reclaimable.

Each guaranteed shape has reserved workers at all times, whether a job uses it or not. Borrowed
gangs may run on reserved capacity and are preempted when the team needs it; non-preemptible gangs
beyond their guarantee may not. A guarantee can therefore be reclaimed at any time without searching
for workers first.
"""

from carawayroute.packing import (
    FreeCapacity,
    PlacedShape,
    ShapeCount,
    choose_workers,
    group_shapes,
    pack_shapes,
)
from carawayroute.types import Instance, shape_total
from carawayroute_schema import carawayroute_pb2 as pb


class GuaranteedShape:
    """A number of gangs of one shape that a team is guaranteed in one region.

    :param team: id of the team.
    """

    __slots__ = ("count", "id", "region", "shape", "team")

    def __init__(self, team: str, guarantee: pb.Guarantee) -> None:
        self.team = team
        self.id = guarantee.id
        self.region = guarantee.region
        self.shape = guarantee.shape
        self.count = guarantee.count

    @property
    def key(self) -> str:
        """Return the key that identifies the guarantee: ``team/id``."""
        return f"{self.team}/{self.id}"

    def covers(self, shape: pb.Shape) -> bool:
        """Return whether a gang of this shape fits into a reservation of the guaranteed shape."""
        if self.shape.adjacency == pb.WORKER:
            return shape_total(shape) <= shape_total(self.shape)
        wanted = _as_single_member(shape)
        adjacency_fits = wanted.members == 1 or wanted.adjacency <= self.shape.adjacency
        members_fit = wanted.members <= self.shape.members
        return adjacency_fits and members_fit and wanted.accelerators <= self.shape.accelerators


def _as_single_member(shape: pb.Shape) -> pb.Shape:
    """Return a shape confined to one worker as a single large member, others unchanged."""
    if shape.adjacency != pb.WORKER:
        return shape
    return pb.Shape(members=1, accelerators=shape_total(shape), adjacency=pb.WORKER)


class Reservation:
    """The workers reserved for one guaranteed shape.

    :param key: key of the guarantee.
    :param workers: worker of each member; a worker with several members is repeated.
    :param accelerators: accelerators per member.
    :param job_id: id of the job that uses the reservation, or empty.
    """

    __slots__ = ("accelerators", "job_id", "key", "workers")

    def __init__(self, key: str, workers: list[str], accelerators: int, job_id: str = "") -> None:
        self.key = key
        self.workers = workers
        self.accelerators = accelerators
        self.job_id = job_id


class ReservationTable:
    """The reservations of a region.

    Methods that search for workers take ``available_by_worker``: per usable worker, the
    accelerators not held by non-preemptible gangs outside of reservations.
    """

    def __init__(self) -> None:
        self.shapes_by_key: dict[str, GuaranteedShape] = {}
        self.reservations: list[Reservation] = []

    # ------------------------------------------------------------------ lookups

    def unused(self) -> list[Reservation]:
        """Return the reservations that no job uses."""
        return [item for item in self.reservations if not item.job_id]

    def used_by(self, key: str) -> list[str]:
        """Return the ids of the jobs that use a guarantee."""
        return [item.job_id for item in self.reservations if item.key == key and item.job_id]

    def unused_count(self, key: str) -> int:
        """Return the number of unused reservations of a guarantee."""
        return sum(1 for item in self.reservations if item.key == key and not item.job_id)

    def unplaced_count(self) -> int:
        """Return how many guaranteed shapes have no reservation."""
        wanted = sum(item.count for item in self.shapes_by_key.values())
        return wanted - len(self.reservations)

    def teams_with_unused(self) -> set[str]:
        """Return the ids of the teams that have an unused reservation."""
        return {self.shapes_by_key[item.key].team for item in self.reservations if not item.job_id}

    def unused_for(self, team: str, shape: pb.Shape) -> list[Reservation]:
        """Return a team's unused reservations that can hold a shape, the smallest first."""
        found = [item for item in self.unused() if self._can_hold(item.key, team, shape)]
        found.sort(key=lambda item: len(item.workers) * item.accelerators)
        return found

    def _can_hold(self, key: str, team: str, shape: pb.Shape) -> bool:
        guaranteed = self.shapes_by_key[key]
        return guaranteed.team == team and guaranteed.covers(shape)

    def reservation_of(self, job_id: str) -> Reservation | None:
        """Return the reservation that a job uses, or ``None``."""
        return next((item for item in self.reservations if item.job_id == job_id), None)

    # ------------------------------------------------------------------ assigning workers

    def _remaining(
        self, available_by_worker: dict[str, int], held: list[Reservation]
    ) -> dict[str, int] | None:
        """Return the capacity beside some reservations, or ``None`` if they do not all fit."""
        remaining = dict(available_by_worker)
        for item in held:
            for worker in item.workers:
                if remaining.get(worker, 0) < item.accelerators:
                    return None
                remaining[worker] -= item.accelerators
        return remaining

    def remaining_after_all(self, available_by_worker: dict[str, int]) -> dict[str, int]:
        """Return the capacity beside all reservations, which non-preemptible gangs may use."""
        remaining = dict(available_by_worker)
        for item in self.reservations:
            for worker in item.workers:
                if worker in remaining:
                    remaining[worker] = max(0, remaining[worker] - item.accelerators)
        return remaining

    def _reservations_in_use(self) -> list[Reservation]:
        return [item for item in self.reservations if item.job_id]

    def _pack(
        self,
        workers_by_id: dict[str, Instance],
        remaining: dict[str, int],
        count_by_key: dict[str, int],
    ) -> list[Reservation] | None:
        """Return new reservations for a number of shapes, or ``None`` if not all fit."""
        counts = [
            ShapeCount(self.shapes_by_key[key].shape, count)
            for key, count in count_by_key.items()
            if count > 0
        ]
        grouped = group_shapes(counts)
        placed = pack_shapes(FreeCapacity(workers_by_id, remaining), grouped)
        if any(len(found) < item.count for found, item in zip(placed, grouped, strict=True)):
            return None
        return self._assign_places(count_by_key, grouped, placed)

    def _assign_places(
        self,
        count_by_key: dict[str, int],
        grouped: list[ShapeCount],
        placed: list[list[PlacedShape]],
    ) -> list[Reservation]:
        """Distribute the workers found for each group of equal shapes among its guarantees."""
        places_by_shape_key = {
            item.shape_key: list(found) for item, found in zip(grouped, placed, strict=True)
        }
        assigned = []
        for key, count in count_by_key.items():
            shape = self.shapes_by_key[key].shape
            for _ in range(count):
                workers = places_by_shape_key[ShapeCount(shape, 0).shape_key].pop()
                assigned.append(Reservation(key, workers, shape.accelerators))
        return assigned

    def _unused_counts(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for item in self.unused():
            counts[item.key] = counts.get(item.key, 0) + 1
        return counts

    def move(
        self,
        workers_by_id: dict[str, Instance],
        available_by_worker: dict[str, int],
        key: str,
        workers: list[str],
    ) -> Reservation | None:
        """Move an unused reservation to other workers, if all other reservations still fit.

        :param key: key of the guarantee.
        :param workers: new worker of each member.
        :returns: the moved reservation, or ``None`` if nothing changed.
        """
        moved = Reservation(key, workers, self.shapes_by_key[key].shape.accelerators)
        counts = self._unused_counts()
        counts[key] -= 1
        if not self._repack(workers_by_id, available_by_worker, counts, [moved]):
            return None
        self.reservations.append(moved)
        return moved

    def make_room(
        self,
        workers_by_id: dict[str, Instance],
        available_by_worker: dict[str, int],
        workers: list[str],
        accelerators: int,
    ) -> bool:
        """Move unused reservations away from a non-preemptible gang, if all fit elsewhere.

        :param workers: worker of each member of the gang.
        :param accelerators: accelerators per member.
        :returns: whether all reservations still fit; if not, nothing changed.
        """
        taken = Reservation("", workers, accelerators)
        return self._repack(workers_by_id, available_by_worker, self._unused_counts(), [taken])

    def _repack(
        self,
        workers_by_id: dict[str, Instance],
        available_by_worker: dict[str, int],
        count_by_key: dict[str, int],
        taken: list[Reservation],
    ) -> bool:
        """Replace all unused reservations by new ones, if all fit.

        :param count_by_key: number of unused reservations to create per guarantee.
        :param taken: capacity that the new reservations must leave alone.
        :returns: whether all fit; if not, nothing changed.
        """
        in_use = self._reservations_in_use()
        remaining = self._remaining(available_by_worker, in_use + taken)
        if remaining is None:
            return False
        assigned = self._pack(workers_by_id, remaining, count_by_key)
        if assigned is None:
            return False
        self.reservations = in_use + assigned
        return True

    def refresh(
        self, workers_by_id: dict[str, Instance], available_by_worker: dict[str, int]
    ) -> None:
        """Restore a reservation for every shape after a change of workers or guarantees."""
        if (
            self.unplaced_count() == 0
            and self._remaining(available_by_worker, self.reservations) is not None
        ):
            return
        wanted = {
            key: item.count - len(self.used_by(key)) for key, item in self.shapes_by_key.items()
        }
        if self._repack(workers_by_id, available_by_worker, wanted, []):
            return
        self._repack_partially(workers_by_id, available_by_worker, wanted)

    def _repack_partially(
        self,
        workers_by_id: dict[str, Instance],
        available_by_worker: dict[str, int],
        wanted: dict[str, int],
    ) -> None:
        """Keep the reservations that still fit and place as many of the others as possible.

        Used when the guarantees do not all fit, for example after the loss of workers.
        """
        kept = self._reservations_in_use()
        remaining = self._remaining(available_by_worker, kept) or dict(available_by_worker)
        left = dict(wanted)
        for item in self.unused():
            after = self._remaining(remaining, [item])
            if after is not None and left.get(item.key, 0) > 0:
                kept.append(item)
                left[item.key] -= 1
                remaining = after
        for key, count in left.items():
            shape = self.shapes_by_key[key].shape
            for _ in range(count):
                free = FreeCapacity(workers_by_id, remaining)
                workers = choose_workers(free, shape)
                if workers is None:
                    break
                free.take(workers, shape.accelerators)
                kept.append(Reservation(key, workers, shape.accelerators))
        self.reservations = kept
