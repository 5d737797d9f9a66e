"""The daemon's parts, put together."""

import asyncio
import signal

import aiohttp
import grpc
from aiohttp import web
from carawayroute.claims import Claims
from carawayroute.clock import Clock
from carawayroute.dispatch import Dispatcher
from carawayroute.exceptions import CarawayrouteError
from carawayroute.gossip import Gossip
from carawayroute.jobs import JobService
from carawayroute.log import LogFollower
from carawayroute.membership import Membership
from carawayroute.misc import TaskGroup
from carawayroute.planner import Planner, PlannerSettings
from carawayroute.quick import QuickService
from carawayroute.routing import SlotLeaseRouter
from carawayroute.terms import TermWatch
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_schema import carawayroute_pb2_grpc as pb_grpc

from carawayrouted.adapters import HttpEndpoints, HttpInstanceList, HttpLog, HttpWorkers
from carawayrouted.callers import OUTCOME_NAMES, CallerService
from carawayrouted.logs import get_logger
from carawayrouted.metrics import Metrics, metrics_app
from carawayrouted.operators import OperatorService
from carawayrouted.peers import PeerLinks
from carawayrouted.settings import Settings

REPEATS_PER_SECOND = 50
UPKEEP_MS = 250
# Time for the balancer and the peers to see that this instance is leaving.
LEAVING_NOTICE_MS = 1_000

log = get_logger()


class Configured:
    """Look up teams and kinds in whatever state the follower holds now."""

    def __init__(self, follower: LogFollower) -> None:
        self._follower = follower

    def team(self, team_id: str) -> pb.Team | None:
        """Return a team."""
        return self._follower.state.team(team_id)

    def kind(self, kind_id: str) -> pb.Kind | None:
        """Return a kind."""
        return self._follower.state.kind(kind_id)


