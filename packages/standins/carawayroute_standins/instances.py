"""The platform's list of instances, which lags behind."""

from carawayroute.clock import Clock
from carawayroute.types import Instance


class InstanceTable:
    """Show each change only after a lag.

    :param lag_ms: age of what `read` returns.
    """

    def __init__(self, clock: Clock, lag_ms: int = 0) -> None:
        self.clock = clock
        self.lag_ms = lag_ms
        self.down = False
        self._history: list[tuple[float, dict[str, Instance]]] = []

    def set(self, *instances: Instance) -> None:
        """Add or replace instances."""
        current = dict(self._history[-1][1]) if self._history else {}
        current.update({instance.id: instance for instance in instances})
        self._history.append((self.clock.now_ms(), current))

    def remove(self, instance_id: str) -> None:
        """Take an instance off the list."""
        current = dict(self._history[-1][1])
        current.pop(instance_id, None)
        self._history.append((self.clock.now_ms(), current))

    def read(self) -> list[Instance]:
        """Return the list as it was."""
        seen_ms = self.clock.now_ms() - self.lag_ms
        shown = self._history[0][1] if self._history else {}
        for at_ms, current in self._history:
            if at_ms <= seen_ms:
                shown = current
        return list(shown.values())
