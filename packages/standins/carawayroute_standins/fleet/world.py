"""Runs a fleet in one event loop: instances, the emulated store and runners, with faults."""

import asyncio
from collections.abc import Collection

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
from carawayroute_standins.fleet.pool import RunnerPool
from carawayroute_standins.fleet.taskrunner import (
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


class FleetWorld:
    """Instances named n1, n2 and so on, and runners named w1, w2 and so on.

    :param formats: format of the configuration and the runners in the store.
    :param list_runner: encodes a runner's listing in that format.
    :param region_by_instance: regions of the instances that are not in the store's region.
    :param data_centre_by_instance: data centres of instances, by default one for each region.
    :param guarding: whether runners refuse starts that exceed their capacity.
    :param max_lease_ms: longest lease that runners grant.
    :ivar network: links to the instances, unlimited by default.
    :ivar unreachable_peers: instances without connections to their peers.
    :ivar cut_between: pairs of groups of instances without connections between the groups.
    :ivar pool: the runners, which may crash, change their capacity or find odd entries.
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
        max_lease_ms: int = MAX_LEASE_MS,
    ) -> None:
        self.clock = Clock(wall_offset_ms=1_000_000.0)
        self.journal = Journal(self.clock)
        self.network = Network(self.clock, STORE_REGION)
        self.network.region_by_instance.update(region_by_instance or {})
        self._data_centre_by_instance = data_centre_by_instance or {}
        self.store = TopicStore(self.clock, self.network)
        self.formats = formats
        self.gangs = GangRegistry()
        self.tasks = TaskGroup()
        self.unreachable_peers: set[str] = set()
        self.cut_between: list[tuple[Collection[str], Collection[str]]] = []
        self.nodes_by_name: dict[str, FleetNode] = {}
        self.runner_clients_by_name: dict[str, InMemoryRunnerClient] = {}
        self.pool = RunnerPool(
            self.store, formats.runners_topic, list_runner, self.clock, self.journal, self.tasks
        )
        self.runners_by_id = self.pool.by_id
        self._guarding = guarding
        self._max_lease_ms = max_lease_ms
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
            max_lease_ms=self._max_lease_ms,
            **{"guarding": self._guarding, **options},
        )
        self.pool.add(runner)
        return runner

    def list(self, name: str, draining: bool = False) -> None:
        """Write a runner's listing to the store."""
        self.pool.list(name, draining)

    def unlist(self, name: str) -> None:
        """Remove a runner's listing from the store."""
        self.pool.unlist(name)

    def silence(self, name: str) -> None:
        """Keep a runner from renewing its listing."""
        self.pool.silence(name)

    def crash_runner(self, name: str, *schedule, **options) -> None:
        """End a runner's process; see `RunnerPool.crash`."""
        self.pool.crash(name, *schedule, **options)

    def resize_runner(self, name: str, capacity: Capacity, lag_ms: float = 0.0) -> None:
        """Change a runner's capacity; its listing shows it after a lag."""
        self.pool.resize(name, capacity, lag_ms)

    def start_instance(self, name: str) -> FleetNode:
        """Start an instance."""
        orders = InMemoryRunnerClient(self.pool.runners, self.clock)
        region = self.network.region(name)
        node = FleetNode(
            FleetSettings(
                name,
                name,
                region,
                self._data_centre_by_instance.get(name, f"{region}-a"),
                self._max_lease_ms,
                STOP_MS,
                seeds=("n1", "n2", "n3"),
            ),
            self.clock,
            self.store.client_for(name),
            InMemoryPeers(
                name,
                self.clock,
                self.network,
                self.nodes_by_name,
                self.unreachable_peers,
                self.cut_between,
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
