"""An entry instance, without its network transports."""

from carawayroute.claims import ClaimService
from carawayroute.clock import Clock
from carawayroute.dispatch import Dispatcher
from carawayroute.exceptions import CarawayrouteError
from carawayroute.gossip import Gossip
from carawayroute.jobs import JobService
from carawayroute.log import LogFollower
from carawayroute.membership import Membership
from carawayroute.misc import TaskGroup, rendezvous
from carawayroute.pacing import Pacer
from carawayroute.placement import Fleet
from carawayroute.planner import Planner, PlannerSettings
from carawayroute.platform import Endpoints, InstanceList, Log, Workers
from carawayroute.quick import QuickService
from carawayroute.routing import SlotLeaseRouter
from carawayroute.terms import LeaderElection
from carawayroute.types import Instance
from carawayroute_schema import carawayroute_pb2 as pb

REAPPENDS_PER_SECOND = 50
MAINTENANCE_INTERVAL_MS = 250
ORPHAN_CHECK_INTERVAL_MS = 10_000
# Time for the load balancer and the peers to notice that this instance is leaving.
LEAVING_NOTICE_MS = 1_000
# Types of records that can change the plan.
PLANNING_RECORD_TYPES = ("job_accepted", "cancel_requested", "configuration", "term", "drain")


class NodeSettings:
    """Settings of a node; durations in ms."""

    __slots__ = (
        "claim_memory_ms",
        "drain_ms",
        "far_gossip_interval_ms",
        "gossip_interval_ms",
        "instance",
        "list_interval_ms",
        "planner",
        "region",
        "retention_ms",
        "runner_timeout_ms",
        "slot_lease_ms",
        "term_timeout_ms",
        "urgent_messages_per_second",
    )

    def __init__(
        self,
        instance: str,
        region: str,
        planner: PlannerSettings | None = None,
        list_interval_ms: float = 1_000,
        term_timeout_ms: float = 4_000,
        slot_lease_ms: float = 3_000,
        runner_timeout_ms: float = 10_000,
        drain_ms: float = 30_000,
        retention_ms: int = 600_000,
        claim_memory_ms: int = 300_000,
        gossip_interval_ms: float = 1_000,
        far_gossip_interval_ms: float = 2_000,
        urgent_messages_per_second: float = 10,
    ) -> None:
        self.instance = instance
        self.region = region
        self.planner = planner or PlannerSettings()
        self.list_interval_ms = list_interval_ms
        self.term_timeout_ms = term_timeout_ms
        self.slot_lease_ms = slot_lease_ms
        self.runner_timeout_ms = runner_timeout_ms
        self.drain_ms = drain_ms
        self.retention_ms = retention_ms
        self.claim_memory_ms = claim_memory_ms
        self.gossip_interval_ms = gossip_interval_ms
        self.far_gossip_interval_ms = far_gossip_interval_ms
        self.urgent_messages_per_second = urgent_messages_per_second


class _ConfigurationView:
    """Look up teams and kinds in the follower's current state, which can be replaced."""

    def __init__(self, follower: LogFollower) -> None:
        self._follower = follower

    def team(self, team_id: str) -> pb.Team | None:
        """Return a team of the configuration in force."""
        return self._follower.state.team(team_id)

    def kind(self, kind_id: str) -> pb.Kind | None:
        """Return a kind of the configuration in force."""
        return self._follower.state.kind(kind_id)


