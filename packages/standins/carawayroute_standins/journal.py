"""What a stand-in really did, in order."""

from carawayroute.clock import Clock


class JournalEntry:
    """One thing that a stand-in did."""

    __slots__ = ("at_ms", "fields", "what")

    def __init__(self, at_ms: float, what: str, fields: dict[str, object]) -> None:
        self.at_ms = at_ms
        self.what = what
        self.fields = fields

    def as_dict(self) -> dict[str, object]:
        """Return the entry as one flat map."""
        return {"at_ms": self.at_ms, "what": self.what, **self.fields}


class Journal:
    """Keep the entries of one or more stand-ins."""

    __slots__ = ("clock", "entries")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.entries: list[JournalEntry] = []

    def record(self, what: str, **fields: object) -> None:
        """Add an entry with the wall clock, which all processes of a machine share."""
        self.entries.append(JournalEntry(self.clock.wall_ms(), what, fields))

    def all(self, what: str) -> list[JournalEntry]:
        """Return the entries of one sort."""
        return [entry for entry in self.entries if entry.what == what]
