"""An instance on the platform: the fleet's node with its callers' HTTP, readiness and metrics."""

import asyncio
import signal

import structlog
from aiohttp import web

from carawayroute.clock import Clock
from carawayroute.fleet.node import FleetNode, FleetSettings
from carawayroute.fleet.pause_guard import PauseMeter
from carawayroute.misc import TaskGroup
from carawayrouted.closing import close_servers
from carawayrouted.fleet_metrics import FleetMetrics
from carawayrouted.output import BoundedOutput
from carawayrouted.platform.callers import CallerApp
from carawayrouted.platform.formats import StoreFormat
from carawayrouted.platform.http import HttpPool
from carawayrouted.platform.runners import RUNNER_CONNECTIONS, HttpRunners
from carawayrouted.platform.settings import PlatformSettings
from carawayrouted.platform.store import HttpStore
from carawayrouted.relay_links import RelayLinks

# The load balancer stops sending connections after two failed readiness checks, 1 s apart.
MIN_DRAIN_MS = 3_300
DRAIN_CHECK_MS = 50
# Reserved for closing servers and connections before the platform sends SIGKILL.
SHUTDOWN_MS = 1_200

log = structlog.get_logger()


class Instance:
    """The servers, clients and node of one process."""

    def __init__(
        self, settings: PlatformSettings, output: BoundedOutput, metrics_port: int
    ) -> None:
        self.settings = settings
        self._metrics_port = metrics_port
        self._output = output
        self.clock = Clock()
        self.metrics = FleetMetrics()
        self._pool = HttpPool()
        self._runner_pool = HttpPool(RUNNER_CONNECTIONS)
        self.direct_store = HttpStore(self._pool, settings.store)
        self.runners_client = HttpRunners(self._runner_pool)
        self.links = RelayLinks(str(settings.peer), self._serve_peer)
        self.node = FleetNode(
            FleetSettings(
                settings.instance,
                str(settings.peer),
                settings.region,
                settings.data_centre,
                settings.max_lease_ms,
                settings.stop_timeout_ms,
                settings.state_retention_ms,
                settings.cores,
                settings.link_mbps,
                settings.seeds,
                settings.runner_heartbeat_ms,
            ),
            self.clock,
            self.direct_store,
            self.links,
            self.runners_client,
            StoreFormat(),
        )
        self._pauses = PauseMeter(self.clock)
        self.callers = CallerApp(
            self.node.service,
            lambda: self.node.configuration,
            self.node.configuration_is_current,
            self.metrics.count_call,
            self._pauses.recent_ms,
        )
        self._server_runners: list[web.ServerRunner] = []
        self._tasks = TaskGroup()
        self._add_gauges()

    def _add_gauges(self) -> None:
        gauge = self.metrics.gauge
        node = self.node
        gauge("planner_term", "Term that this instance plans in, or 0.", node.planner_term)
        gauge("store_calls", "Calls to the platform's store.", lambda: self.direct_store.calls)
        gauge("store_calls_relayed", "Calls made by peers.", lambda: node.store.relayed_calls)
        gauge("reads_served", "Reads answered for peers.", lambda: node.read_server.served)
        gauge("reads_by_peers", "Reads answered by peers.", lambda: node.shared_reader.peer_reads)
        gauge("runner_looks", "Looks at runners.", lambda: self.runners_client.polls)
        gauge(
            "runner_entries_unusable",
            "Entries in the list of runners that cannot be used, at the planner.",
            node.unusable_runner_entries,
        )
        gauge("jobs_open", "Jobs that have not ended.", lambda: len(node.job_table.open_by_id))
        gauge("jobs_lag_ms", "Age of the state of jobs.", node.jobs_follower.lag_ms)
        gauge(
            "jobs_behind_records",
            "Records of the jobs topic that are known to exist and have not been read.",
            lambda: node.jobs_follower.behind_records,
        )
        gauge(
            "term_unconfirmed_ms",
            "Time since the term of the planner here was last confirmed, 0 without one.",
            lambda: node.leadership.unconfirmed_ms() if node.leadership.term else 0,
        )
        gauge("log_lines", "Log lines written.", lambda: self._output.lines)
        gauge("log_lines_dropped", "Log lines dropped.", lambda: self._output.dropped)
        gauge(
            "configuration_version",
            "Version of the configuration in force.",
            lambda: node.configuration.version if node.configuration else 0,
        )
        self.metrics.counts(
            "reads_not_shared",
            "Reads made from the store because a peer did not serve them.",
            "reason",
            lambda: node.shared_reader.fallbacks_by_reason,
        )
        self.metrics.counts(
            "records_unapplied",
            "Records of the jobs topic that could not be read or applied.",
            "kind",
            node.unapplied_records,
        )
        self.metrics.counts(
            "records_not_handled",
            "Records that the handler of their topic failed on.",
            "topic",
            node.unhandled_records,
        )
        self.metrics.counts(
            "background_failures",
            "Unexpected exceptions in background tasks, which go on.",
            "part",
            self._background_failures,
        )
        self.metrics.counts(
            "runs_given_up",
            "Runs that this term's planner ended without a reported end.",
            "evidence",
            lambda: node.planner.given_up_by_evidence if node.planner else {},
        )
        self.metrics.counts(
            "runs_withdrawn",
            "Runs that this term's planner stopped, or ended before they were started.",
            "reason",
            lambda: node.planner.withdrawn_by_reason if node.planner else {},
        )
        self.metrics.counts(
            "runs_inherited",
            "Runs of this term's planner and the last one whose placement was not stored at first.",
            "how",
            lambda: (
                {
                    "started": node.planner.unrecorded_starts.started,
                    "adopted": node.planner.inherited_starts.found,
                }
                if node.planner
                else {}
            ),
        )
        gauge(
            "longest_standing_ms",
            "Time for which the first of the jobs of which nothing runs has stood still.",
            lambda: (node.planner.standing.longest_ms(self.clock.now_ms()) if node.planner else 0),
        )
        gauge(
            "pauses",
            "Pauses of the process in this term, after which the planner confirmed its term.",
            lambda: node.planner.pause_guard.pauses if node.planner else 0,
        )
        self.metrics.counts(
            "ends_unmatched",
            "Ends reported in this term that matched no known run.",
            "outcome",
            lambda: node.planner.unmatched_by_outcome if node.planner else {},
        )
        self.metrics.counts(
            "runners_replaced",
            "Runners at whose address another process answered this term's planner.",
            "runner",
            lambda: node.planner.replacements_by_runner if node.planner else {},
        )
        self.metrics.counts(
            "runners_crashed",
            "Runners whose processes ended unannounced in this term.",
            "evidence",
            lambda: node.planner.crashes.crashes_by_evidence if node.planner else {},
        )
        gauge(
            "tasks_given_up",
            "Tasks given up in this term because runners crashed under them.",
            lambda: node.planner.crashes.given_up if node.planner else 0,
        )

        self.metrics.counts_by_labels(
            "job_lookups",
            "Lookups of jobs that were not known at first.",
            ("outcome", "evidence"),
            lambda: node.service.lookups_by_evidence,
        )
        self.metrics.counts(
            "old_states_told",
            "States of open jobs that were told although they could not be refreshed.",
            "age",
            lambda: node.service.old_states_by_age,
        )
        self.metrics.counts(
            "state_lookups",
            "Lookups of open jobs whose known state was too old.",
            "evidence",
            lambda: node.service.state_lookups_by_evidence,
        )
        self.metrics.counts(
            "store_received_bytes",
            "Bytes received from the store, including those of incomplete answers.",
            "kind",
            lambda: self.direct_store.bytes_by_kind,
        )
        self.metrics.counts_by_labels(
            "store_calls_unanswered",
            "Calls to the store without a complete answer.",
            ("kind", "cause"),
            lambda: self.direct_store.unanswered_by_kind,
        )

    def _background_failures(self) -> dict[str, int]:
        peers = self._tasks.failures + self.links.failed_calls
        return {**self.node.background_failures(), "peers": peers}

    async def _serve_peer(self, message: bytes) -> bytes:
        return await self.node.serve_peer(message)

    async def _ready(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=503 if self.node.not_ready() else 200)

    async def _serve(self, handler, host: str, port: int) -> None:
        server = web.Server(handler, access_log=None, handler_cancellation=False)
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, host, port, backlog=1024).start()
        self._server_runners.append(runner)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        settings = self.settings
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        log.info("started", data_centre=settings.data_centre, region=settings.region)
        self.node.start()
        self._tasks.keep_running(self._pauses.run, "pauses")
        links = self._tasks.keep_running(self.links.run, "peers")
        await self._serve(self.callers.handle, settings.callers.host, settings.callers.port)
        await self._serve(self._ready, settings.readiness.host, settings.readiness.port)
        await self._serve(self.metrics.show, settings.callers.host, self._metrics_port)
        await stop.wait()
        await self._drain()
        links.cancel()
        await asyncio.gather(links, return_exceptions=True)
        log.info("stopped")

    def _reload(self) -> None:
        """Log SIGHUP, which signals a changed settings file; no such change needs a restart."""
        log.info("reload_ignored", instance=self.settings.instance)

    async def _drain(self) -> None:
        """Resign as planner, wait for the load balancer and for open requests, then stop."""
        open_requests = self.callers.open_requests
        log.info("draining", open_requests=len(open_requests))
        earliest_end_ms = self.clock.now_ms() + MIN_DRAIN_MS
        latest_end_ms = self.clock.now_ms() + self.settings.grace_ms - SHUTDOWN_MS
        # Takes several calls to the store, each up to its timeout.
        resigning = asyncio.create_task(self.node.resign(), name="resign")
        while self.clock.now_ms() < earliest_end_ms or open_requests or not resigning.done():
            await self.clock.sleep_ms(DRAIN_CHECK_MS)
            if self.clock.now_ms() > latest_end_ms:
                log.info("drain_timed_out", open_requests=len(open_requests))
                break
        remaining_ms = max(0.0, latest_end_ms - self.clock.now_ms())
        await close_servers(self._server_runners, open_requests, remaining_ms)
        resigning.cancel()
        await asyncio.gather(resigning, return_exceptions=True)
        await self.node.stop()
        await self._pool.close()
        await self._runner_pool.close()
