"""Simulates several nodes and the platform in one process, with fault injection."""

import asyncio
import copy
import json
from collections.abc import Awaitable, Callable

from carawayroute.clock import Clock
from carawayroute.config import read_configuration
from carawayroute.dispatch import QuickRequest
from carawayroute.exceptions import (
    CarawayrouteError,
    EndpointLeavingError,
    EndpointNotReachedError,
    EndpointUncertainError,
    LogUnavailableError,
    LogUncertainError,
    WorkerUnreachableError,
)
from carawayroute.gossip import Gossip
from carawayroute.node import Node, NodeSettings
from carawayroute.publish import publish
from carawayroute.types import Answer, Attempt, FencingToken, Instance
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_standins.instances import InstanceTable
from carawayroute_standins.journal import Journal
from carawayroute_standins.logstore import LogStore
from carawayroute_standins.runner import RunnerModel
from carawayroute_standins.worker import WorkerModel

LOCAL_LATENCY_MS = 1.0
CROSS_REGION_LATENCY_MS = 8.0
PEER_TIMEOUT_MS = 1_500
ORDER_TIMEOUT_MS = 2_000
LOG_TIMEOUT_MS = 1_000
WALL_OFFSET_MS = 1_000_000.0

Action = Callable[[], Awaitable[None] | None]


class Host:
    """A process that can be killed or paused.

    :ivar gate: cleared while the process is paused; its outgoing calls wait for it.
    """

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.alive = True

    @property
    def region(self) -> str:
        """Return the region of the instance."""
        return self.instance.region


