"""Runners that the planner cannot reach, stored for the planner after it.

A runner that crashes is soon listed no more. The next planner polls it where it was last reached,
and learns from the answer whether its process has ended.
"""

from collections.abc import Awaitable, Callable, Iterable

from carawayroute.clock import Clock
from carawayroute.fleet.jobs import LOST_RUNNERS_KEY
from carawayroute.fleet.links import RunnerLink
from carawayroute.fleet.record_checks import is_address
from carawayroute.misc import TaskGroup
from carawayroute_schema import records_pb2 as pb

# Changes within this time are stored together.
STORE_DELAY_MS = 100


class LostRunners:
    """Stores the runners that are out of reach, and tells those that were at the take-over.

    :param write: stores records.
    :param lost_links: returns the links to the runners that are out of reach now.
    :ivar inherited_by_id: those that the previous planner could not reach.
    """

    def __init__(
        self,
        clock: Clock,
        tasks: TaskGroup,
        write: Callable[[list[tuple[str, bytes]]], Awaitable[object]],
        lost_links: Callable[[], Iterable[RunnerLink]],
    ) -> None:
        self._clock = clock
        self._tasks = tasks
        self._write = write
        self._lost_links = lost_links
        self.inherited_by_id: dict[str, pb.LostRunner] = {}
        self._storing = False
        self._stored_ids: set[str] = set()

    def load(self, record: pb.LostRunners) -> None:
        """Load the runners that the previous planner could not reach; odd ones are left out."""
        self.inherited_by_id = {
            lost.id: lost
            for lost in record.runners
            if is_address(lost.id) and is_address(lost.address)
        }
        self._stored_ids = set(self.inherited_by_id)

    def note_lost(self) -> None:
        """Store the runners that are out of reach soon."""
        if not self._storing:
            self._storing = True
            self._tasks.start(self._store(), "store lost runners")

    def note_report(self, runner_id: str) -> None:
        """Store anew if a runner that reports is stored as lost."""
        if runner_id in self._stored_ids:
            self.note_lost()

    async def _store(self) -> None:
        await self._clock.sleep_ms(STORE_DELAY_MS)
        self._storing = False
        lost = [
            pb.LostRunner(
                id=link.runner.id,
                address=link.runner.address,
                draining=link.runner.draining,
                boot_ms=link.boot_ms,
            )
            for link in self._lost_links()
        ]
        self._stored_ids = {one.id for one in lost}
        record = pb.LostRunners(runners=lost).SerializeToString()
        await self._write([(LOST_RUNNERS_KEY, record)])
