"""The emulated runners with their entries in the store, and what happens to them."""

from collections.abc import Callable

from carawayroute.clock import Clock
from carawayroute.fleet.types import Capacity, Runner
from carawayroute.misc import TaskGroup
from carawayroute_standins.fleet.taskrunner import ENDED_MODES, TaskRunner
from carawayroute_standins.fleet.topics import TopicStore
from carawayroute_standins.journal import Journal

# A runner writes its entry this often.
HEARTBEAT_MS = 1_500
# Its entry is removed after this many heartbeat intervals of silence.
SILENT_HEARTBEATS = 3
# A process that has crashed is followed by another one after this time, and unlisted after that.
BACK_MS = 3_300
UNLISTED_MS = 3_600


class RunnerPool:
    """Runners, by the ids of the processes that run there now, and their entries.

    A runner renews its entry every `HEARTBEAT_MS` while its process runs and the store is up, also
    if instances cannot reach it. Entries are removed only by `unlist`.

    :param topic: topic of the entries.
    :param encode: encodes an entry.
    :ivar runners: all runners, each at its own address.
    :ivar deadly_back_ms: time from a crash by a task to the next process at the address.
    :ivar deadly_new_ids: whether that process has another id.
    :ivar on_crash: called with a runner whose process has crashed.
    :ivar on_restart: called with a runner before its next process lists itself.
    """

    def __init__(
        self,
        store: TopicStore,
        topic: str,
        encode: Callable[[Runner], bytes],
        clock: Clock,
        journal: Journal,
        tasks: TaskGroup,
    ) -> None:
        self._store = store
        self._topic = topic
        self._encode = encode
        self._clock = clock
        self._journal = journal
        self._tasks = tasks
        self.runners: list[TaskRunner] = []
        self.by_id: dict[str, TaskRunner] = {}
        self._renewed_ids: set[str] = set()
        self.deadly_back_ms = BACK_MS
        self.deadly_new_ids = True
        self.on_crash: Callable[[TaskRunner], None] = lambda runner: None
        self.on_restart: Callable[[TaskRunner], None] = lambda runner: None

    def add(self, runner: TaskRunner) -> None:
        """Run a runner and list it."""
        self.runners.append(runner)
        self.by_id[runner.listed.id] = runner
        runner.on_deadly_task = self._follow_deadly_task
        self._tasks.start(runner.run(), runner.listed.id)
        self.list(runner.listed.id)
        self._tasks.start(self._renew_entry(runner), f"heartbeats of {runner.listed.id}")

    def list(self, name: str, draining: bool = False) -> None:
        """Write a runner's entry, which it renews from then on."""
        listed = self.by_id[name].listed
        listed.draining = draining
        self._store.put(self._topic, name, self._encode(listed))
        self._renewed_ids.add(name)
        self._journal.record("runner_listed", runner=name, draining=draining)

    async def _renew_entry(self, runner: TaskRunner) -> None:
        while True:
            await self._clock.sleep_ms(HEARTBEAT_MS)
            name = runner.listed.id
            running = runner.mode not in ENDED_MODES
            if running and name in self._renewed_ids and self._store.mode == "up":
                self._store.put(self._topic, name, self._encode(runner.listed))

    def unlist(self, name: str) -> None:
        """Remove a runner's entry, which is not renewed until `list`."""
        self._renewed_ids.discard(name)
        self._store.put(self._topic, name, b"")
        self._journal.record("runner_unlisted", runner=name)

    def silence(self, name: str) -> None:
        """Cut a runner off from the store: its entry stays and is not renewed until `list`."""
        self._renewed_ids.discard(name)
        self._journal.record("runner_silenced", runner=name)

    def crash(
        self,
        name: str,
        back_ms: float | None = BACK_MS,
        new_id: str = "",
        unlisted_ms: float = UNLISTED_MS,
    ) -> None:
        """End a runner's process and all tasks on it; another process follows at its address.

        :param back_ms: time from the crash to the next process, which lists itself, ``None`` if
            there is none.
        :param new_id: id of that process, by default the same.
        :param unlisted_ms: time from the crash until the ended process is no longer listed.
        """
        self.by_id[name].crash()
        self._follow_crash(name, back_ms, new_id, unlisted_ms)

    def next_id(self, name: str) -> str:
        """Return the id of a process that follows another one: w1-2 after w1, then w1-3."""
        base, _, number = name.partition("-")
        return f"{base}-{int(number or 1) + 1}"

    def _follow_deadly_task(self, runner: TaskRunner) -> None:
        name = runner.listed.id
        new_id = self.next_id(name) if self.deadly_new_ids else ""
        self._follow_crash(name, self.deadly_back_ms, new_id, UNLISTED_MS)

    def _follow_crash(
        self, name: str, back_ms: float | None, new_id: str, unlisted_ms: float
    ) -> None:
        runner = self.by_id[name]
        crashed = runner.listed
        self.on_crash(runner)

        async def unlist() -> None:
            await self._clock.sleep_ms(unlisted_ms)
            if runner.listed is crashed or runner.listed.id != name:
                self.unlist(name)

        async def come_back(after_ms: float) -> None:
            await self._clock.sleep_ms(after_ms)
            runner.restart(new_id)
            del self.by_id[name]
            self.by_id[runner.listed.id] = runner
            self.on_restart(runner)
            self.list(runner.listed.id)

        self._tasks.start(unlist(), f"unlist {name}")
        if back_ms is not None:
            self._tasks.start(come_back(back_ms), f"restart {name}")

    def resize(self, name: str, capacity: Capacity, lag_ms: float = 0.0) -> None:
        """Change a runner's capacity; its entry shows it after a lag."""
        runner = self.by_id[name]
        runner.set_capacity(capacity)

        async def show() -> None:
            await self._clock.sleep_ms(lag_ms)
            runner.listed.capacity = runner.capacity
            await self._list_again(runner)

        self._tasks.start(show(), f"resize {name}")

    async def _list_again(self, runner: TaskRunner) -> None:
        """Write a runner's entry as its next heartbeat does, once it is up."""
        while runner.mode in ENDED_MODES:
            await self._clock.sleep_ms(HEARTBEAT_MS)
        self.list(runner.listed.id, runner.listed.draining)

    def put_odd_entry(self, key: str, value: bytes, mended_ms: float | None = HEARTBEAT_MS) -> None:
        """Write an odd entry under a runner's key or another one.

        :param mended_ms: time until a runner whose key this is renews its entry again, ``None`` if
            it does not.
        """
        self._renewed_ids.discard(key)
        self._store.put(self._topic, key, value)
        self._journal.record("odd_entry_written", key=key)

        async def mend() -> None:
            await self._clock.sleep_ms(mended_ms)
            if key in self.by_id:
                await self._list_again(self.by_id[key])

        if mended_ms is not None and key in self.by_id:
            self._tasks.start(mend(), f"mend {key}")