class Node:
    """Serve quick requests and jobs, and plan the region while holding its leadership term.

    The embedding program calls `start`, carries the messages of `gossip` to the other nodes, and
    calls `drain` and then `stop` to shut down.

    :ivar open_requests: number of requests in progress, maintained by the embedding program.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        log: Log,
        instances: InstanceList,
        workers: Workers,
        endpoints: Endpoints,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.tasks = TaskGroup()
        self.open_requests = 0
        self.draining = False
        self.instance_list_read = False
        self._instances = instances
        self.membership = Membership(clock)
        self.follower = LogFollower(
            log, clock, settings.instance, settings.retention_ms, settings.claim_memory_ms
        )
        self.router = SlotLeaseRouter(clock, settings.instance, settings.slot_lease_ms)
        self.dispatcher = Dispatcher(
            clock,
            self.membership,
            self.router,
            endpoints,
            _ConfigurationView(self.follower),
            settings.runner_timeout_ms,
        )
        self.claims = ClaimService(self.follower, clock, settings.instance, self.tasks)
        self.quick = QuickService(self.dispatcher, self.claims)
        self.jobs = JobService(self.follower, self.membership, clock)
        election = LeaderElection(
            clock, settings.instance, settings.region, settings.term_timeout_ms
        )
        self.planner = Planner(
            settings.region,
            settings.instance,
            clock,
            self.follower,
            self.membership,
            workers,
            election,
            settings.planner,
        )
        self.gossip = Gossip(
            settings.instance,
            settings.region,
            self.follower,
            self.membership,
            election,
            self.dispatcher,
            self.router,
            self.planner.terms_held,
        )
        self.pacer = Pacer(
            clock,
            self.dispatcher,
            self.router,
            settings.gossip_interval_ms,
            settings.far_gossip_interval_ms,
            settings.urgent_messages_per_second,
        )
        self.follower.listeners.append(self._wake_planner)

    def _wake_planner(self, record: pb.LogRecord) -> None:
        if record.WhichOneof("body") in PLANNING_RECORD_TYPES:
            self.planner.mark_changed()

    @property
    def fleet(self) -> Fleet:
        """Return the planner's view of the region's workers."""
        return self.planner.fleet

    def not_ready(self) -> str:
        """Return the reason why the load balancer should not send requests here, or empty."""
        if self.draining:
            return "draining"
        if not self.follower.caught_up:
            return "the log has not been read"
        if not self.instance_list_read:
            return "the instance list has not been read"
        if self.settings.instance in self.follower.state.draining:
            return "drained by an operator"
        return ""

    def start(self) -> None:
        """Start the background tasks."""
        self.tasks.start(self.follower.run(), "follow log")
        self.tasks.start(self._read_list(), "read list")
        self.tasks.start(self.planner.run(), "planner")
        self.tasks.start(self._run_maintenance(), "upkeep")
        self.tasks.start(self.pacer.run(), "pace messages")
        self.tasks.start(
            self.follower.reappend_live_records(REAPPENDS_PER_SECOND, self._maintenance_rank),
            "repeat records",
        )

    async def _read_list(self) -> None:
        last: list[Instance] = []
        while True:
            try:
                listed = await self._instances.read()
            except CarawayrouteError:
                # The previous list and the observed departures stay in use.
                listed = last
            else:
                self.instance_list_read = True
            if listed is not last:
                last = listed
                self.membership.update(listed)
            self._update_router()
            await self.clock.sleep_ms(self.settings.list_interval_ms)

    def _update_router(self) -> None:
        """Route to the runners of the region, or to those of all regions if it has none."""
        region = self.settings.region
        runners = self.membership.live("runner", region) or self.membership.live("runner")
        entries = [entry.id for entry in self.membership.live("entry", region)]
        self.router.update(runners, entries)
        self.dispatcher.dispatch_queued()

    async def _run_maintenance(self) -> None:
        """Expire slot leases, dispatch queued requests and close orphaned claims, periodically."""
        next_orphan_check_ms = self.clock.now_ms() + ORPHAN_CHECK_INTERVAL_MS
        while True:
            self.router.expire()
            self.dispatcher.dispatch_queued()
            if self.clock.now_ms() >= next_orphan_check_ms and self._maintenance_rank() == 0:
                next_orphan_check_ms = self.clock.now_ms() + ORPHAN_CHECK_INTERVAL_MS
                self.claims.close_orphans(self.settings.claim_memory_ms)
            await self.clock.sleep_ms(MAINTENANCE_INTERVAL_MS)

    def _maintenance_rank(self) -> int:
        """Return this instance's rank for maintenance of the log; rank 0 normally does it."""
        entries = [entry.id for entry in self.membership.live("entry")]
        order = rendezvous("keeper", entries)
        instance = self.settings.instance
        return order.index(instance) if instance in order else len(order)

    async def drain(self) -> None:
        """Announce the departure and wait for open requests to end, up to ``drain_ms``."""
        self.draining = True
        self.gossip.is_leaving = True
        self.membership.observe_leaving(self.settings.instance)
        await self.planner.drain()
        await self.clock.sleep_ms(LEAVING_NOTICE_MS)
        deadline_ms = self.clock.now_ms() + self.settings.drain_ms
        while self._has_work() and self.clock.now_ms() < deadline_ms:
            await self.clock.sleep_ms(20)

    def _has_work(self) -> bool:
        return self.open_requests > 0 or self.claims.unrecorded_outcomes > 0

    async def stop(self) -> None:
        """Cancel all background tasks."""
        await self.planner.tasks.cancel()
        await self.tasks.cancel()
