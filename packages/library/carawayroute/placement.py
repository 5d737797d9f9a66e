"""Placing gangs on workers so that every team's guaranteed shapes stay reclaimable."""

from carawayroute.estimates import RunTimes
from carawayroute.packing import ShapeCount, Space, choose, fits_all, group_shapes, pack
from carawayroute.types import Instance, describe_shape, shape_total
from carawayroute_schema import carawayroute_pb2 as pb


class Placement:
    """A gang that holds accelerators.

    :param workers: one entry for each member.
    :param guarantee: team and id of the guarantee that it uses, or empty for borrowed space.
    :param firm: it may not be preempted.
    :param expected_end_ms: when its accelerators are expected to be free.
    """

    __slots__ = (
        "accelerators",
        "attempt_id",
        "expected_end_ms",
        "firm",
        "guarantee",
        "job_id",
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
        firm: bool,
        started_ms: float,
        expected_end_ms: float,
    ) -> None:
        self.job_id = job_id
        self.attempt_id = attempt_id
        self.team = team
        self.workers = workers
        self.accelerators = accelerators
        self.guarantee = guarantee
        self.firm = firm
        self.started_ms = started_ms
        self.expected_end_ms = expected_end_ms

    def copy(self) -> "Placement":
        """Return a placement that can be assigned to another guarantee."""
        return Placement(
            self.job_id,
            self.attempt_id,
            self.team,
            self.workers,
            self.accelerators,
            self.guarantee,
            self.firm,
            self.started_ms,
            self.expected_end_ms,
        )

    @property
    def total(self) -> int:
        """Return the accelerators that the gang holds."""
        return len(self.workers) * self.accelerators


class Plan:
    """Where a job goes, and which gangs have to leave first."""

    __slots__ = ("firm", "guarantee", "preempt", "workers")

    def __init__(self, workers: list[str], preempt: list[str], guarantee: str, firm: bool) -> None:
        self.workers = workers
        self.preempt = preempt
        self.guarantee = guarantee
        self.firm = firm


class Wait:
    """Why a job cannot be placed now.

    :param blocked: it waits for space, so later jobs must not take what it waits for.
    """

    __slots__ = ("blocked", "reason")

    def __init__(self, reason: str, blocked: bool = True) -> None:
        self.reason = reason
        self.blocked = blocked


class GuaranteeUse:
    """A guaranteed shape and the gangs that use it."""

    __slots__ = ("count", "id", "region", "shape", "team", "used_by")

    def __init__(self, team: str, guarantee: pb.Guarantee) -> None:
        self.team = team
        self.id = guarantee.id
        self.region = guarantee.region
        self.shape = guarantee.shape
        self.count = guarantee.count
        self.used_by: list[str] = []

    @property
    def key(self) -> str:
        """Return what identifies the guarantee."""
        return f"{self.team}/{self.id}"

    @property
    def unused(self) -> int:
        """Return how many shapes the team may still demand."""
        return max(0, self.count - len(self.used_by))

    def covers(self, shape: pb.Shape) -> bool:
        """Return whether a gang of a shape may stand in for this one."""
        same_place = shape.adjacency <= self.shape.adjacency
        fits = shape.members <= self.shape.members
        return same_place and fits and shape.accelerators <= self.shape.accelerators


