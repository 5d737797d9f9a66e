"""Standing reservations: a place for every guaranteed shape, whether it is used or not.

Borrowed work may run on a reserved place and is preempted when the shape is demanded; work that
cannot be stopped never stands there. So every guarantee can be reclaimed at any time, without a
search when it is.
"""

from carawayroute.packing import PlacedShape, ShapeCount, Space, choose, group_shapes, pack
from carawayroute.types import Instance, shape_accelerators
from carawayroute_schema import carawayroute_pb2 as pb


class GuaranteedShape:
    """A guarantee of a team in one region."""

    __slots__ = ("count", "id", "region", "shape", "team")

    def __init__(self, team: str, guarantee: pb.Guarantee) -> None:
        self.team = team
        self.id = guarantee.id
        self.region = guarantee.region
        self.shape = guarantee.shape
        self.count = guarantee.count

    @property
    def key(self) -> str:
        """Return what identifies the guarantee."""
        return f"{self.team}/{self.id}"

    def covers(self, shape: pb.Shape) -> bool:
        """Return whether a gang of a shape fits into a place of this one."""
        if self.shape.adjacency == pb.WORKER:
            return shape_accelerators(shape) <= shape_accelerators(self.shape)
        wanted = _on_one_worker(shape)
        same_place = wanted.members == 1 or wanted.adjacency <= self.shape.adjacency
        fits = wanted.members <= self.shape.members
        return same_place and fits and wanted.accelerators <= self.shape.accelerators


def _on_one_worker(shape: pb.Shape) -> pb.Shape:
    """Return a shape that must stand on one worker as a single member."""
    if shape.adjacency != pb.WORKER:
        return shape
    return pb.Shape(members=1, accelerators=shape_accelerators(shape), adjacency=pb.WORKER)


class Reservation:
    """The place of one guaranteed shape.

    :param workers: one entry for each member.
    :param accelerators: of each member.
    :ivar job_id: the job that uses it, or empty.
    """

    __slots__ = ("accelerators", "job_id", "key", "workers")

    def __init__(self, key: str, workers: list[str], accelerators: int, job_id: str = "") -> None:
        self.key = key
        self.workers = workers
        self.accelerators = accelerators
        self.job_id = job_id


