"""Runs a fleet in one event loop: instances, the emulated store and runners, with faults."""

import asyncio

from carawayroute.clock import Clock
from carawayroute.fleet.entry import NoSuchJobError
from carawayroute.fleet.node import FleetNode, FleetSettings
from carawayroute.fleet.ports import PlatformFormat
from carawayroute.fleet.types import Capacity, Queue, Team
from carawayroute.misc import TaskGroup
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.fleet.accepted import record_accepted
from carawayroute_standins.fleet.bandwidth import Network
from carawayroute_standins.fleet.peers import InMemoryPeers
from carawayroute_standins.fleet.taskrunner import (
    ENDED_MODES,
    GangRegistry,
    InMemoryRunnerClient,
    TaskRunner,
    make_runner,
)
from carawayroute_standins.fleet.topics import TopicStore
from carawayroute_standins.journal import Journal

STOP_MS = 200
MAX_LEASE_MS = 10_000
POLL_INTERVAL_MS = 20
CALLER_DEADLINE_MS = 3_000
STORE_REGION = "south"
# A runner writes its entry this often.
HEARTBEAT_MS = 1_500
# A process that has crashed is followed by another one after this time, and unlisted after that.
RUNNER_BACK_MS = 3_300
RUNNER_UNLISTED_MS = 3_600


