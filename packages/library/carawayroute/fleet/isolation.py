"""Isolation of tasks that are suspected of crashing runners.

Load pattern: some tasks crash their runner about 10 ms after each start, and every run on it is
lost; the runner is back some 3 s later. A task that is tried again beside other work takes that
work down as well, and spreads the suspicion to it. Runners also crash for other reasons, many at a
time, so that most suspects are innocent and must not be delayed.

A suspect is therefore placed alone on an empty runner, to which nothing is added until the suspect
has run for a while. A suspect after a single crash is placed as usual if no empty runner is left,
but rather not beside guaranteed work; a suspect after more crashes waits for an empty runner, but
not so long that its job counts as starved, and then goes where the least is lost. Suspects are not
placed together, nor on runners whose process started lately if there are others: each would be
blamed for the crash of the other, or for that of a runner that crashes by itself again and again,
which is empty whenever it is back.

The alternative is to place suspects like other tasks (``python -m bench.deadly``).
"""

from collections.abc import Collection, Iterable, Mapping, Sequence

from carawayroute.fleet import packing
from carawayroute.fleet.jobs import Stage
from carawayroute.fleet.packing import Candidate
from carawayroute.fleet.types import Capacity

# Deadly tasks crash their runner some 10 ms after their start; nothing is placed beside a suspect
# until it has run for this long.
PROBATION_MS = 300
# Longest time for which a suspect waits for an empty runner; below the 3 s within which the
# platform expects work to start if there is capacity.
MAX_WAIT_MS = 1_800
# Crashes from which a task waits for an empty runner.
WAITING_SUSPICION = 2
# Share of the runners that suspects after a single crash may have for themselves, and the least
# number of them.
ISOLATED_SHARE = 0.05
MIN_ISOLATED = 2
NOTHING = Capacity(0, 0, 0)


def suspicion(stage: Stage, index: int) -> int:
    """Return the number of crashes for which a task is suspected.

    Of the crashes that did not come soon after the task's start, the first one does not count. A
    task that has survived a start is not suspected.
    """
    if stage.survived[index]:
        return 0
    return max(stage.start_crashes[index], stage.crashes[index] - 1)


def suspects(stage: Stage, indices: Iterable[int]) -> list[int]:
    """Return those tasks of a stage that are suspected of crashing runners."""
    if not any(stage.crashes):
        return []
    return [index for index in indices if suspicion(stage, index) > 0]


def elsewhere(stage: Stage, candidates: list[Candidate]) -> list[Candidate]:
    """Return the candidates at other addresses than those where runners crashed with a task.

    Crashes at several addresses tell a task that crashes runners from a runner that crashes by
    itself.

    :return: an empty list if no runner has crashed with a task of the stage.
    """
    addresses = stage.addresses_crashed_at()
    if not addresses:
        return []
    return [one for one in candidates if one.runner.address not in addresses]


def on_probation(stage: Stage, index: int, started_ms: float | None, now_ms: float) -> bool:
    """Return whether a running task may be about to crash its runner.

    :param started_ms: time of the confirmed start, ``None`` before it.
    """
    if started_ms is not None and now_ms - started_ms >= PROBATION_MS:
        return False
    return suspicion(stage, index) > 0


class SuspectWaits:
    """Keeps for how long suspects have been waiting for an empty runner."""

    __slots__ = ("_since_ms_by_task",)

    def __init__(self) -> None:
        self._since_ms_by_task: dict[tuple, float] = {}

    def update(self, stages: Iterable[Stage], now_ms: float) -> None:
        """Start to count for suspects that began to wait, and forget all others."""
        before = self._since_ms_by_task
        self._since_ms_by_task = {
            (stage.key, index): before.get((stage.key, index), now_ms)
            for stage in stages
            if any(stage.crashes)
            for index in suspects(stage, stage.waiting())
        }

    def overdue(self, now_ms: float) -> set[tuple]:
        """Return key and index of the suspects that have waited too long."""
        return {
            task
            for task, since_ms in self._since_ms_by_task.items()
            if now_ms - since_ms >= MAX_WAIT_MS
        }


class Isolation:
    """Placement of suspects in one scheduling pass.

    :param candidates: all runners that may get work.
    :param closed: ids of the runners to which nothing may be added; their free capacity is none.
    :param overdue: key of the stage and index of the suspects that have waited too long.
    """

    __slots__ = ("_left", "_overdue")

    def __init__(
        self,
        candidates: Sequence[Candidate],
        closed: Collection[str] = (),
        overdue: Collection[tuple] = (),
    ) -> None:
        for candidate in candidates:
            if candidate.runner.id in closed:
                candidate.free.lower_to(NOTHING)
        self._left = max(MIN_ISOLATED, int(ISOLATED_SHARE * len(candidates))) - len(closed)
        self._overdue = overdue

    def must_wait(self, stage: Stage, indices: Iterable[int]) -> bool:
        """Return whether suspects have to wait for an empty runner."""
        return any(suspicion(stage, index) >= WAITING_SUSPICION for index in indices)

    def is_overdue(self, stage: Stage, indices: Iterable[int]) -> bool:
        """Return whether one of the suspects has waited too long."""
        return any((stage.key, index) in self._overdue for index in indices)

    def choose_empty(
        self, stage: Stage, candidates: list[Candidate], indices: list[int]
    ) -> list[Candidate]:
        """Return an empty runner for each of the first suspects, as long as there are any."""
        count = len(indices)
        if not self.must_wait(stage, indices):
            count = min(count, max(0, self._left))
        if not count:
            return []
        empty = [
            candidate
            for candidate in candidates
            if candidate.empty
            and candidate.steady
            and packing.count_fitting_tasks(stage, candidate)
        ]
        return packing.sorted_by_fit(stage, empty)[:count]

    def choose_least_harmful(
        self,
        stage: Stage,
        candidates: list[Candidate],
        count: int,
        harm_by_runner: Mapping[str, float],
    ) -> list[Candidate]:
        """Return a runner for each of ``count`` suspects, those on which the least is lost."""
        fitting = [
            candidate for candidate in candidates if packing.count_fitting_tasks(stage, candidate)
        ]
        fitting.sort(
            key=lambda one: (
                not one.steady,
                harm_by_runner.get(one.runner.id, 0.0),
                one.runner.id,
            )
        )
        return fitting[:count]

    def close(self, candidates: Iterable[Candidate]) -> None:
        """Close runners to which suspects have been assigned for the rest of the pass."""
        for candidate in candidates:
            candidate.free.lower_to(NOTHING)
            self._left -= 1
