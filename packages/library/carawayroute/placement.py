"""Placement of gangs on a region's workers, with preemption to honour guarantees."""

from carawayroute.guarantees import GuaranteedShape, Reservation, ReservationTable
from carawayroute.packing import FreeCapacity, choose_workers
from carawayroute.types import Instance, describe_shape
from carawayroute_schema import carawayroute_pb2 as pb


class Placement:
    """A gang that holds accelerators.

    :param workers: worker of each member; a worker with several members is repeated.
    :param accelerators: accelerators per member.
    :param guarantee: key of the guarantee in use (``team/id``), or empty for borrowed capacity.
    :param non_preemptible: whether the gang must never be stopped to free capacity.
    :param expected_end_ms: time at which the gang is expected to release its accelerators.
    """

    __slots__ = (
        "accelerators",
        "attempt_id",
        "expected_end_ms",
        "guarantee",
        "job_id",
        "non_preemptible",
        "started_ms",
        "team",
        "workers",
    )

    def __init__(
        self,
        job_id: str,
        attempt_id: str,
        team: str,
        workers: list[str],
        accelerators: int,
        guarantee: str,
        non_preemptible: bool,
        started_ms: float,
        expected_end_ms: float,
    ) -> None:
        self.job_id = job_id
        self.attempt_id = attempt_id
        self.team = team
        self.workers = workers
        self.accelerators = accelerators
        self.guarantee = guarantee
        self.non_preemptible = non_preemptible
        self.started_ms = started_ms
        self.expected_end_ms = expected_end_ms

    def copy(self) -> "Placement":
        """Return a copy whose guarantee can change without affecting this placement."""
        return Placement(
            self.job_id,
            self.attempt_id,
            self.team,
            self.workers,
            self.accelerators,
            self.guarantee,
            self.non_preemptible,
            self.started_ms,
            self.expected_end_ms,
        )

    @property
    def total(self) -> int:
        """Return the number of accelerators that the whole gang holds."""
        return len(self.workers) * self.accelerators


class Plan:
    """The workers chosen for a job and the gangs to preempt first.

    :param workers: worker of each member; a worker with several members is repeated.
    :param preempt: ids of the jobs to preempt.
    :param guarantee: key of the guarantee in use (``team/id``), or empty for borrowed capacity.
    :param non_preemptible: whether the gang must never be stopped to free capacity.
    """

    __slots__ = ("guarantee", "non_preemptible", "preempt", "workers")

    def __init__(
        self, workers: list[str], preempt: list[str], guarantee: str, non_preemptible: bool
    ) -> None:
        self.workers = workers
        self.preempt = preempt
        self.guarantee = guarantee
        self.non_preemptible = non_preemptible


class NotPlaced:
    """Why a job cannot be placed now.

    :param reserve_capacity: whether the job lacks only free capacity, so that workers should be
        reserved for it ahead of later jobs.
    """

    __slots__ = ("reason", "reserve_capacity")

    def __init__(self, reason: str, reserve_capacity: bool = True) -> None:
        self.reason = reason
        self.reserve_capacity = reserve_capacity