class HostClock(Clock):
    """The clock of a process; sleeps do not return while the process is paused."""

    __slots__ = ("_host",)

    def __init__(self, host: Host) -> None:
        super().__init__(WALL_OFFSET_MS)
        self._host = host

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep, and then wait until the process is no longer paused."""
        await super().sleep_ms(duration_ms)
        await self._host.resumed.wait()


class World:
    """The simulated platform, the nodes, and the network between them.

    :ivar steps: the steps reached so far, in order, as ``(at_ms, step, instance)``.
    """

    def __init__(self, log_region: str = "south", retention_ms: int = 600_000) -> None:
        self.clock = Clock(WALL_OFFSET_MS)
        self.log_region = log_region
        self.log = LogStore(self.clock, retention_ms)
        self.instances = InstanceTable(self.clock, lag_ms=1_000)
        self.journal = Journal(self.clock)
        self.workers_by_id: dict[str, WorkerModel] = {}
        self.runners_by_id: dict[str, RunnerModel] = {}
        self.hosts_by_id: dict[str, Host] = {}
        self.nodes_by_id: dict[str, Node] = {}
        self.steps: list[tuple[float, str, str]] = []
        self.cut_regions: set[frozenset[str]] = set()
        self.unreachable_instances: set[str] = set()
        self.silent_runners: set[str] = set()
        self._actions_by_step: dict[str, list[Action]] = {}
        self._settings_by_id: dict[str, NodeSettings] = {}
        self._background: set[asyncio.Task] = set()

    # ------------------------------------------------------------------ building

    def add_worker(self, name: str, region: str, rack: str, accelerators: int = 8) -> None:
        """Add a worker to the platform and the instance list."""
        instance = Instance(name, "worker", region, name, region, rack, accelerators)
        self.workers_by_id[name] = WorkerModel(instance, self.journal, self.clock)
        self.instances.set(instance)

    def add_runner(self, name: str, region: str, slots: int = 8) -> None:
        """Add a runner to the platform and the instance list."""
        instance = Instance(name, "runner", region, name, region, capacity=slots)
        self.runners_by_id[name] = RunnerModel(instance, self.journal, self.clock)
        self.instances.set(instance)

    def add_node(self, settings: NodeSettings) -> Node:
        """Add an entry to the instance list and start its node."""
        name = settings.instance
        instance = Instance(
            name, "entry", settings.region, name, settings.region, peer_address=name
        )
        self.instances.set(instance)
        self._settings_by_id[name] = settings
        return self.start_node(name)

    def start_node(self, name: str) -> Node:
        """Start the node of a listed entry with empty state."""
        settings = self._settings_by_id[name]
        instance = Instance(name, "entry", settings.region, name)
        host = Host(instance)
        node = Node(
            settings,
            HostClock(host),
            WorldLog(self, host),
            WorldInstances(self, host),
            WorldWorkers(self, host),
            WorldEndpoints(self, host),
        )
        self.hosts_by_id[name] = host
        self.nodes_by_id[name] = node
        node.start()
        for peer in self._settings_by_id:
            if peer != name:
                node.tasks.start(self._link(name, peer), f"link {peer}")
                other = self.nodes_by_id[peer]
                if self.hosts_by_id[peer].alive:
                    other.tasks.start(self._link(peer, name), f"link {name}")
        return node

    async def _link(self, name: str, peer: str) -> None:
        """Exchange gossip from one node to another until the peer is restarted."""
        host, node = self.hosts_by_id[name], self.nodes_by_id[name]
        target = self.nodes_by_id[peer]
        while self.nodes_by_id[peer] is target:
            same_region = host.region == self.hosts_by_id[peer].region
            await node.pacer.wait_to_send(peer, same_region)
            await host.resumed.wait()
            request = node.gossip.make_request(peer, same_region).SerializeToString()
            targets = node.membership.link_targets(name, host.region)
            if peer not in [target.id for target in targets]:
                continue
            if not self.can_reach(host, self.hosts_by_id[peer]):
                await node.clock.sleep_ms(PEER_TIMEOUT_MS)
                continue
            reply = await self._exchange(host, peer, target.gossip, request)
            if reply is not None:
                node.gossip.handle_reply(pb.PeerReply.FromString(reply))

    async def _exchange(
        self, host: Host, peer: str, gossip: Gossip, request: bytes
    ) -> bytes | None:
        await self._network_delay(host, self.hosts_by_id[peer].region)
        other = self.hosts_by_id[peer]
        if not other.resumed.is_set() or not self.can_reach(host, other):
            await self.clock.sleep_ms(PEER_TIMEOUT_MS)
            return None
        reply = gossip.handle_request(pb.PeerRequest.FromString(request)).SerializeToString()
        await self._network_delay(other, host.region)
        return reply if self.can_reach(other, host) else None

    # ------------------------------------------------------------------ network

    async def _network_delay(self, host: Host, region: str) -> None:
        await host.resumed.wait()
        if not host.alive:
            # Block forever: calls that a killed process still makes do not reach the network.
            await asyncio.Event().wait()
        far = bool(region) and region != host.region
        await self.clock.sleep_ms(CROSS_REGION_LATENCY_MS if far else LOCAL_LATENCY_MS)

    def can_reach(self, host: Host, other: Host) -> bool:
        """Return whether two processes are alive and their regions are connected."""
        return host.alive and other.alive and not self.is_cut(host.region, other.region)

    def is_cut(self, region: str, other: str) -> bool:
        """Return whether the network between two regions is cut."""
        return frozenset((region, other)) in self.cut_regions

    def cut(self, region: str, other: str) -> None:
        """Cut the network between two regions."""
        self.cut_regions.add(frozenset((region, other)))

    def heal(self) -> None:
        """Reconnect all regions."""
        self.cut_regions.clear()

    # ------------------------------------------------------------------ steps and faults

    def on_step(self, step: str, action: Action) -> None:
        """Run an action the first time that a step is reached on any instance."""
        self._actions_by_step.setdefault(step, []).append(action)

    async def reach_step(self, step: str, instance: str) -> None:
        """Record that a step was reached and run its pending actions."""
        self.steps.append((self.clock.now_ms(), step, instance))
        for action in self._actions_by_step.pop(step, []):
            result = action()
            if result is not None:
                await result

    def start_background(self, work: Awaitable[None]) -> None:
        """Run a coroutine in the background, independently of any node."""
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def kill(self, name: str) -> None:
        """Kill a process without draining it."""
        self.hosts_by_id[name].alive = False
        node = self.nodes_by_id[name]
        self.start_background(node.stop())

    def restart(self, name: str) -> Node:
        """Kill an instance if it is alive, and start it again with empty state."""
        if self.hosts_by_id[name].alive:
            self.kill(name)
        return self.start_node(name)

    def pause(self, name: str, duration_ms: float) -> None:
        """Pause a process for `duration_ms`."""
        host = self.hosts_by_id[name]
        host.resumed.clear()
        self.start_background(self._resume(host, duration_ms))

    async def _resume(self, host: Host, duration_ms: float) -> None:
        await self.clock.sleep_ms(duration_ms)
        host.resumed.set()

    def planner_of(self, region: str) -> str:
        """Return the live instance that plans for a region, or an empty string."""
        for name, node in self.nodes_by_id.items():
            alive = self.hosts_by_id[name].alive
            if alive and node.settings.region == region and node.planner.is_active:
                return name
        return ""

    def live_node(self, region: str = "") -> Node:
        """Return a node that is alive and not paused, of any region by default.

        :raises LookupError: there is none.
        """
        for name, host in self.hosts_by_id.items():
            if host.alive and host.resumed.is_set() and region in ("", host.region):
                return self.nodes_by_id[name]
        raise LookupError("no node is alive")

    async def publish(self, tree: dict, node: Node | None = None) -> None:
        """Publish a configuration based on the version that the node knows.

        :raises CarawayrouteError: as `publish`.
        """
        node = node or self.live_node()
        based_on = node.follower.state.change.version
        await publish(node.follower, read_configuration(tree), based_on, "operator", 60_000)

    async def run_for(self, duration_ms: float) -> None:
        """Advance the simulation by `duration_ms`."""
        await self.clock.sleep_ms(duration_ms)

    async def quick(
        self, name: str, kind: str, team: str, request_id: str, run_ms: int, wait_ms: float
    ) -> dict[str, object]:
        """Send a quick request to an entry and return the result that its caller receives."""
        node, host = self.nodes_by_id[name], self.hosts_by_id[name]
        configured = node.follower.state.kind(kind)
        if not host.alive or configured is None:
            return self._told(request_id, "not_run", b"")
        body = json.dumps({"request": request_id, "run_ms": run_ms}).encode()
        deadline_ms = self.clock.now_ms() + wait_ms
        request = QuickRequest(team, "caller", configured, request_id, body, deadline_ms)
        node.open_requests += 1
        task = node.tasks.start(self._handle(node, host, request), f"quick {request_id}")
        try:
            result = await task
        except asyncio.CancelledError:
            return self._told(request_id, "unknown", b"")
        finally:
            node.open_requests -= 1
        body = result.answer.body if result.answer else b""
        return self._told(request_id, pb.Outcome.Name(result.outcome).lower(), body)

    async def _handle(self, node: Node, host: Host, request: QuickRequest):
        await self.reach_step("received", host.instance.id)
        await host.resumed.wait()
        await self.reach_step("admitted", host.instance.id)
        result = await node.quick.handle(request)
        await self.reach_step("answered", host.instance.id)
        return result

    def _told(self, request_id: str, outcome: str, body: bytes) -> dict[str, object]:
        told = {"request": request_id, "outcome": outcome, "body": body}
        self.journal.record("told", **told)
        return told

    async def submit(self, name: str, job: pb.JobAccepted, timeout_ms: float = 5_000) -> str:
        """Submit a job to an entry and return its id.

        :raises CarawayrouteError: as `JobService.accept`.
        """
        node, host = self.nodes_by_id[name], self.hosts_by_id[name]
        if not host.alive:
            raise LogUnavailableError("the entry is gone")
        accepted = await node.jobs.accept(job, timeout_ms)
        await self.reach_step("accepted", name)
        return accepted.accepted.job_id


class WorldLog:
    """The log as seen from one process."""

    def __init__(self, world: World, host: Host) -> None:
        self._world = world
        self._host = host

    async def _send_request(self) -> None:
        await self._world._network_delay(self._host, self._world.log_region)
        if self._world.is_cut(self._host.region, self._world.log_region):
            await self._world.clock.sleep_ms(LOG_TIMEOUT_MS)
            raise LogUnavailableError("the log's region is cut off")

    async def append(self, data: bytes) -> int:
        """Append a record and return its offset."""
        record = pb.LogRecord.FromString(data)
        body = record.WhichOneof("body")
        await self._world.reach_step(f"{body} sent", self._host.instance.id)
        await self._send_request()
        offset = await self._world.log.append(data)
        await self._world.reach_step(f"{body} written", self._host.instance.id)
        await self._world._network_delay(self._host, self._world.log_region)
        if self._world.is_cut(self._host.region, self._world.log_region):
            raise LogUncertainError("the log's region was cut off")
        return offset

    async def read(self, offset: int, wait_ms: int, limit: int) -> list[pb.OffsetRecord]:
        """Return records from an offset on."""
        await self._send_request()
        records = await self._world.log.read(offset, wait_ms, limit)
        await self._world._network_delay(self._host, self._world.log_region)
        for stored in records:
            body = pb.LogRecord.FromString(stored.data).WhichOneof("body")
            await self._world.reach_step(f"{body} read", self._host.instance.id)
        return records


class WorldInstances:
    """The instance list as seen from one process."""

    def __init__(self, world: World, host: Host) -> None:
        self._world = world
        self._host = host

    async def read(self) -> list[Instance]:
        """Return all instances."""
        await self._world._network_delay(self._host, self._host.region)
        if self._world.instances.down:
            raise CarawayrouteError("the list is down")
        return [copy.copy(instance) for instance in self._world.instances.read()]


class WorldWorkers:
    """The workers as seen from one process."""

    def __init__(self, world: World, host: Host) -> None:
        self._world = world
        self._host = host

    async def _send_request(self, worker: Instance) -> WorkerModel:
        await self._world._network_delay(self._host, worker.region)
        cut = self._world.is_cut(self._host.region, worker.region)
        if cut or worker.id in self._world.unreachable_instances:
            await self._world.clock.sleep_ms(ORDER_TIMEOUT_MS)
            raise WorkerUnreachableError(f"{worker.id} does not answer")
        return self._world.workers_by_id[worker.id]

    async def _receive_response(self, worker: Instance) -> None:
        await self._world._network_delay(self._host, worker.region)
        if worker.id in self._world.unreachable_instances:
            raise WorkerUnreachableError(f"{worker.id} stopped answering")

    async def renew(
        self, worker: Instance, holder: str, token: FencingToken, lease_ms: int
    ) -> list[Attempt]:
        """Acquire or extend a lease and return the worker's attempts."""
        model = await self._send_request(worker)
        attempts = model.renew(holder, token, lease_ms)
        if any(attempt.status == "done" for attempt in attempts):
            await self._world.reach_step("finished", self._host.instance.id)
        await self._receive_response(worker)
        return attempts

    async def reserve(
        self, worker: Instance, holder: str, token: FencingToken, attempt: Attempt
    ) -> None:
        """Reserve accelerators."""
        await self._world.reach_step("planned", self._host.instance.id)
        model = await self._send_request(worker)
        model.reserve(holder, token, copy.copy(attempt))
        await self._world.reach_step("reserved in part", self._host.instance.id)
        await self._receive_response(worker)

    async def start(
        self,
        worker: Instance,
        holder: str,
        token: FencingToken,
        attempt: Attempt,
        job: pb.JobAccepted,
    ) -> None:
        """Start a reserved attempt."""
        await self._world.reach_step("reserved", self._host.instance.id)
        model = await self._send_request(worker)
        model.start(holder, token, attempt.attempt_id, job.payload)
        await self._world.reach_step("started in part", self._host.instance.id)
        await self._receive_response(worker)
        await self._world.reach_step("started", self._host.instance.id)

    async def release(
        self, worker: Instance, holder: str, token: FencingToken, attempt_id: str, checkpoint: bool
    ) -> int:
        """Stop an attempt and return the progress in ms that a checkpoint preserves."""
        await self._world.reach_step("releasing", self._host.instance.id)
        if checkpoint:
            await self._world.reach_step("checkpointing", self._host.instance.id)
        model = await self._send_request(worker)
        kept = model.release(holder, token, attempt_id, checkpoint)
        await self._receive_response(worker)
        if checkpoint:
            await self._world.reach_step("reclaimed", self._host.instance.id)
        return kept