class FleetWorld:
    """Instances named n1, n2 and so on, and runners named w1, w2 and so on.

    :param formats: format of the configuration and the runners in the store.
    :param list_runner: encodes a runner's listing in that format.
    :param region_by_instance: regions of the instances that are not in the store's region.
    :param data_centre_by_instance: data centres of instances, by default one for each region.
    :param guarding: whether runners refuse starts that exceed their capacity.
    :ivar network: links to the instances, unlimited by default.
    :ivar unreachable_peers: instances without connections to their peers.
    :ivar crash_back_ms: time from a crash by a task to the next process at the runner's address.
    :ivar crash_new_ids: whether that process has another id.
    """

    def __init__(
        self,
        formats: PlatformFormat,
        list_runner,
        configuration: bytes,
        instances: int = 3,
        racks: int = 2,
        runners_per_rack: int = 4,
        region_by_instance: dict[str, str] | None = None,
        data_centre_by_instance: dict[str, str] | None = None,
        guarding: bool = True,
    ) -> None:
        self.clock = Clock(wall_offset_ms=1_000_000.0)
        self.journal = Journal(self.clock)
        self.network = Network(self.clock, STORE_REGION)
        self.network.region_by_instance.update(region_by_instance or {})
        self._data_centre_by_instance = data_centre_by_instance or {}
        self.store = TopicStore(self.clock, self.network)
        self.formats = formats
        self._list_runner = list_runner
        self.gangs = GangRegistry()
        self.tasks = TaskGroup()
        self.unreachable_peers: set[str] = set()
        self.nodes_by_name: dict[str, FleetNode] = {}
        self.runner_clients_by_name: dict[str, InMemoryRunnerClient] = {}
        self.runners_by_id: dict[str, TaskRunner] = {}
        self._runners: list[TaskRunner] = []
        self._guarding = guarding
        self.crash_back_ms = RUNNER_BACK_MS
        self.crash_new_ids = True
        self.store.put(formats.configuration_topic, formats.configuration_key, configuration)
        number = 0
        for rack in range(racks):
            for _ in range(runners_per_rack):
                number += 1
                self.add_runner(f"w{number}", f"r1-{rack}")
        for number in range(1, instances + 1):
            self.start_instance(f"n{number}")

    def add_runner(self, name: str, rack: str, **options) -> TaskRunner:
        """Start a runner and add its listing to the store."""
        listed = make_runner(name, rack)
        runner = TaskRunner(
            listed,
            self.clock,
            self.journal,
            self.gangs,
            stop_ms=STOP_MS,
            max_lease_ms=MAX_LEASE_MS,
            **{"guarding": self._guarding, **options},
        )
        self.runners_by_id[name] = runner
        self._runners.append(runner)
        runner.on_deadly_task = self._follow_deadly_task
        self.tasks.start(runner.run(), name)
        self.list(name)
        return runner

    def list(self, name: str, draining: bool = False) -> None:
        """Write a runner's listing to the store."""
        listed = self.runners_by_id[name].listed
        listed.draining = draining
        self.store.put(self.formats.runners_topic, name, self._list_runner(listed))
        self.journal.record("runner_listed", runner=name, draining=draining)

    def unlist(self, name: str) -> None:
        """Remove a runner's listing from the store."""
        self.store.put(self.formats.runners_topic, name, b"")
        self.journal.record("runner_unlisted", runner=name)

    def _follow_deadly_task(self, runner: TaskRunner) -> None:
        name = runner.listed.id
        new_id = self._next_id(name) if self.crash_new_ids else ""
        self._follow_crash(name, self.crash_back_ms, new_id, RUNNER_UNLISTED_MS)

    @staticmethod
    def _next_id(name: str) -> str:
        """Return the id of the process after one: w1-2 after w1, w1-3 after w1-2."""
        base, _, number = name.partition("-")
        return f"{base}-{int(number or 1) + 1}"

    def crash_runner(
        self,
        name: str,
        back_ms: float | None = RUNNER_BACK_MS,
        new_id: str = "",
        unlisted_ms: float = RUNNER_UNLISTED_MS,
    ) -> None:
        """End a runner's process and all tasks on it; another process follows at its address.

        :param back_ms: time from the crash to the next process, which lists itself, ``None`` if
            there is none.
        :param new_id: id of that process, by default the same.
        :param unlisted_ms: time from the crash until the ended process is no longer listed.
        """
        self.runners_by_id[name].crash()
        self._follow_crash(name, back_ms, new_id, unlisted_ms)

    def _follow_crash(
        self, name: str, back_ms: float | None, new_id: str, unlisted_ms: float
    ) -> None:
        runner = self.runners_by_id[name]
        crashed = runner.listed

        async def unlist() -> None:
            await self.clock.sleep_ms(unlisted_ms)
            if runner.listed is crashed or runner.listed.id != name:
                self.unlist(name)

        async def come_back(after_ms: float) -> None:
            await self.clock.sleep_ms(after_ms)
            runner.restart(new_id)
            del self.runners_by_id[name]
            self.runners_by_id[runner.listed.id] = runner
            self.list(runner.listed.id)

        self.tasks.start(unlist(), f"unlist {name}")
        if back_ms is not None:
            self.tasks.start(come_back(back_ms), f"restart {name}")

    def resize_runner(self, name: str, capacity: Capacity, lag_ms: float = 0.0) -> None:
        """Change a runner's capacity; its listing shows it after a lag."""
        runner = self.runners_by_id[name]
        runner.set_capacity(capacity)

        async def show() -> None:
            await self.clock.sleep_ms(lag_ms)
            runner.listed.capacity = capacity.copy()
            if runner.mode not in ENDED_MODES:
                self.list(runner.listed.id, runner.listed.draining)

        self.tasks.start(show(), f"resize {name}")

    def put_odd_entry(self, key: str, value: bytes, mended_ms: float | None = HEARTBEAT_MS) -> None:
        """Write an odd entry among those of the runners, under a runner's key or another one.

        :param mended_ms: time until a runner whose key this is writes its entry again, ``None`` if
            it does not.
        """
        self.store.put(self.formats.runners_topic, key, value)

        async def mend() -> None:
            await self.clock.sleep_ms(mended_ms)
            runner = self.runners_by_id.get(key)
            if runner is not None and runner.mode not in ENDED_MODES:
                self.list(key, runner.listed.draining)

        if mended_ms is not None and key in self.runners_by_id:
            self.tasks.start(mend(), f"mend {key}")

    def start_instance(self, name: str) -> FleetNode:
        """Start an instance."""
        orders = InMemoryRunnerClient(self._runners, self.clock)
        region = self.network.region(name)
        node = FleetNode(
            FleetSettings(
                name,
                name,
                region,
                self._data_centre_by_instance.get(name, f"{region}-a"),
                MAX_LEASE_MS,
                STOP_MS,
                seeds=("n1", "n2", "n3"),
            ),
            self.clock,
            self.store.client_for(name),
            InMemoryPeers(
                name, self.clock, self.network, self.nodes_by_name, self.unreachable_peers
            ),
            orders,
            self.formats,
        )
        self.nodes_by_name[name] = node
        self.runner_clients_by_name[name] = orders
        node.start()
        return node

    async def kill_instance(self, name: str) -> None:
        """Stop an instance without draining it."""
        node = self.nodes_by_name.pop(name)
        await node.stop()

    def planner_name(self) -> str:
        """Return the instance that plans under the highest term, or an empty string."""
        terms = {name: node.planner_term() for name, node in self.nodes_by_name.items()}
        planning = [name for name, term in terms.items() if term]
        return max(planning, key=terms.__getitem__, default="")

    async def wait_until(self, condition, most_ms: float, what: str) -> None:
        """Wait until a condition holds.

        :param most_ms: timeout in ms.
        :param what: description of the condition for the error message.
        :raises AssertionError: the condition did not hold in time.
        """
        until_ms = self.clock.now_ms() + most_ms
        while not condition():
            assert self.clock.now_ms() < until_ms, f"not in {most_ms} ms: {what}"
            await self.clock.sleep_ms(POLL_INTERVAL_MS)

    async def wait_ready(self) -> None:
        """Wait until an instance plans and all instances are ready."""
        await self.wait_until(
            lambda: self.planner_name()
            and all(not node.not_ready() for node in self.nodes_by_name.values()),
            5_000,
            "the fleet is ready",
        )

    async def submit(self, job: pb.Job, queue: Queue, team: Team, at: str = "") -> None:
        """Submit a job to an instance, by default the first by name."""
        name = at or sorted(self.nodes_by_name)[0]
        await self.nodes_by_name[name].service.submit(queue, team, job, CALLER_DEADLINE_MS)
        record_accepted(self.journal, job, name)

    async def state(self, job_id: str, at: str = "") -> str:
        """Return a job's state as reported by an instance, by default the first by name."""
        name = at or sorted(self.nodes_by_name)[0]
        try:
            state = await self.nodes_by_name[name].service.state(job_id, CALLER_DEADLINE_MS)
        except NoSuchJobError:
            self.journal.record("job_denied", job=job_id, entry=name, call="state")
            raise
        self.journal.record("state_told", job=job_id, entry=name, state=state)
        return state

    async def cancel(self, job_id: str, at: str = "") -> None:
        """Cancel a job at an instance, by default the first by name."""
        name = at or sorted(self.nodes_by_name)[0]
        try:
            await self.nodes_by_name[name].service.cancel(job_id, CALLER_DEADLINE_MS)
        except NoSuchJobError:
            self.journal.record("job_denied", job=job_id, entry=name, call="cancel")
            raise
        self.journal.record("job_cancelled", job=job_id, entry=name)

    async def wait_state(self, job_id: str, state: str, most_ms: float) -> None:
        """Wait until a job is in a state.

        :param most_ms: timeout in ms.
        :raises AssertionError: the job did not reach the state in time.
        """
        until_ms = self.clock.now_ms() + most_ms
        while await self.state(job_id) != state:
            now_ms = self.clock.now_ms()
            assert now_ms < until_ms, f"{job_id} is not {state} in {most_ms} ms"
            await self.clock.sleep_ms(POLL_INTERVAL_MS)

    async def close(self) -> None:
        """Stop all instances and runners."""
        await asyncio.gather(*(node.stop() for node in self.nodes_by_name.values()))
        await self.tasks.cancel()
