"""Best-fit placement of tasks on runners.

Tasks go to the runners with the least free capacity that hold them, so that whole runners and racks
stay free. Otherwise, under high load, small tasks fragment the fleet and gangs that need whole
runners starve.
"""

from collections.abc import Iterable

from carawayroute.fleet.jobs import Stage
from carawayroute.fleet.speeds import SLOW_RATIO
from carawayroute.fleet.types import Capacity, Runner
from carawayroute_schema import records_pb2 as pb

# With a deadline below this many times the work, a slow runner alone makes a job late: the slowest
# third of the users' runners takes 1.3 times as long as a typical one, and the longest task of a
# typical gang 1.17 times as long as expected.
TIME_CRITICAL_STRETCH = 1.6
# Above the number of tasks that any runner can hold.
UNBOUNDED = 1_000_000

SLOW_SPEED = 1 / SLOW_RATIO


class Candidate:
    """A runner that may get work, with its free capacity.

    :param speed: speed of the runner, where 1.0 is typical.
    :param steady: its process has not been started lately.
    """

    __slots__ = ("free", "runner", "speed", "steady")

    def __init__(
        self, runner: Runner, free: Capacity, speed: float = 1.0, steady: bool = True
    ) -> None:
        self.runner = runner
        self.free = free
        self.speed = speed
        self.steady = steady

    @property
    def slow(self) -> bool:
        """Return whether the runner is notably slower than a typical one."""
        return self.speed < SLOW_SPEED

    @property
    def empty(self) -> bool:
        """Return whether nothing runs on the runner."""
        free, capacity = self.free, self.runner.capacity
        return (
            free.accelerators >= capacity.accelerators
            and free.memory_mb >= capacity.memory_mb
            and free.cpu_millis >= capacity.cpu_millis
        )

    @property
    def unallocated(self) -> bool:
        """Return whether all accelerators of the runner are free."""
        return self.free.accelerators >= self.runner.capacity.accelerators


def can_run(stage: Stage, runner: Runner) -> bool:
    """Return whether a runner is eligible for a stage by service, label and drain state."""
    return _is_eligible(stage.job.record.service, stage.step.label, runner)


def _is_eligible(service: str, label: str, runner: Runner) -> bool:
    if runner.service != service or runner.draining:
        return False
    return not label or label in runner.labels


class EmptyRoom:
    """What runners would hold if they were empty, an upper bound by service and label.

    :param candidates: all runners that may get work.
    """

    __slots__ = ("_bounds", "_candidates")

    def __init__(self, candidates: Iterable[Candidate]) -> None:
        self._candidates = list(candidates)
        # The largest amount of each resource on one runner, and that of all runners.
        self._bounds: dict[tuple[str, str], tuple[Capacity, Capacity]] = {}

    def may_hold(self, job: pb.Job) -> bool:
        """Return whether each step of a job may fit."""
        return all(self.may_hold_step(job.service, step) for step in job.steps)

    def may_hold_step(self, service: str, step: pb.Step) -> bool:
        """Return whether a task of a step may fit, of a gang all tasks at once."""
        largest, total = self._bounds_of(service, step.label)
        demand = Capacity.needed_by(step)
        if not largest.count_fitting(demand, 1):
            return False
        return not step.gang or total.count_fitting(demand, step.count) >= step.count

    def _bounds_of(self, service: str, label: str) -> tuple[Capacity, Capacity]:
        found = self._bounds.get((service, label))
        if found is None:
            # Nothing fits where there is no runner, also what needs nothing.
            largest, total = Capacity(-1, -1, -1), Capacity(0, 0, 0)
            for candidate in self._candidates:
                if _is_eligible(service, label, candidate.runner):
                    capacity = candidate.runner.capacity
                    largest.raise_to(capacity)
                    total.subtract(capacity, -1)
            found = self._bounds[service, label] = largest, total
        return found


def group_by_rack(candidates: Iterable[Candidate]) -> dict[str, list[Candidate]]:
    """Return candidates by rack."""
    by_rack: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        by_rack.setdefault(candidate.runner.rack, []).append(candidate)
    return by_rack


def _remaining_limit(stage: Stage, runner: str) -> int:
    """Return how many more tasks of a stage its limit per runner allows on a runner."""
    limit_per_runner = stage.step.most_per_runner
    if limit_per_runner == 0:
        return UNBOUNDED
    return max(0, limit_per_runner - sum(1 for placed in stage.runners if placed == runner))


def is_time_critical(stage: Stage) -> bool:
    """Return whether a slow runner alone would make a stage late."""
    return stage.job.record.stretch < TIME_CRITICAL_STRETCH


def count_fitting_tasks(stage: Stage, candidate: Candidate) -> int:
    """Return how many tasks of a stage currently fit on a runner."""
    if candidate.free.accelerators < stage.demand.accelerators:
        return 0
    return candidate.free.count_fitting(stage.demand, _remaining_limit(stage, candidate.runner.id))


