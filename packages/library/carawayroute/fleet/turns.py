"""Turns of waiting work at the searches for room, of which a pass can make only so many.

Load pattern: some work cannot be placed for the time being, as the only runners that it may use are
away or full. It keeps its rank from pass to pass. If each pass searched room only for the first
stages of the ranking, a few hundred such stages would keep it from ever getting to the others.

Half of the searches of a pass go by rank, so that important work is placed first. The others go to
the stages that were left out the longest ago, whatever their rank.
"""

from itertools import islice

# Longest time for which a gang holds a reservation, and for which it then leaves it to others.
RESERVATION_MS = 15_000

StageKey = tuple[str, int, int]


class Turns:
    """Admits a limited number of stages in each pass; those that are left out come first later.

    :param limit: number of stages that are admitted in a pass.
    :ivar skipped: number of times that a stage was left out in the current pass.
    """

    __slots__ = ("_by_rank", "_left_out", "_limit", "_reserved", "skipped")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        # Ordered by the pass in which a stage was first left out.
        self._left_out: dict[StageKey, None] = {}
        self._reserved: frozenset[StageKey] = frozenset()
        self._by_rank = limit
        self.skipped = 0

    def begin_pass(self) -> None:
        """Reserve up to half of the admissions for stages that were left out before."""
        self._reserved = frozenset(islice(self._left_out, self._limit // 2))
        for key in self._reserved:
            del self._left_out[key]
        self._by_rank = self._limit - len(self._reserved)
        self.skipped = 0

    def admit(self, key: StageKey, queued: bool = True) -> bool:
        """Return whether it is a stage's turn in this pass; stages ask in order of rank.

        :param queued: whether the stage is remembered if it is left out.
        """
        if key in self._reserved:
            return True
        if self._by_rank > 0:
            self._by_rank -= 1
            self._left_out.pop(key, None)
            return True
        self.skipped += 1
        if queued:
            self._left_out.setdefault(key)
        return False


class ReservationTurns:
    """Bounds the time for which a gang that is not placed keeps room from other work."""

    __slots__ = ("_since_ms_by_stage",)

    def __init__(self) -> None:
        self._since_ms_by_stage: dict[StageKey, float] = {}

    def admit(self, key: StageKey, wall_ms: float) -> bool:
        """Return whether a gang may have a reservation now.

        :param wall_ms: current wall-clock time.
        """
        since_ms = self._since_ms_by_stage.get(key)
        if since_ms is None or wall_ms - since_ms >= 2 * RESERVATION_MS:
            self._forget_before(wall_ms - 2 * RESERVATION_MS)
            self._since_ms_by_stage[key] = since_ms = wall_ms
        return wall_ms - since_ms < RESERVATION_MS

    def _forget_before(self, wall_ms: float) -> None:
        self._since_ms_by_stage = {
            key: since_ms for key, since_ms in self._since_ms_by_stage.items() if since_ms > wall_ms
        }
