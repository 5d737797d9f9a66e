"""The platform's list of runners, passed on to the planner entry by entry."""

import structlog

from carawayroute.fleet.exceptions import FormatError
from carawayroute.fleet.planner import Planner
from carawayroute.fleet.ports import KeyedRecord, PlatformFormat

log = structlog.get_logger()


class RunnerList:
    """Decodes the entries of the list and tells the planner what they say.

    An entry that is not usable may have been written by another program. It names no runner: a
    runner that was usable before keeps what it runs, but gets no new work until a usable entry
    follows. A line is logged when an entry becomes unusable, or is so for another reason.

    :ivar error_by_runner: why entries are not usable, by runner.
    """

    def __init__(self, planner: Planner, formats: PlatformFormat) -> None:
        self._planner = planner
        self._formats = formats
        self.error_by_runner: dict[str, str] = {}

    def apply(self, record: KeyedRecord) -> None:
        """Apply an entry, or the removal of one if it is empty."""
        if not record.value:
            self.error_by_runner.pop(record.key, None)
            self._planner.remove_runner(record.key)
            return
        try:
            runner = self._formats.decode_runner(record.key, record.value)
        except FormatError as error:
            self._note_unusable(record.key, str(error))
            return
        if self.error_by_runner.pop(record.key, None) is not None:
            log.info("runner_entry_usable", runner=record.key)
        self._planner.departures.note_entry(record.key, record.offset)
        self._planner.set_runner(runner)

    def _note_unusable(self, runner_id: str, error: str) -> None:
        if self.error_by_runner.get(runner_id) != error:
            self.error_by_runner[runner_id] = error
            log.warning("runner_entry_unusable", runner=runner_id, error=error)
        self._planner.suspend_runner(runner_id)

    def keep_listed(self, listed: set[str], end: int) -> None:
        """Remove the runners that a complete new list does not contain."""
        for runner_id in self.error_by_runner.keys() - listed:
            del self.error_by_runner[runner_id]
        self._planner.remove_unlisted(listed)