def sorted_by_fit(stage: Stage, candidates: list[Candidate]) -> list[Candidate]:
    """Return candidates in the order in which tasks of a stage are placed on them."""
    time_critical = is_time_critical(stage)
    each = max(1, stage.demand.accelerators)

    def rank(candidate: Candidate) -> tuple[bool, int, int, float, str]:
        left = candidate.free.accelerators
        return (
            candidate.slow is time_critical,
            left % each,
            left,
            -candidate.speed,
            candidate.runner.id,
        )

    return sorted(candidates, key=rank)


def best_fit(stage: Stage, candidates: list[Candidate], count: int) -> list[str]:
    """Return the runner ids for up to ``count`` tasks of a stage, tightest fit first.

    Time-critical work prefers runners that are not slow; other work prefers slow ones.
    """
    demand = stage.demand
    runner_ids: list[str] = []
    large_enough = [
        candidate for candidate in candidates if candidate.free.accelerators >= demand.accelerators
    ]
    for candidate in sorted_by_fit(stage, large_enough):
        fitting = min(count_fitting_tasks(stage, candidate), count - len(runner_ids))
        runner_ids.extend([candidate.runner.id] * fitting)
        if len(runner_ids) == count:
            break
    return runner_ids


def domains(stage: Stage, candidates: list[Candidate]) -> list[list[Candidate]]:
    """Return the groups of candidates within which a stage runs at full speed."""
    if stage.step.data_rack:
        near = [
            candidate for candidate in candidates if candidate.runner.rack == stage.step.data_rack
        ]
        return [near] if near else []
    if stage.step.same_rack and stage.step.count > 1:
        return list(group_by_rack(candidates).values())
    return [candidates]


def choose(
    stage: Stage, candidates: list[Candidate], count: int, all_or_nothing: bool
) -> list[str] | None:
    """Return runner ids for tasks of a stage, all in one domain, or None if they do not fit.

    :param all_or_nothing: place all tasks or none; otherwise as many as fit, at least one.
    """
    least = stage.demand.accelerators
    if least and not any(candidate.free.accelerators >= least for candidate in candidates):
        return None
    best: list[str] | None = None
    best_rank: tuple[int, int] | None = None
    time_critical = is_time_critical(stage)
    slow = {one.runner.id for one in candidates if one.slow} if time_critical else set()
    # The fullest domains come first, so that the first one that suits is the best.
    for domain in sorted(domains(stage, candidates), key=_free_accelerators):
        if all_or_nothing and not _holds(stage, domain, count):
            continue
        runner_ids = best_fit(stage, domain, count)
        if not runner_ids:
            continue
        unsuited = sum(1 for runner_id in runner_ids if runner_id in slow)
        if len(runner_ids) == count and not unsuited:
            return runner_ids
        rank = (-len(runner_ids), unsuited)
        if best_rank is None or rank < best_rank:
            best, best_rank = runner_ids, rank
    return best


def _free_accelerators(candidates: list[Candidate]) -> int:
    return sum([candidate.free.accelerators for candidate in candidates])


def _holds(stage: Stage, candidates: list[Candidate], count: int) -> bool:
    """Return whether ``count`` tasks of a stage currently fit on the runners together."""
    left = count
    for candidate in candidates:
        left -= count_fitting_tasks(stage, candidate)
        if left <= 0:
            return True
    return False


def most_when_empty(stage: Stage, candidates: list[Candidate]) -> int:
    """Return how many tasks of a stage would fit in one domain if the runners were empty."""
    return max(
        (_count_fitting_when_empty(stage, domain) for domain in domains(stage, candidates)),
        default=0,
    )


def emptiest_domain(stage: Stage, candidates: list[Candidate], count: int) -> list[Candidate]:
    """Return the domain in which most tasks of a gang fit now, of those that hold it when empty.

    If no single domain holds the gang, all candidates together count as one.
    """
    able = [
        domain
        for domain in domains(stage, candidates)
        if _count_fitting_when_empty(stage, domain) >= count
    ]
    if not able:
        able = [candidates] if _count_fitting_when_empty(stage, candidates) >= count else []

    def rank(domain: list[Candidate]) -> tuple[int, int]:
        fitting = sum(count_fitting_tasks(stage, candidate) for candidate in domain)
        return (min(fitting, count), sum(candidate.free.accelerators for candidate in domain))

    return max(able, key=rank, default=[])


def _count_fitting_when_empty(stage: Stage, candidates: list[Candidate]) -> int:
    """Return how many tasks of a stage would fit on the runners if they were empty."""
    limit = stage.step.most_per_runner or UNBOUNDED
    # Runners have few different capacities.
    fitting_by_capacity: dict[tuple[int, int, int], int] = {}
    total = 0
    for candidate in candidates:
        capacity = candidate.runner.capacity
        amounts = (capacity.cpu_millis, capacity.memory_mb, capacity.accelerators)
        fitting = fitting_by_capacity.get(amounts)
        if fitting is None:
            fitting = capacity.count_fitting(stage.demand, limit)
            fitting_by_capacity[amounts] = fitting
        total += fitting
    return total
