"""Quarantine of machines that fail what they start, told apart from work that fails everywhere."""

from carawayroute.clock import Clock

FAILURES_TO_QUARANTINE = 3
FIRST_QUARANTINE_MS = 5_000
MAX_QUARANTINE_MS = 300_000
MACHINES_TO_CONDEMN_WORK = 3


class _MachineRecord:
    __slots__ = ("failures", "quarantine_ms", "until_ms", "work")

    def __init__(self) -> None:
        self.failures = 0
        self.quarantine_ms = FIRST_QUARANTINE_MS
        self.until_ms = 0.0
        self.work: set[str] = set()


class HealthTracker:
    """Decide from successes and failures whether a machine or a piece of work is at fault.

    A machine is quarantined after several failures in a row, of more than one piece of work where
    work is named. After its quarantine it is tried again; the next failure doubles the quarantine.
    Work is condemned once it failed on several machines that otherwise succeed.
    """

    __slots__ = ("_by_machine", "_clock", "_healthy", "_machines_by_work")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_machine: dict[str, _MachineRecord] = {}
        self._machines_by_work: dict[str, set[str]] = {}
        self._healthy: set[str] = set()

    def succeeded(self, machine: str, work: str = "") -> None:
        """Count a success; it clears the machine and the work."""
        self._by_machine.pop(machine, None)
        self._healthy.add(machine)
        self._machines_by_work.pop(work, None)

    def failed(self, machine: str, work: str = "") -> None:
        """Count a failure of a piece of work on a machine."""
        record = self._by_machine.setdefault(machine, _MachineRecord())
        record.failures += 1
        if work:
            record.work.add(work)
            self._machines_by_work.setdefault(work, set()).add(machine)
        several_works = not work or len(record.work) > 1
        returned = record.until_ms > 0
        if returned or (record.failures >= FAILURES_TO_QUARANTINE and several_works):
            if returned:
                record.quarantine_ms = min(MAX_QUARANTINE_MS, record.quarantine_ms * 2)
            record.until_ms = self._clock.now_ms() + record.quarantine_ms
            self._healthy.discard(machine)

    def is_quarantined(self, machine: str) -> bool:
        """Return whether a machine gets no work now."""
        record = self._by_machine.get(machine)
        return record is not None and record.until_ms > self._clock.now_ms()

    def is_condemned(self, work: str) -> bool:
        """Return whether work failed on enough machines that are not at fault themselves."""
        machines = self._machines_by_work.get(work, set())
        trusted = [machine for machine in machines if not self.is_quarantined(machine)]
        return len(trusted) >= MACHINES_TO_CONDEMN_WORK

    def failed_on(self, work: str) -> set[str]:
        """Return the machines that a piece of work failed on."""
        return self._machines_by_work.get(work, set())

    def forget_work(self, work: str) -> None:
        """Drop what is known of finished work."""
        self._machines_by_work.pop(work, None)
