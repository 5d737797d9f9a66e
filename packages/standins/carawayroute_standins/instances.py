"""Stand-in for the platform's instance list, which reports changes with a lag."""

from carawayroute.clock import Clock
from carawayroute.types import Instance


class InstanceTable:
    """Instance list in which a change becomes visible only after a lag.

    :param lag_ms: delay in ms before a change is visible to `read`.
    """

    def __init__(self, clock: Clock, lag_ms: int = 0) -> None:
        self.clock = clock
        self.lag_ms = lag_ms
        self.down = False
        self._visible_index = 0
        self._history: list[tuple[float, dict[str, Instance]]] = []

    def set(self, *instances: Instance) -> None:
        """Add or replace instances."""
        current = dict(self._history[-1][1]) if self._history else {}
        current.update({instance.id: instance for instance in instances})
        self._history.append((self.clock.now_ms(), current))

    def remove(self, instance_id: str) -> None:
        """Remove an instance."""
        current = dict(self._history[-1][1])
        current.pop(instance_id, None)
        self._history.append((self.clock.now_ms(), current))

    def version(self) -> str:
        """Return an ETag of the list that `read` returns."""
        self.read()
        return f'"{self._visible_index}"'

    def read(self) -> list[Instance]:
        """Return the list as it was `lag_ms` ago.

        Raising the lag delays further changes but never returns an older list than before.
        """
        if not self._history:
            return []
        seen_ms = self.clock.now_ms() - self.lag_ms
        for index, (at_ms, _) in enumerate(self._history):
            if at_ms <= seen_ms:
                self._visible_index = max(self._visible_index, index)
        return list(self._history[self._visible_index][1].values())