class Fleet:
    """The workers of a region, the gangs placed on them and the guarantees to honour.

    A gang within its team's guarantee runs on a reservation. An idempotent gang beyond the
    guarantee runs on borrowed capacity and can be preempted. A gang that is not idempotent is never
    preempted, so beyond the guarantee it may only use capacity without a reservation, or capacity
    whose reservations can be moved elsewhere.
    """

    def __init__(self) -> None:
        self.workers_by_id: dict[str, Instance] = {}
        self.placements_by_job: dict[str, Placement] = {}
        self.reservation_table = ReservationTable()
        self._free_by_worker: dict[str, int] = {}
        self._non_preemptible_by_worker: dict[str, int] = {}
        self._unusable_workers: frozenset[str] = frozenset()
        self._jobs_by_worker: dict[str, set[str]] = {}

    # ------------------------------------------------------------------ workers and gangs

    def set_workers(self, workers: list[Instance], unusable: set[str]) -> bool:
        """Replace the set of live workers; return whether it changed.

        :param unusable: ids of workers that keep their running gangs but get no new ones.
        """
        workers_by_id = {worker.id: worker for worker in workers}
        same = (
            workers_by_id.keys() == self.workers_by_id.keys() and unusable == self._unusable_workers
        )
        self.workers_by_id = workers_by_id
        self._unusable_workers = frozenset(unusable)
        if not same:
            self._recompute_free()
            self._refresh_reservations()
        return not same

    def set_guarantees(self, configuration: pb.Configuration, region: str) -> None:
        """Replace the guarantees and reassign the running gangs to them, oldest first."""
        self.reservation_table = ReservationTable()
        for team in configuration.teams:
            for guarantee in team.guarantees:
                if guarantee.region == region:
                    shape = GuaranteedShape(team.id, guarantee)
                    self.reservation_table.shapes_by_key[shape.key] = shape
        by_start = sorted(self.placements_by_job.values(), key=lambda item: item.started_ms)
        for placement in by_start:
            self._assign_guarantee(placement)
        self._recompute_free()
        self._refresh_reservations()

    def _refresh_reservations(self) -> None:
        self.reservation_table.refresh(self.workers_by_id, self._available_for_guarantees())

    def _recompute_free(self) -> None:
        capacity = {name: worker.capacity for name, worker in self.workers_by_id.items()}
        self._free_by_worker = capacity
        self._non_preemptible_by_worker = dict.fromkeys(capacity, 0)
        for placement in self.placements_by_job.values():
            self._adjust_free(placement, -1)

    def _adjust_free(self, placement: Placement, sign: int) -> None:
        """Add (``+1``) or subtract (``-1``) a gang's accelerators from the free capacity."""
        amount = sign * placement.accelerators
        for worker in placement.workers:
            if worker not in self._free_by_worker:
                continue
            self._free_by_worker[worker] += amount
            if placement.non_preemptible and not placement.guarantee:
                self._non_preemptible_by_worker[worker] -= amount

    def _track(self, placement: Placement) -> None:
        """Record a gang and subtract its accelerators from the free capacity."""
        self.placements_by_job[placement.job_id] = placement
        for worker in placement.workers:
            self._jobs_by_worker.setdefault(worker, set()).add(placement.job_id)
        self._adjust_free(placement, -1)

    def jobs_on(self, worker: str) -> list[str]:
        """Return the ids of the jobs that hold accelerators on a worker."""
        return list(self._jobs_by_worker.get(worker, ()))

    @staticmethod
    def is_protected(placement: Placement) -> bool:
        """Return whether a gang is exempt from preemption."""
        return placement.non_preemptible or bool(placement.guarantee)

    def add(self, placement: Placement) -> None:
        """Add a gang that holds accelerators, on its guarantee's reservation if it has one."""
        if placement.guarantee:
            self._use_reservation(placement)
        self._track(placement)

    def _use_reservation(self, placement: Placement) -> None:
        """Mark the unused reservation that contains a gang, or make the gang a borrowed one."""
        for item in self.reservation_table.unused():
            if item.key == placement.guarantee and _fits_reservation(placement, item):
                item.job_id = placement.job_id
                return
        placement.guarantee = ""

    def _assign_guarantee(self, placement: Placement) -> None:
        """Reserve a guaranteed shape of the team around a running gang, if one is left and fits."""
        wanted = self.shape_of(placement)
        placement.guarantee = ""
        for key, guaranteed in self.reservation_table.shapes_by_key.items():
            used = len(self.reservation_table.used_by(key))
            if guaranteed.team != placement.team or used >= guaranteed.count:
                continue
            if not guaranteed.covers(wanted):
                continue
            workers = self._choose_containing(placement, guaranteed.shape)
            if workers is not None:
                per_member = guaranteed.shape.accelerators
                item = Reservation(key, workers, per_member, placement.job_id)
                self.reservation_table.reservations.append(item)
                placement.guarantee = key
                return

    def _choose_containing(self, placement: Placement, shape: pb.Shape) -> list[str] | None:
        """Return workers for a guaranteed shape that contain a gang's own workers, if possible."""
        # A negative penalty prefers the workers that the gang already uses.
        penalties = dict.fromkeys(placement.workers, -1.0)
        unreserved = self.reservation_table.remaining_after_all(self._capacity())
        free = FreeCapacity(self.workers_by_id, unreserved)
        workers = choose_workers(free, shape, penalties)
        if workers is None:
            return None
        item = Reservation("", workers, shape.accelerators)
        return workers if _fits_reservation(placement, item) else None

    @staticmethod
    def shape_of(placement: Placement) -> pb.Shape:
        """Return the shape that a running gang occupies, derived from its workers."""
        adjacency = pb.WORKER if len(set(placement.workers)) == 1 else pb.ANY
        return pb.Shape(
            members=len(placement.workers),
            accelerators=placement.accelerators,
            adjacency=adjacency,
        )

    def adopt(
        self, placements: list[Placement], configuration: pb.Configuration, region: str
    ) -> None:
        """Add gangs that another planner started, and assign them to guarantees where they fit.

        Running gangs get their reservations first; unused guarantees are reserved on the rest.
        """
        for placement in placements:
            self._track(placement)
        self.set_guarantees(configuration, region)

    def remove(self, job_id: str) -> Placement | None:
        """Remove a gang and make its reservation available again."""
        placement = self.placements_by_job.pop(job_id, None)
        if placement is None:
            return None
        self._adjust_free(placement, +1)
        for worker in placement.workers:
            self._jobs_by_worker.get(worker, set()).discard(job_id)
        item = self.reservation_table.reservation_of(job_id)
        if item is not None:
            item.job_id = ""
            if not self._capacity().keys() >= set(item.workers):
                # A worker left while the gang held it.
                self._refresh_reservations()
        return placement

    # ------------------------------------------------------------------ capacity

    def _capacity(self) -> dict[str, int]:
        """Return the total accelerators of each usable worker."""
        return {
            name: worker.capacity
            for name, worker in self.workers_by_id.items()
            if name not in self._unusable_workers
        }

    def _available_for_guarantees(self) -> dict[str, int]:
        """Return the capacity not held by non-preemptible gangs outside of reservations."""
        held_by_worker = self._non_preemptible_by_worker
        return {
            name: capacity - held_by_worker[name] for name, capacity in self._capacity().items()
        }

    def free_on(self, worker: str) -> int:
        """Return the number of free accelerators on a worker."""
        return self._free_by_worker.get(worker, 0)

    def free_capacity(self, without: set[str] = frozenset()) -> FreeCapacity:
        """Return the free accelerators of the usable workers.

        :param without: ids of workers to leave out.
        """
        usable = {
            name: max(0, free)
            for name, free in self._free_by_worker.items()
            if name not in self._unusable_workers and name not in without
        }
        return FreeCapacity(self.workers_by_id, usable)

    def can_ever_fit(self, shape: pb.Shape) -> bool:
        """Return whether a gang of this shape would fit on the listed workers if they were idle."""
        capacity = {name: worker.capacity for name, worker in self.workers_by_id.items()}
        return choose_workers(FreeCapacity(self.workers_by_id, capacity), shape) is not None

    def reclaimable(self) -> bool:
        """Return whether every guaranteed shape has a reservation."""
        return self.reservation_table.unplaced_count() == 0

    def would_be_reclaimable(self, configuration: pb.Configuration, region: str) -> bool:
        """Return whether all guarantees of another configuration could be honoured now.

        Unreachable workers are included: they are still part of the fleet.
        """
        other = Fleet()
        other.workers_by_id = self.workers_by_id
        for placement in self.placements_by_job.values():
            other.placements_by_job[placement.job_id] = placement.copy()
        other.set_guarantees(configuration, region)
        return other.reclaimable()

    def uses_guarantee(self, team: str, shape: pb.Shape) -> bool:
        """Return whether the team has an unused reservation that can hold this shape."""
        return bool(self.reservation_table.unused_for(team, shape))

    # ------------------------------------------------------------------ planning

    def plan(
        self,
        job: pb.JobAccepted,
        kind: pb.Kind,
        avoid: set[str] = frozenset(),
        reserved: set[str] = frozenset(),
        now_ms: float = 0.0,
    ) -> Plan | NotPlaced:
        """Choose workers for a job, or say why it cannot be placed now.

        :param avoid: ids of workers on which this job failed.
        :param reserved: ids of workers reserved for an earlier job, closed to borrowed gangs.
        :param now_ms: current time, used to estimate the work that a preemption loses.
        """
        plan = self._plan_guaranteed(job, kind, avoid, now_ms)
        if plan is not None:
            return plan
        without = avoid | reserved
        if not kind.idempotent:
            return self._plan_non_preemptible(job, without)
        workers = choose_workers(self.free_capacity(without), job.shape)
        if workers is None:
            return NotPlaced(f"no free place for {describe_shape(job.shape)}")
        return Plan(workers, [], "", non_preemptible=False)

    def _plan_non_preemptible(self, job: pb.JobAccepted, without: set[str]) -> Plan | NotPlaced:
        """Place a non-preemptible gang beyond its guarantee so that all reservations stay valid.

        Capacity without a reservation is tried first, then capacity whose reservations can move.
        """
        free = self.free_capacity(without)
        unreserved = self.reservation_table.remaining_after_all(self._available_for_guarantees())
        usable = {
            name: min(available, unreserved[name])
            for name, available in free.available_by_worker.items()
        }
        workers = choose_workers(FreeCapacity(self.workers_by_id, usable), job.shape)
        if workers is not None:
            return Plan(workers, [], "", non_preemptible=True)
        workers = choose_workers(free, job.shape)
        if workers is None:
            return NotPlaced(f"no free place for {describe_shape(job.shape)}")
        available = self._available_for_guarantees()
        per_member = job.shape.accelerators
        if not self.reservation_table.make_room(self.workers_by_id, available, workers, per_member):
            reason = "it cannot be stopped, and the free place may be demanded by a guarantee"
            return NotPlaced(reason, reserve_capacity=False)
        return Plan(workers, [], "", non_preemptible=True)

    def _plan_guaranteed(
        self, job: pb.JobAccepted, kind: pb.Kind, avoid: set[str], now_ms: float
    ) -> Plan | None:
        """Place a job on a reservation of its team, preempting borrowed gangs if needed."""
        candidates = self.reservation_table.unused_for(job.team, job.shape)
        candidates = [item for item in candidates if not avoid & set(item.workers)]
        if not candidates:
            return None
        item = next((one for one in candidates if self._is_free(one)), None)
        penalties: dict[str, float] = {}
        if item is None:
            penalties = self._preemption_penalties(now_ms)
            item = min(candidates, key=lambda one: _penalty(one, penalties))
            item = self._move_to_cheaper(item, avoid, penalties) or item
        workers = self._choose_within(item, job.shape, penalties)
        preempt = self._victims(workers, job.shape.accelerators, now_ms)
        return Plan(workers, preempt, item.key, non_preemptible=not kind.idempotent)

    def _is_free(self, item: Reservation) -> bool:
        """Return whether the reserved accelerators are all free."""
        workers = item.workers
        return all(
            self.free_on(worker) >= workers.count(worker) * item.accelerators
            for worker in set(workers)
        )

    def _move_to_cheaper(
        self, item: Reservation, avoid: set[str], penalties: dict[str, float]
    ) -> Reservation | None:
        """Move a reservation to where preemption loses less work, if the others still fit."""
        available = self._available_for_guarantees()
        in_use = [one for one in self.reservation_table.reservations if one.job_id]
        remaining = dict(available)
        for one in in_use:
            for worker in one.workers:
                if worker in remaining:
                    remaining[worker] -= one.accelerators
        usable = {name: max(0, amount) for name, amount in remaining.items() if name not in avoid}
        shape = self.reservation_table.shapes_by_key[item.key].shape
        workers = choose_workers(FreeCapacity(self.workers_by_id, usable), shape, penalties)
        if workers is None:
            return None
        moved = Reservation(item.key, workers, item.accelerators)
        if _penalty(moved, penalties) >= _penalty(item, penalties):
            return None
        return self.reservation_table.move(self.workers_by_id, available, item.key, workers)

    def _choose_within(
        self, item: Reservation, shape: pb.Shape, penalties: dict[str, float]
    ) -> list[str]:
        """Return the workers within a reservation on which preemption loses the least work."""
        reserved_by_worker: dict[str, int] = {}
        for worker in item.workers:
            reserved_by_worker[worker] = reserved_by_worker.get(worker, 0) + item.accelerators
        lost = {
            worker: penalties.get(worker, 0.0)
            for worker, amount in reserved_by_worker.items()
            if amount > self.free_on(worker)
        }
        workers = choose_workers(FreeCapacity(self.workers_by_id, reserved_by_worker), shape, lost)
        if workers is None:
            raise ValueError(f"{describe_shape(shape)} does not fit its reservation")
        return workers

    def _preemption_penalties(self, now_ms: float) -> dict[str, float]:
        """Return per worker the accelerator time lost if its borrowed gangs were preempted."""
        lost_by_worker: dict[str, float] = {}
        for placement in self.placements_by_job.values():
            if self.is_protected(placement):
                continue
            lost_ms = 1.0 + max(0.0, now_ms - placement.started_ms) * placement.total
            for worker in set(placement.workers):
                lost_by_worker[worker] = lost_by_worker.get(worker, 0.0) + lost_ms
        return lost_by_worker

    def _victims(self, workers: list[str], accelerators: int, now_ms: float) -> list[str]:
        """Return the jobs to preempt on these workers, those that lose the least work first."""
        shortfall_by_worker: dict[str, int] = {}
        for worker in workers:
            shortfall_by_worker[worker] = shortfall_by_worker.get(worker, 0) + accelerators
        for worker in shortfall_by_worker:
            shortfall_by_worker[worker] -= self.free_on(worker)
        borrowed = [item for item in self.placements_by_job.values() if not self.is_protected(item)]
        borrowed.sort(key=lambda item: (now_ms - item.started_ms) * item.total)
        victims = []
        for placement in borrowed:
            if not any(shortfall_by_worker.get(worker, 0) > 0 for worker in placement.workers):
                continue
            victims.append(placement.job_id)
            for worker in placement.workers:
                if worker in shortfall_by_worker:
                    shortfall_by_worker[worker] -= placement.accelerators
        return victims

    def reserve_for(self, shape: pb.Shape) -> tuple[set[str], float]:
        """Return the workers to reserve for a waiting gang and the time they are expected free.

        Later jobs may backfill these workers only if they are expected to end before that time;
        otherwise a stream of smaller gangs would starve a large one. The set is empty, and the time
        infinite, if no running gang's end makes enough capacity free.
        """
        available = self.free_capacity().available_by_worker
        ending = sorted(self.placements_by_job.values(), key=lambda item: item.expected_end_ms)
        for placement in ending:
            for worker in placement.workers:
                if worker in available:
                    available[worker] += placement.accelerators
            workers = choose_workers(FreeCapacity(self.workers_by_id, available), shape)
            if workers is not None:
                return set(workers), placement.expected_end_ms
        return set(), float("inf")


def _fits_reservation(placement: Placement, item: Reservation) -> bool:
    """Return whether a gang's workers and accelerators lie within a reservation."""
    reserved_by_worker: dict[str, int] = {}
    for worker in item.workers:
        reserved_by_worker[worker] = reserved_by_worker.get(worker, 0) + item.accelerators
    for worker in placement.workers:
        reserved_by_worker[worker] = reserved_by_worker.get(worker, 0) - placement.accelerators
        if reserved_by_worker[worker] < 0:
            return False
    return True


def _penalty(item: Reservation, penalties: dict[str, float]) -> float:
    """Return the summed penalty of a reservation's workers."""
    return sum(penalties.get(worker, 0.0) for worker in set(item.workers))
