"""What a scheduling pass has found out about shapes of work.

Load pattern: after a burst, hundreds of gangs of a few shapes wait for a full fleet. Looking for
room or victims for each of them costs the size of the fleet times the length of the queue, and the
planner's only thread is busy with passes while runners end tasks.

Free capacity only shrinks during a pass. A shape that did not fit therefore never will in the same
pass, nor will more tasks of it, and victims never become cheaper. The alternative is to search anew
for each stage (``python -m bench.passes``).
"""

from collections.abc import Callable

from carawayroute.fleet.jobs import Stage

# Properties of a stage that decide on which runners its tasks fit.
Shape = tuple


def shape_of(stage: Stage) -> Shape:
    """Return the properties that decide whether tasks of a stage fit, whatever their number."""
    step = stage.step
    return (
        stage.job.record.service,
        step.label,
        step.data_rack,
        step.same_rack,
        step.cpu_millis,
        step.memory_mb,
        step.accelerators,
        step.gang,
        stage.key if step.most_per_runner else None,
    )


class FitCache:
    """Shapes that do not fit, and those whose victims cost too much, in one pass."""

    __slots__ = ("_costs_by_search", "_fewest_unplaceable", "_most_when_empty")

    def __init__(self) -> None:
        self._fewest_unplaceable: dict[tuple, int] = {}
        self._most_when_empty: dict[tuple, int] = {}
        self._costs_by_search: dict[tuple, list[tuple[int, float]]] = {}

    def most_when_empty(self, key: tuple, count: Callable[[], int]) -> int:
        """Return how many tasks would fit in one domain of empty runners.

        :param key: the shape, and what else sets the runners apart.
        :param count: counts them, called once for each key.
        """
        found = self._most_when_empty.get(key)
        if found is None:
            found = self._most_when_empty[key] = count()
        return found

    def note_unplaceable(self, key: tuple, count: int) -> None:
        """Note that there is no room for ``count`` tasks together."""
        known = self._fewest_unplaceable.get(key, count)
        self._fewest_unplaceable[key] = min(known, count)

    def is_unplaceable(self, key: tuple, count: int) -> bool:
        """Return whether there is certainly no room for ``count`` tasks together."""
        fewest = self._fewest_unplaceable.get(key)
        return fewest is not None and count >= fewest

    def note_cost(self, key: tuple, count: int, cost: float) -> None:
        """Note the cost of making room for ``count`` tasks, infinite if nothing makes room."""
        self._costs_by_search.setdefault(key, []).append((count, cost))

    def is_too_costly(self, key: tuple, count: int, most: float) -> bool:
        """Return whether making room for ``count`` tasks is known to cost more than ``most``."""
        return any(
            count >= known_count and cost > most
            for known_count, cost in self._costs_by_search.get(key, ())
        )