class WorldEndpoints:
    """The runners as seen from one process."""

    def __init__(self, world: World, host: Host) -> None:
        self._world = world
        self._host = host

    async def run(
        self, runner: Instance, attempt_id: str, kind: str, body: bytes, timeout_ms: float
    ) -> Answer:
        """Send a request and return its complete answer.

        :raises EndpointNotReachedError: the request was not sent.
        :raises EndpointLeavingError: the runner is leaving.
        :raises EndpointUncertainError: the request was sent but may or may not have run.
        """
        sent = False

        async def exchange() -> Answer:
            nonlocal sent
            await self._world.reach_step("connecting", self._host.instance.id)
            await self._world._network_delay(self._host, runner.region)
            self._check_connection(runner)
            sent = True
            await self._world.reach_step("sent in part", self._host.instance.id)
            self._check_still_connected(runner)
            if runner.id in self._world.silent_runners:
                await asyncio.Event().wait()
            await self._world.reach_step("sent", self._host.instance.id)
            # Shielded, because a runner continues a request after its sender disconnects.
            model = self._world.runners_by_id[runner.id]
            answer = await asyncio.shield(
                asyncio.ensure_future(self._run(model, attempt_id, kind, body))
            )
            await self._world.reach_step("answer begun", self._host.instance.id)
            if runner.id in self._world.silent_runners:
                await asyncio.Event().wait()
            self._check_still_connected(runner)
            await self._world._network_delay(self._host, runner.region)
            await self._world.reach_step("answer whole", self._host.instance.id)
            return _validated(answer, attempt_id)

        try:
            return await asyncio.wait_for(exchange(), timeout_ms / 1000)
        except TimeoutError:
            if sent:
                raise EndpointUncertainError(f"{runner.id} did not answer") from None
            raise EndpointNotReachedError(f"{runner.id} did not connect") from None

    async def _run(self, model: RunnerModel, attempt_id: str, kind: str, body: bytes):
        self._world.start_background(self._reach_running_step(model))
        return await model.run(attempt_id, kind, body)

    async def _reach_running_step(self, model: RunnerModel) -> None:
        await self._world.clock.sleep_ms(LOCAL_LATENCY_MS)
        await self._world.reach_step("running", self._host.instance.id)

    def _check_connection(self, runner: Instance) -> None:
        cut = self._world.is_cut(self._host.region, runner.region)
        if cut or runner.id in self._world.unreachable_instances:
            raise EndpointNotReachedError(f"{runner.id} cannot be reached")

    def _check_still_connected(self, runner: Instance) -> None:
        cut = self._world.is_cut(self._host.region, runner.region)
        if cut or runner.id in self._world.unreachable_instances:
            raise EndpointUncertainError(f"the connection to {runner.id} was reset")


def _validated(answer, attempt_id: str) -> Answer:
    """Validate an answer with the rules of the HTTP adapter."""
    if answer.status == 503:
        raise EndpointLeavingError("the runner is leaving")
    if answer.attempt_id != attempt_id:
        raise EndpointUncertainError("the answer belongs to another attempt")
    if len(answer.body) != answer.length or answer.status != 200:
        raise EndpointUncertainError("the answer is not whole")
    return Answer(200, answer.body, "application/json")