class Fleet:
    """The workers of a region, the gangs on them and the guarantees over them.

    Work within a guarantee is firm. Idempotent work beyond it is borrowed and can be preempted.
    Work that is not idempotent is never stopped, so beyond a guarantee it is placed only where
    every unused guaranteed shape still fits beside it.
    """

    def __init__(self) -> None:
        self.workers_by_id: dict[str, Instance] = {}
        self.placements_by_job: dict[str, Placement] = {}
        self.guarantees_by_key: dict[str, GuaranteeUse] = {}
        self._free_by_worker: dict[str, int] = {}
        self._not_firm_by_worker: dict[str, int] = {}
        self._blocked_workers: set[str] = set()

    def set_workers(self, workers: list[Instance], unusable: set[str]) -> None:
        """Take over the live workers.

        :param unusable: workers that keep what they run but get nothing new.
        """
        self.workers_by_id = {worker.id: worker for worker in workers}
        self._blocked_workers = unusable
        self._recount()

    def set_guarantees(self, configuration: pb.Configuration, region: str) -> None:
        """Take over the guarantees of a configuration; running gangs are assigned anew."""
        self.guarantees_by_key = {}
        for team in configuration.teams:
            for guarantee in team.guarantees:
                if guarantee.region == region:
                    use = GuaranteeUse(team.id, guarantee)
                    self.guarantees_by_key[use.key] = use
        by_start = sorted(self.placements_by_job.values(), key=lambda item: item.started_ms)
        for placement in by_start:
            self._assign_guarantee(placement)
        self._recount()

    def _assign_guarantee(self, placement: Placement) -> None:
        """Keep a gang in its guarantee, or turn it into borrowed work after a cut."""
        use = self.guarantees_by_key.get(placement.guarantee)
        if use is not None and use.unused:
            use.used_by.append(placement.job_id)
            return
        shape = pb.Shape(members=len(placement.workers), accelerators=placement.accelerators)
        use = self._matching_guarantee(placement.team, shape)
        if use is not None:
            use.used_by.append(placement.job_id)
        placement.guarantee = use.key if use else ""

    def _recount(self) -> None:
        self._free_by_worker = {
            name: worker.capacity for name, worker in self.workers_by_id.items()
        }
        self._not_firm_by_worker = dict(self._free_by_worker)
        for placement in self.placements_by_job.values():
            self._count(placement, -1)

    def _count(self, placement: Placement, sign: int) -> None:
        amount = sign * placement.accelerators
        is_firm = self.is_firm(placement)
        for worker in placement.workers:
            if worker not in self._free_by_worker:
                continue
            self._free_by_worker[worker] += amount
            if is_firm:
                self._not_firm_by_worker[worker] += amount

    @staticmethod
    def is_firm(placement: Placement) -> bool:
        """Return whether a gang may not be preempted."""
        return placement.firm or bool(placement.guarantee)

    def add(self, placement: Placement) -> None:
        """Count a gang that holds accelerators."""
        self.placements_by_job[placement.job_id] = placement
        use = self.guarantees_by_key.get(placement.guarantee)
        if use is not None and placement.job_id not in use.used_by:
            use.used_by.append(placement.job_id)
        self._count(placement, -1)

    def remove(self, job_id: str) -> Placement | None:
        """Stop counting a gang."""
        placement = self.placements_by_job.pop(job_id, None)
        if placement is None:
            return None
        self._count(placement, +1)
        use = self.guarantees_by_key.get(placement.guarantee)
        if use is not None and job_id in use.used_by:
            use.used_by.remove(job_id)
        return placement

    def free_on(self, worker: str) -> int:
        """Return the free accelerators of a worker."""
        return self._free_by_worker.get(worker, 0)

    def _space(self, available_by_worker: dict[str, int], without: set[str]) -> Space:
        usable = {
            worker: max(0, available)
            for worker, available in available_by_worker.items()
            if worker not in self._blocked_workers and worker not in without
        }
        return Space(self.workers_by_id, usable)

    def free_space(self, without: set[str] = frozenset()) -> Space:
        """Return what is free now."""
        return self._space(self._free_by_worker, without)

    def reclaimable_space(self, without: set[str] = frozenset()) -> Space:
        """Return what is free or can be preempted."""
        return self._space(self._not_firm_by_worker, without)

    def can_ever_fit(self, shape: pb.Shape) -> bool:
        """Return whether a gang would fit if nothing else ran."""
        capacity = {name: worker.capacity for name, worker in self.workers_by_id.items()}
        return choose(Space(self.workers_by_id, capacity), shape) is not None

    def unused_guarantees(self, except_key: str = "") -> list[ShapeCount]:
        """Return the guaranteed shapes that teams may still demand.

        :param except_key: a guarantee of which one shape is left out.
        """
        counts = []
        for key, use in self.guarantees_by_key.items():
            count = use.unused - (1 if key == except_key else 0)
            if count > 0:
                counts.append(ShapeCount(use.shape, count))
        return counts

    def reclaimable(self) -> bool:
        """Return whether every unused guaranteed shape still fits, disjointly."""
        return fits_all(self.reclaimable_space(), self.unused_guarantees())

    def reclaimable_by_key(self) -> dict[str, int]:
        """Return how many unused shapes of each guarantee fit, beside those before it."""
        space = self.reclaimable_space()
        ordered = sorted(
            self.guarantees_by_key.values(),
            key=lambda use: (use.shape.accelerators, int(use.shape.adjacency), use.shape.members),
            reverse=True,
        )
        return {use.key: pack(space, [ShapeCount(use.shape, use.unused)])[0] for use in ordered}

    def would_be_reclaimable(self, configuration: pb.Configuration, region: str) -> bool:
        """Return whether another configuration's guarantees could all be honoured now.

        Workers that are out of reach for the moment count, since they are part of the fleet.
        """
        other = Fleet()
        other.workers_by_id = self.workers_by_id
        for placement in self.placements_by_job.values():
            other.placements_by_job[placement.job_id] = placement.copy()
        other.set_guarantees(configuration, region)
        return other.reclaimable()

    def _matching_guarantee(self, team: str, shape: pb.Shape) -> GuaranteeUse | None:
        """Return the smallest unused guarantee of a team that covers a shape."""
        matching = [
            use
            for use in self.guarantees_by_key.values()
            if use.team == team and use.unused and use.covers(shape)
        ]
        return min(matching, key=lambda use: shape_total(use.shape), default=None)

    def uses_guarantee(self, team: str, shape: pb.Shape) -> bool:
        """Return whether a job of this team and shape would run within a guarantee."""
        return self._matching_guarantee(team, shape) is not None

    def guarantee_for(self, team: str, shape: pb.Shape) -> str:
        """Return the key of the guarantee that a gang would use, or empty."""
        use = self._matching_guarantee(team, shape)
        return use.key if use else ""

    def plan(
        self,
        job: pb.JobAccepted,
        kind: pb.Kind,
        avoid: set[str] = frozenset(),
        reserved: set[str] = frozenset(),
        now_ms: float = 0.0,
    ) -> Plan | Wait:
        """Decide where a job goes now.

        :param avoid: workers that this job failed on.
        :param reserved: workers that an earlier job waits for; borrowed work stays off them.
        """
        use = self._matching_guarantee(job.team, job.shape)
        if use is not None:
            plan = self._plan_guaranteed(job, kind, use, avoid, now_ms)
            if plan is not None:
                return plan
        space = self.free_space(avoid | reserved)
        workers = choose(space, job.shape)
        if workers is None:
            if use is not None:
                return Wait("the guaranteed shape does not fit on the workers that are left")
            return Wait(f"no free place for {describe_shape(job.shape)}")
        if kind.idempotent:
            return Plan(workers, [], "", firm=False)
        rest = self.reclaimable_space()
        rest.take(
            [worker for worker in workers if worker in rest.available_by_worker],
            job.shape.accelerators,
        )
        if not fits_all(rest, self.unused_guarantees()):
            reason = "not preemptible, and the free place may be demanded by a guarantee"
            return Wait(reason, blocked=False)
        return Plan(workers, [], "", firm=True)

    def _plan_guaranteed(
        self,
        job: pb.JobAccepted,
        kind: pb.Kind,
        use: GuaranteeUse,
        avoid: set[str],
        now_ms: float,
    ) -> Plan | None:
        others = self.unused_guarantees(except_key=use.key)
        shape = job.shape
        penalties = self._preemption_penalties(shape.accelerators, now_ms)
        workers = choose(self.reclaimable_space(avoid), shape, penalties)
        if workers is not None:
            rest = self.reclaimable_space()
            rest.take(workers, shape.accelerators)
            if not fits_all(rest, others):
                workers = None
        if workers is None:
            workers = self._choose_beside(shape, others, avoid, penalties)
        if workers is None:
            return None
        preempt = self._victims(workers, shape.accelerators, now_ms)
        if preempt is None:
            return None
        return Plan(workers, preempt, use.key, firm=not kind.idempotent)

    def _choose_beside(
        self,
        shape: pb.Shape,
        others: list[ShapeCount],
        avoid: set[str],
        penalties: dict[str, float],
    ) -> list[str] | None:
        """Place the other guarantees first and choose from what they leave."""
        space = self.reclaimable_space()
        pack(space, group_shapes(others))
        for worker in avoid:
            space.available_by_worker.pop(worker, None)
        space = Space(self.workers_by_id, space.available_by_worker)
        return choose(space, shape, penalties)

    def _preemption_penalties(self, accelerators: int, now_ms: float) -> dict[str, float]:
        """Return the work lost on each worker when one member is to start there."""
        lost_by_worker: dict[str, float] = {}
        for placement in self.placements_by_job.values():
            if self.is_firm(placement):
                continue
            lost_ms = 1.0 + max(0.0, now_ms - placement.started_ms) * placement.total
            for worker in set(placement.workers):
                if self.free_on(worker) < accelerators:
                    lost_by_worker[worker] = lost_by_worker.get(worker, 0.0) + lost_ms
        return lost_by_worker

    def _victims(self, workers: list[str], accelerators: int, now_ms: float) -> list[str] | None:
        """Return the borrowed gangs to preempt, those that lose the least work first."""
        needed_by_worker: dict[str, int] = {}
        for worker in workers:
            needed_by_worker[worker] = needed_by_worker.get(worker, 0) + accelerators
        short_by_worker = {
            worker: needed - self.free_on(worker)
            for worker, needed in needed_by_worker.items()
            if needed > self.free_on(worker)
        }
        borrowed = [item for item in self.placements_by_job.values() if not self.is_firm(item)]
        borrowed.sort(key=lambda item: (now_ms - item.started_ms) * item.total)
        victims = []
        for placement in borrowed:
            helps = [worker for worker in placement.workers if short_by_worker.get(worker, 0) > 0]
            if not helps:
                continue
            victims.append(placement.job_id)
            for worker in placement.workers:
                if worker in short_by_worker:
                    short_by_worker[worker] -= placement.accelerators
        if any(short > 0 for short in short_by_worker.values()):
            return None
        return victims

    def reserve_for(self, shape: pb.Shape) -> tuple[set[str], float]:
        """Return the workers that a waiting gang should get, and when they are expected free.

        Later jobs use them only if they end before that, so that a long gang is not starved by
        smaller ones.
        """
        available = {
            worker: free
            for worker, free in self._free_by_worker.items()
            if worker not in self._blocked_workers
        }
        ending = sorted(self.placements_by_job.values(), key=lambda item: item.expected_end_ms)
        for placement in ending:
            for worker in placement.workers:
                if worker in available:
                    available[worker] += placement.accelerators
            workers = choose(Space(self.workers_by_id, available), shape)
            if workers is not None:
                return set(workers), placement.expected_end_ms
        return set(), float("inf")


