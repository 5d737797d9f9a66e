"""Journal of the actions of the stand-ins, used to check the outcomes that callers receive."""

from carawayroute.clock import Clock


class JournalEntry:
    """One action of a stand-in."""

    __slots__ = ("at_ms", "fields", "what")

    def __init__(self, at_ms: float, what: str, fields: dict[str, object]) -> None:
        self.at_ms = at_ms
        self.what = what
        self.fields = fields

    def as_dict(self) -> dict[str, object]:
        """Return the entry as a flat dictionary."""
        return {"at_ms": self.at_ms, "what": self.what, **self.fields}


class Journal:
    """Keeps the entries of one or more stand-ins in order."""

    __slots__ = ("clock", "entries")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.entries: list[JournalEntry] = []

    def record(self, what: str, **fields: object) -> None:
        """Add an entry stamped with wall-clock time, which is comparable between processes."""
        self.entries.append(JournalEntry(self.clock.wall_ms(), what, fields))

    def all(self, what: str) -> list[JournalEntry]:
        """Return the entries of one event type."""
        return [entry for entry in self.entries if entry.what == what]
