"""Where tasks go: the tightest place that holds them, so that whole runners and racks stay free.

Answers a mix of small and large tasks under a high load, in which gangs of whole runners starve
once single accelerators are taken everywhere.
"""

from collections.abc import Iterable

from carawayroute.fleet.jobs import Stage
from carawayroute.fleet.speeds import SLOW_RATIO
from carawayroute.fleet.types import Capacity, Runner

# An objective below this many times the work leaves no time for a slow runner: 1.3 for the slow
# third of the users' runners, and 1.17 for the longest task of a usual gang.
TIME_CRITICAL_STRETCH = 1.6
# More tasks on one runner than any runner holds.
UNBOUNDED = 1_000_000


# A runner that does less than this share of a usual one's work is slow (see speeds).
SLOW_SPEED = 1 / SLOW_RATIO


class Candidate:
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
    def unallocated(self) -> bool:
        """Return whether nothing holds an accelerator of the runner."""
        return self.free.accelerators >= self.runner.capacity.accelerators


def can_run(stage: Stage, runner: Runner) -> bool:
    """Return whether a runner may run the tasks of a stage at all."""
    if runner.service != stage.job.record.service or runner.draining:
        return False
    label = stage.step.label
    return not label or label in runner.labels


def group_by_rack(candidates: Iterable[Candidate]) -> dict[str, list[Candidate]]:
    """Return rooms by rack."""
    by_rack: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        by_rack.setdefault(candidate.runner.rack, []).append(candidate)
    return by_rack


def _remaining_limit(stage: Stage, runner: str) -> int:
    """Return how many more tasks of a stage may go to a runner."""
    limit_per_runner = stage.step.most_per_runner
    if limit_per_runner == 0:
        return UNBOUNDED
    return max(0, limit_per_runner - sum(1 for placed in stage.runners if placed == runner))


def is_time_critical(stage: Stage) -> bool:
    """Return whether a slow runner alone makes a stage late."""
    return stage.job.record.stretch < TIME_CRITICAL_STRETCH


def count_fitting_tasks(stage: Stage, candidate: Candidate) -> int:
    """Return how many tasks of a stage fit on a runner now."""
    if candidate.free.accelerators < stage.demand.accelerators:
        return 0
    return candidate.free.count_fitting(stage.demand, _remaining_limit(stage, candidate.runner.id))


def best_fit(stage: Stage, candidates: list[Candidate], count: int) -> list[str]:
    """Return runners for up to ``count`` tasks of a stage, the tightest places first.

    Work in a hurry goes to runners that are not slow, all other work leaves those free.
    """
    demand = stage.demand
    time_critical = is_time_critical(stage)

    def rank(candidate: Candidate) -> tuple[bool, int, int, float, str]:
        left = candidate.free.accelerators
        each = max(1, demand.accelerators)
        return (
            candidate.slow is time_critical,
            left % each,
            left,
            -candidate.speed,
            candidate.runner.id,
        )

    runner_ids: list[str] = []
    large_enough = [
        candidate for candidate in candidates if candidate.free.accelerators >= demand.accelerators
    ]
    for candidate in sorted(large_enough, key=rank):
        fitting = min(count_fitting_tasks(stage, candidate), count - len(runner_ids))
        runner_ids.extend([candidate.runner.id] * fitting)
        if len(runner_ids) == count:
            break
    return runner_ids


def _domains(stage: Stage, candidates: list[Candidate]) -> list[list[Candidate]]:
    """Return the groups of rooms in which a stage runs at full speed, best first."""
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
    """Return runners for tasks of a stage where they run at full speed.

    :param whole: all of them or none; otherwise as many as fit, at least one.
    """
    best: list[str] | None = None
    best_rank: tuple[int, int, int] | None = None
    time_critical = is_time_critical(stage)
    slow = {candidate.runner.id for candidate in candidates if candidate.slow}
    for domain in _domains(stage, candidates):
        if (
            all_or_nothing
            and sum(count_fitting_tasks(stage, candidate) for candidate in domain) < count
        ):
            continue
        runner_ids = best_fit(stage, domain, count)
        if not runner_ids:
            continue
        left = sum(candidate.free.accelerators for candidate in domain)
        unsuited = sum(1 for runner_id in runner_ids if (runner_id in slow) is time_critical)
        rank = (-len(runner_ids), unsuited if time_critical else 0, left)
        if best_rank is None or rank < best_rank:
            best, best_rank = runner_ids, rank
    return best


def full_speed_possible(stage: Stage, candidates: list[Candidate], count: int) -> bool:
    """Return whether the tasks would fit at full speed if the runners were empty."""
    return any(
        _count_fitting_when_empty(stage, domain) >= count for domain in _domains(stage, candidates)
    )


def emptiest_domain(stage: Stage, candidates: list[Candidate], count: int) -> list[Candidate]:
    """Return the rooms in which a gang would fit if they were empty and that are emptiest now."""
    domains = _domains(stage, candidates)
    able = [domain for domain in domains if _count_fitting_when_empty(stage, domain) >= count]
    if not able:
        able = [candidates] if _count_fitting_when_empty(stage, candidates) >= count else []

    def rank(domain: list[Candidate]) -> tuple[int, int]:
        fitting = sum(count_fitting_tasks(stage, candidate) for candidate in domain)
        return (min(fitting, count), sum(candidate.free.accelerators for candidate in domain))

    return max(able, key=rank, default=[])


def _count_fitting_when_empty(stage: Stage, candidates: list[Candidate]) -> int:
    """Return how many tasks of a stage would fit if the runners were empty."""
    limit = stage.step.most_per_runner or UNBOUNDED
    return sum(
        candidate.runner.capacity.count_fitting(stage.demand, limit) for candidate in candidates
    )