class QueueEntry:
    """A job that waits to be placed."""

    __slots__ = ("accepted", "kind")

    def __init__(self, accepted: pb.JobAccepted, kind: pb.Kind) -> None:
        self.accepted = accepted
        self.kind = kind


def order_queue(
    queue: list[QueueEntry], fleet: Fleet, weight_by_team: dict[str, int]
) -> list[QueueEntry]:
    """Return waiting jobs in the order in which they are tried.

    Jobs within a guarantee come first, then the more urgent ones, then teams that borrow the least
    for their weight, then the oldest.
    """
    borrowed_by_team: dict[str, float] = {}
    for placement in fleet.placements_by_job.values():
        if not placement.guarantee:
            team = placement.team
            borrowed_by_team[team] = borrowed_by_team.get(team, 0.0) + placement.total

    def rank(entry: QueueEntry) -> tuple[bool, int, float, int]:
        job = entry.accepted
        guaranteed = fleet.uses_guarantee(job.team, job.shape)
        weight = max(1, weight_by_team.get(job.team, 1))
        share = borrowed_by_team.get(job.team, 0.0) / weight
        return (not guaranteed, -entry.kind.urgency, share, job.accepted_ms)

    return sorted(queue, key=rank)


def may_backfill(
    entry: QueueEntry, run_times: RunTimes, now_ms: float, reserved_until_ms: float
) -> bool:
    """Return whether a job is expected to end before reserved workers are needed."""
    expected_ms = run_times.expect_ms(
        f"{entry.accepted.team}/{entry.kind.id}", entry.kind.expected_run_ms
    )
    return now_ms + expected_ms <= reserved_until_ms