class ReservationBook:
    """The reservations of a region.

    Every method that looks for places is given the accelerators of each usable worker that no
    firm work outside of a reservation holds.
    """

    def __init__(self) -> None:
        self.shapes_by_key: dict[str, GuaranteedShape] = {}
        self.reservations: list[Reservation] = []

    # ------------------------------------------------------------------ looking things up

    def unused(self) -> list[Reservation]:
        """Return the reservations that no job uses."""
        return [item for item in self.reservations if not item.job_id]

    def used_by(self, key: str) -> list[str]:
        """Return the jobs that use a guarantee."""
        return [item.job_id for item in self.reservations if item.key == key and item.job_id]

    def placed(self, key: str) -> int:
        """Return how many unused shapes of a guarantee have a place."""
        return sum(1 for item in self.reservations if item.key == key and not item.job_id)

    def missing(self) -> int:
        """Return how many guaranteed shapes have no place."""
        wanted = sum(item.count for item in self.shapes_by_key.values())
        return wanted - len(self.reservations)

    def teams_with_unused(self) -> set[str]:
        """Return the teams that may demand a shape."""
        return {self.shapes_by_key[item.key].team for item in self.reservations if not item.job_id}

    def unused_for(self, team: str, shape: pb.Shape) -> list[Reservation]:
        """Return a team's unused reservations that hold a shape, those of the smallest first."""
        found = [item for item in self.unused() if self._serves(item.key, team, shape)]
        found.sort(key=lambda item: len(item.workers) * item.accelerators)
        return found

    def _serves(self, key: str, team: str, shape: pb.Shape) -> bool:
        guaranteed = self.shapes_by_key[key]
        return guaranteed.team == team and guaranteed.covers(shape)

    def reservation_of(self, job_id: str) -> Reservation | None:
        """Return the reservation that a job uses."""
        return next((item for item in self.reservations if item.job_id == job_id), None)

    # ------------------------------------------------------------------ finding places

    def _rest(
        self, available_by_worker: dict[str, int], held: list[Reservation]
    ) -> dict[str, int] | None:
        """Return what some reservations leave, or ``None`` when they no longer fit."""
        rest = dict(available_by_worker)
        for item in held:
            for worker in item.workers:
                if rest.get(worker, 0) < item.accelerators:
                    return None
                rest[worker] -= item.accelerators
        return rest

    def rest_beside_all(self, available_by_worker: dict[str, int]) -> dict[str, int]:
        """Return what all reservations leave for firm work."""
        rest = dict(available_by_worker)
        for item in self.reservations:
            for worker in item.workers:
                if worker in rest:
                    rest[worker] = max(0, rest[worker] - item.accelerators)
        return rest

    def _pinned(self) -> list[Reservation]:
        return [item for item in self.reservations if item.job_id]

    def _pack(
        self,
        workers_by_id: dict[str, Instance],
        rest: dict[str, int],
        count_by_key: dict[str, int],
    ) -> list[Reservation] | None:
        """Return a place for each of some shapes, or ``None`` when not all are found."""
        counts = [
            ShapeCount(self.shapes_by_key[key].shape, count)
            for key, count in count_by_key.items()
            if count > 0
        ]
        grouped = group_shapes(counts)
        placed = pack(Space(workers_by_id, rest), grouped)
        if any(len(found) < item.count for found, item in zip(placed, grouped, strict=True)):
            return None
        return self._hand_out(count_by_key, grouped, placed)

    def _hand_out(
        self,
        count_by_key: dict[str, int],
        grouped: list[ShapeCount],
        placed: list[list[PlacedShape]],
    ) -> list[Reservation]:
        """Give the places of equal shapes to the guarantees that want them."""
        places_by_form = {
            item.form: list(found) for item, found in zip(grouped, placed, strict=True)
        }
        made = []
        for key, count in count_by_key.items():
            shape = self.shapes_by_key[key].shape
            for _ in range(count):
                workers = places_by_form[ShapeCount(shape, 0).form].pop()
                made.append(Reservation(key, workers, shape.accelerators))
        return made

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
        """Move one unused reservation to other workers if all others still find a place."""
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
        """Move unused reservations off the place of firm work, if all find another."""
        taken = Reservation("", workers, accelerators)
        return self._repack(workers_by_id, available_by_worker, self._unused_counts(), [taken])

    def _repack(
        self,
        workers_by_id: dict[str, Instance],
        available_by_worker: dict[str, int],
        count_by_key: dict[str, int],
        taken: list[Reservation],
    ) -> bool:
        """Find new places for unused shapes beside what is taken, and keep them if all fit."""
        pinned = self._pinned()
        rest = self._rest(available_by_worker, pinned + taken)
        if rest is None:
            return False
        made = self._pack(workers_by_id, rest, count_by_key)
        if made is None:
            return False
        self.reservations = pinned + made
        return True

    def refresh(
        self, workers_by_id: dict[str, Instance], available_by_worker: dict[str, int]
    ) -> None:
        """Give every shape a place again after a change of workers or guarantees."""
        if self.missing() == 0 and self._rest(available_by_worker, self.reservations) is not None:
            return
        wanted = {
            key: item.count - len(self.used_by(key)) for key, item in self.shapes_by_key.items()
        }
        if self._repack(workers_by_id, available_by_worker, wanted, []):
            return
        self._keep_what_fits(workers_by_id, available_by_worker, wanted)

    def _keep_what_fits(
        self,
        workers_by_id: dict[str, Instance],
        available_by_worker: dict[str, int],
        wanted: dict[str, int],
    ) -> None:
        """Keep the places that are still good and look for the others one by one."""
        kept = self._pinned()
        rest = self._rest(available_by_worker, kept) or dict(available_by_worker)
        left = dict(wanted)
        for item in self.unused():
            after = self._rest(rest, [item])
            if after is not None and left.get(item.key, 0) > 0:
                kept.append(item)
                left[item.key] -= 1
                rest = after
        for key, count in left.items():
            shape = self.shapes_by_key[key].shape
            for _ in range(count):
                space = Space(workers_by_id, rest)
                workers = choose(space, shape)
                if workers is None:
                    break
                space.take(workers, shape.accelerators)
                kept.append(Reservation(key, workers, shape.accelerators))
        self.reservations = kept
