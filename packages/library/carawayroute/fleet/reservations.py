"""Reservations of room for gangs that wait.

Load pattern: a gang waits for whole runners in a fleet that a stream of small tasks keeps full, and
gets room that no other work may use. If it cannot be served soon, say as a task that lasts keeps
one of its runners, that room would stay empty for good.
"""

# Longest time for which a gang holds a reservation, and for which it then leaves it to others.
RESERVATION_MS = 15_000

StageKey = tuple[str, int, int]


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