class Daemon:
    """One entry instance: callers, operators, peers, and a region's planner when it is its turn."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = Clock()
        self.metrics = Metrics()
        self.tasks = TaskGroup()
        self.session = aiohttp.ClientSession()
        self.list = HttpInstanceList(self.session, settings.list_url, settings.log_timeout_ms)
        self.membership = Membership(self.clock)
        self.follower = LogFollower(
            HttpLog(self.session, settings.log_url, settings.log_timeout_ms),
            self.clock,
            settings.instance,
            settings.retention_ms,
            settings.claim_memory_ms,
        )
        self.endpoints = HttpEndpoints()
        self.router = SlotLeaseRouter(self.clock, settings.instance, settings.slot_lease_ms)
        self.dispatcher = Dispatcher(
            self.clock,
            self.membership,
            self.router,
            self.endpoints,
            Configured(self.follower),
            settings.runner_timeout_ms,
        )
        self.claims = Claims(self.follower, self.clock, settings.instance, self.tasks)
        self.jobs = JobService(self.follower, self.membership, self.clock)
        self.callers = CallerService(
            self.clock,
            settings.region,
            self.follower,
            QuickService(self.dispatcher, self.claims),
            self.jobs,
            self.metrics,
        )
        watch = TermWatch(self.clock, settings.instance, settings.region, settings.term_timeout_ms)
        self.planner = Planner(
            settings.region,
            settings.instance,
            self.clock,
            self.follower,
            self.membership,
            HttpWorkers(self.session),
            watch,
            PlannerSettings(settings.worker_lease_ms, settings.renewals_per_second),
        )
        self.gossip = Gossip(
            settings.instance,
            settings.region,
            self.follower,
            self.membership,
            watch,
            self.router,
            lambda: len(self.dispatcher.queue),
            self.planner.terms_held,
        )
        self.links = PeerLinks(
            settings,
            self.clock,
            self.gossip,
            self.membership,
            self.metrics,
            self.dispatcher.pump,
            self.dispatcher.on_queue,
        )
        self.follower.listeners.append(self._count_job)
        self._add_gauges()
        self._list_was_read = False
        self._sites: list[web.AppRunner] = []

    def _count_job(self, record: pb.LogRecord) -> None:
        """Count ended jobs and wake the planner for what concerns it."""
        body = record.WhichOneof("body")
        if body == "job_finished" and not record.repeated_state:
            job = self.follower.state.jobs_by_id.get(record.job_finished.job_id)
            if job is not None:
                outcome = OUTCOME_NAMES[record.job_finished.outcome]
                self.metrics.jobs.labels(job.accepted.team, job.accepted.kind, outcome).inc()
        if body in ("job_accepted", "cancel_requested", "configuration", "term"):
            self.planner.wake.set()

    def _add_gauges(self) -> None:
        gauge = self.metrics.gauge
        gauge(
            "queued_requests", "Requests that wait for a slot.", lambda: len(self.dispatcher.queue)
        )
        gauge("running_requests", "Requests on runners' slots.", lambda: self.dispatcher.running)
        gauge("slots_held", "Slots that this entry may use.", self.router.held)
        gauge("log_offset", "Next log offset to be read.", lambda: self.follower.state.offset)
        gauge("log_reachable", "Whether the log answers.", lambda: self.follower.reachable)
        gauge("log_appends", "Appends sent to the log.", lambda: self.follower.appends)
        gauge(
            "configuration_version",
            "Version of the configuration in force.",
            lambda: self.follower.state.change.version,
        )
        gauge("planner_acting", "Whether this instance plans.", lambda: self.planner.acting)
        gauge(
            "guarantees_reclaimable",
            "Whether every unused guaranteed shape fits (planner only).",
            lambda: self.planner.fleet.reclaimable(),
        )
        gauge(
            "jobs_waiting",
            "Jobs that wait to be placed (planner only).",
            lambda: len(self.planner.waits_by_job),
        )

    def not_ready(self) -> str:
        """Return why the balancer should send no callers here, or empty."""
        if self.callers.draining:
            return "draining"
        if not self.follower.caught_up:
            return "the log has not been read"
        if not self._list_was_read:
            return "the instance list has not been read"
        if self.settings.instance in self.follower.state.draining:
            return "drained by an operator"
        return ""

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, stop.set)
        operators = await self._start_servers()
        self._start_tasks()
        log.info("started", region=self.settings.region)
        await stop.wait()
        log.info("draining")
        await self._drain()
        await operators.stop(1.0)
        for site in self._sites:
            await site.cleanup()
        await self.planner.tasks.cancel()
        await self.tasks.cancel()
        await self.endpoints.close()
        await self.session.close()
        log.info("stopped")

    async def _start_servers(self) -> grpc.aio.Server:
        settings = self.settings
        await self._serve(metrics_app(self.metrics, self.not_ready), settings.metrics_port)
        await self._serve(self.callers.app(), settings.caller_port)
        server = grpc.aio.server()
        service = OperatorService(
            settings.instance, self.follower, self.membership, self.jobs, self.planner
        )
        pb_grpc.add_OperatorsServicer_to_server(service, server)
        server.add_insecure_port(f"{settings.host}:{settings.operator_port}")
        await server.start()
        return server

    async def _serve(self, app: web.Application, port: int) -> None:
        # A caller that goes away must not stop a request that is under way.
        site = web.AppRunner(app, access_log=None, handler_cancellation=False)
        await site.setup()
        await web.TCPSite(site, self.settings.host, port).start()
        self._sites.append(site)

    def _start_tasks(self) -> None:
        self.tasks.start(self.follower.run(), "follow log")
        self.tasks.start(self._read_list(), "read list")
        self.tasks.start(self.links.run(), "peers")
        self.tasks.start(self.planner.run(), "planner")
        self.tasks.start(self._upkeep(), "upkeep")

    async def _read_list(self) -> None:
        while True:
            try:
                self.membership.update(await self.list.read())
                self._list_was_read = True
                self._update_router()
            except CarawayrouteError as error:
                log.debug("list_not_read", error=str(error))
            await self.clock.sleep_ms(self.settings.list_interval_ms)

    def _update_router(self) -> None:
        """Share the slots of the region's runners, or of all when the region has none left."""
        region = self.settings.region
        runners = self.membership.live("runner", region) or self.membership.live("runner")
        entries = [entry.id for entry in self.membership.live("entry", region)]
        self.router.update(runners, entries)
        self.dispatcher.pump()

    async def _upkeep(self) -> None:
        """Do what is due now and then, and keep live records on the log."""
        repeating = False
        while True:
            self.router.expire()
            self.dispatcher.pump()
            if self._is_keeper() and not repeating:
                repeating = True
                self.tasks.start(
                    self.follower.repeat_live_records(REPEATS_PER_SECOND, self._is_keeper),
                    "repeat live records",
                )
            await self.clock.sleep_ms(UPKEEP_MS)

    def _is_keeper(self) -> bool:
        """Return whether this instance appends live records again: one of the planners does."""
        regions = sorted(self.follower.state.terms_by_region)
        return self.planner.acting and bool(regions) and regions[0] == self.planner.region

    async def _drain(self) -> None:
        """Leave without cutting off a request."""
        self.callers.draining = True
        self.gossip.is_leaving = True
        self.membership.observe_leaving(self.settings.instance)
        await self.planner.drain()
        await self.clock.sleep_ms(LEAVING_NOTICE_MS)
        deadline_ms = self.clock.now_ms() + self.settings.drain_ms
        while self.callers.open_requests and self.clock.now_ms() < deadline_ms:
            await self.clock.sleep_ms(20)


async def run_daemon(settings: Settings) -> None:
    """Run a daemon until it is told to stop."""
    await Daemon(settings).run()
