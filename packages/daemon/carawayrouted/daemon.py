"""The daemon: a node with its HTTP, gRPC and peer transports."""

import asyncio
import signal

import aiohttp
import grpc
from aiohttp import web

from carawayroute.clock import Clock
from carawayroute.misc import TaskGroup
from carawayroute.node import Node, NodeSettings
from carawayroute.planner import PlannerSettings
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_schema import carawayroute_pb2_grpc as pb_grpc
from carawayrouted.adapters import HttpEndpoints, HttpInstanceList, HttpLog, HttpWorkers
from carawayrouted.callers import OUTCOME_NAMES, CallerService
from carawayrouted.closing import close_servers
from carawayrouted.logs import get_logger
from carawayrouted.metrics import Metrics, metrics_app
from carawayrouted.operators import OperatorService
from carawayrouted.peers import PeerLinks
from carawayrouted.settings import Settings

OPERATOR_GRACE_S = 1.0

log = get_logger()


def node_settings(settings: Settings) -> NodeSettings:
    """Return the part of the settings that a node needs."""
    return NodeSettings(
        settings.instance,
        settings.region,
        PlannerSettings(settings.worker_lease_ms, settings.renewals_per_second),
        settings.list_interval_ms,
        settings.term_timeout_ms,
        settings.slot_lease_ms,
        settings.runner_timeout_ms,
        settings.drain_ms,
        settings.retention_ms,
        settings.claim_memory_ms,
        settings.gossip_interval_ms,
        settings.far_gossip_interval_ms,
        settings.urgent_messages_per_second,
    )


class Daemon:
    """One entry instance.

    Serves callers, operators and peers, and plans for its region while it holds the term.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        clock = Clock()
        self.metrics = Metrics(clock)
        self._tasks = TaskGroup()
        self._session = aiohttp.ClientSession()
        self._endpoints = HttpEndpoints()
        self._app_runners: list[web.AppRunner] = []
        self.node = Node(
            node_settings(settings),
            clock,
            HttpLog(self._session, settings.log_url, settings.log_timeout_ms),
            HttpInstanceList(self._session, settings.list_url, settings.log_timeout_ms),
            HttpWorkers(self._session),
            self._endpoints,
        )
        self.callers = CallerService(self.node, self.metrics)
        self.links = PeerLinks(settings, self.node, self.metrics)
        self.node.follower.listeners.append(self._count_job)
        self._add_gauges()

    def _count_job(self, record: pb.LogRecord) -> None:
        """Count a job when its end is first read from the log, not when retention repeats it."""
        if record.WhichOneof("body") != "job_finished" or record.repeated_state:
            return
        job = self.node.jobs.find(record.job_finished.job_id)
        if job is not None:
            outcome = OUTCOME_NAMES[record.job_finished.outcome]
            accepted = job.accepted
            self._count_if_writer(record.writer, accepted, outcome)

    def _count_if_writer(self, writer: str, accepted: pb.JobAccepted, outcome: str) -> None:
        """Count a job if this instance recorded its end, so that one instance counts it."""
        if writer == self.settings.instance:
            counter = self.metrics.jobs
            self.metrics.count_outcome(counter, accepted.team, accepted.kind, outcome)

    def _add_gauges(self) -> None:
        gauge = self.metrics.gauge
        node = self.node
        follower = node.follower
        gauge(
            "queued_requests", "Requests that wait for a slot.", lambda: len(node.dispatcher.queue)
        )
        gauge("running_requests", "Requests on runners' slots.", lambda: node.dispatcher.running)
        gauge("slots_held", "Slots that this entry may use.", node.router.held_count)
        gauge("log_offset", "Next log offset to be read.", lambda: follower.state.offset)
        gauge("log_reachable", "Whether the log answers.", lambda: follower.reachable)
        gauge("log_appends", "Appends sent to the log.", lambda: follower.appends)
        gauge(
            "configuration_version",
            "Version of the configuration in force.",
            lambda: follower.state.change.version,
        )
        gauge("planner_acting", "Whether this instance plans.", lambda: node.planner.is_active)
        gauge(
            "guarantees_reclaimable",
            "Whether every unused guaranteed shape fits (planner only).",
            lambda: node.fleet.reclaimable(),
        )
        gauge(
            "jobs_waiting",
            "Jobs that wait to be placed (planner only).",
            lambda: len(node.planner.wait_reason_by_job),
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, stop.set)
        operators = await self._start_servers()
        self.node.start()
        self._tasks.start(self.links.run(), "peers")
        log.info("started", region=self.settings.region)
        await stop.wait()
        log.info("draining")
        await self.node.drain()
        await operators.stop(OPERATOR_GRACE_S)
        await close_servers(self._app_runners, self.callers.open_requests, 0)
        await self.node.stop()
        await self._tasks.cancel()
        await self._endpoints.close()
        await self._session.close()
        log.info("stopped")

    async def _start_servers(self) -> grpc.aio.Server:
        settings = self.settings
        await self._serve(metrics_app(self.metrics, self.node.not_ready), settings.metrics_port)
        await self._serve(self.callers.app(), settings.caller_port)
        server = grpc.aio.server()
        pb_grpc.add_OperatorsServicer_to_server(OperatorService(self.node), server)
        server.add_insecure_port(f"{settings.host}:{settings.operator_port}")
        await server.start()
        return server

    async def _serve(self, app: web.Application, port: int) -> None:
        # A request continues when its caller disconnects.
        app_runner = web.AppRunner(app, access_log=None, handler_cancellation=False)
        await app_runner.setup()
        await web.TCPSite(app_runner, self.settings.host, port).start()
        self._app_runners.append(app_runner)


async def run_daemon(settings: Settings) -> None:
    """Run a daemon until it receives SIGTERM or SIGINT."""
    await Daemon(settings).run()
