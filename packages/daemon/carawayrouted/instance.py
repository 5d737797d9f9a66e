"""An instance on the platform: callers, state, and the planner while it is this one's turn."""

import asyncio
import signal
import time
from contextlib import suppress

import structlog
from aiohttp import web
from google.protobuf.message import DecodeError

from carawayroute.clock import Clock
from carawayroute.fleet.admission import Admission
from carawayroute.fleet.book import PROGRESS_KEY, JobBook, RecordError
from carawayroute.fleet.entry import EntryService
from carawayroute.fleet.exceptions import StoreError
from carawayroute.fleet.follower import TopicFollower
from carawayroute.fleet.leadership import Leadership
from carawayroute.fleet.planner import Planner, PlannerSettings
from carawayroute.fleet.ports import KeyedRecord
from carawayroute.fleet.relay import RelayedStore
from carawayroute.fleet.types import Configuration
from carawayroute.fleet.writer import LogWriter
from carawayroute.misc import TaskGroup
from carawayroute_schema import records_pb2 as pb
from carawayrouted.fleet_metrics import FleetMetrics
from carawayrouted.output import BoundedOutput
from carawayrouted.platform import words
from carawayrouted.platform.callers import CallerApp
from carawayrouted.platform.configuration import ConfigurationFormatError, decode_configuration
from carawayrouted.platform.http import HttpPool
from carawayrouted.platform.runners import HttpRunners, RunnerEntryError, decode_runner
from carawayrouted.platform.settings import PlatformSettings
from carawayrouted.platform.store import HttpStore
from carawayrouted.relay_links import RelayLinks

JOBS_TOPIC = "keyed.jobs"
MEMBER_KEY = "m/"
ANNOUNCE_RETRY_MS = 1_000
# Least time between two reads of the jobs by an instance that does not plan.
FOLLOW_PACE_MS = 120
# A lease that outlasts a planner's replacement several times, within what runners grant.
LEASE_MS = 8_000
METRICS_PORT = 9464
# The store must have answered this recently for an instance to ask for new connections.
READY_LAG_MS = 1_800
# The balancer needs two failed looks, a second apart, to send no new connections.
DRAIN_MS = 3_300
DRAIN_CHECK_MS = 50

log = structlog.get_logger()


class Instance:
    """Everything that runs in one process."""

    def __init__(self, settings: PlatformSettings, output: BoundedOutput) -> None:
        self.settings = settings
        self._output = output
        self.clock = Clock()
        self.metrics = FleetMetrics()
        self._pool = HttpPool()
        self._runner_pool = HttpPool()
        self.direct_store = HttpStore(self._pool, settings.store)
        self.links = RelayLinks(str(settings.peer), self._serve_peer)
        self.store = RelayedStore(self.direct_store, self.links, self.clock, str(settings.peer))
        self.orders = HttpRunners(self._runner_pool)
        self.book = JobBook()
        self.configuration: Configuration | None = None
        self._tasks = TaskGroup()
        self._planner: Planner | None = None
        self._planner_task: asyncio.Task | None = None
        boot = f"{settings.instance}.{time.time_ns() // 1_000_000}"
        self.leadership = Leadership(self.store, self.clock, boot, str(settings.peer))
        self.jobs_follower = TopicFollower(
            self.store, self.clock, JOBS_TOPIC, self._apply_job, pace_ms=FOLLOW_PACE_MS
        )
        self.config_follower = TopicFollower(
            self.store, self.clock, words.OPERATOR_TOPIC, self._apply_operator
        )
        self.writer = LogWriter(self.store, self.clock, JOBS_TOPIC, boot)
        self.admission = Admission(self.book)
        self.service = EntryService(
            settings.instance,
            self.clock,
            self.book,
            self.jobs_follower,
            self.writer,
            self.admission,
            self._job_written,
        )
        self.callers = CallerApp(self.service, lambda: self.configuration, self._count)
        self._address_by_member: dict[str, str] = {}
        self._draining = False
        self._sites: list[web.ServerRunner] = []
        self._add_gauges()

    def _add_gauges(self) -> None:
        gauge = self.metrics.gauge
        gauge("planner_term", "Term that this instance plans in, or 0.", self._planner_term)
        gauge("store_calls", "Calls to the platform's store.", lambda: self.direct_store.calls)
        gauge("store_calls_relayed", "Calls made by peers.", lambda: self.store.relayed)
        gauge("runner_looks", "Looks at runners.", lambda: self.orders.looks)
        gauge("jobs_open", "Jobs that have not ended.", lambda: len(self.book.open_by_id))
        gauge("jobs_lag_ms", "Age of the state of jobs.", self.jobs_follower.lag_ms)
        gauge("log_lines", "Log lines written.", lambda: self._output.lines)
        gauge("log_lines_dropped", "Log lines dropped.", lambda: self._output.dropped)
        gauge(
            "configuration_version",
            "Version of the configuration in force.",
            lambda: self.configuration.version if self.configuration else 0,
        )

    async def _serve_peer(self, message: bytes) -> bytes:
        return await self.store.serve(message)

    def _planner_term(self) -> int:
        return self._planner.term if self._planner else 0

    def _count(self, method: str, status: int) -> None:
        self.metrics.requests.labels(method, str(status)).inc()

    # ------------------------------------------------------------------ followed state

    def _apply_operator(self, record: KeyedRecord) -> None:
        if record.key != words.CONFIGURATION_KEY or not record.value:
            return
        try:
            configuration = decode_configuration(record.value)
        except ConfigurationFormatError as error:
            log.warning("configuration_unreadable", offset=record.offset, error=str(error))
            return
        self._adopt_configuration(configuration, "store")

    def _adopt_configuration(self, configuration: Configuration, source: str) -> None:
        """Put a configuration in force unless a newer one is."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        log.info(
            "configuration_in_force",
            version=configuration.version,
            before=current.version if current else 0,
            queues=len(configuration.queues_by_name),
            teams=len(configuration.teams_by_name),
            source=source,
        )
        if self._planner is not None:
            self._planner.changed()

    def _apply_member(self, record: KeyedRecord) -> None:
        """Learn the address of a peer."""
        try:
            member = pb.Member.FromString(record.value)
        except DecodeError as error:
            log.warning("record_unreadable", key=record.key, error=str(error))
            return
        name = record.key[len(MEMBER_KEY) :]
        before = self._address_by_member.pop(name, None)
        if before is not None:
            self.store.addresses.discard(before)
        if record.value:
            self._address_by_member[name] = member.address
            self.store.addresses.add(member.address)

    async def _announce(self) -> None:
        """Tell the other instances how to reach this one."""
        settings = self.settings
        member = pb.Member(
            instance=settings.instance,
            address=str(settings.peer),
            region=settings.region,
            data_centre=settings.data_centre,
            cores=settings.cores,
            link_mbps=settings.link_mbps,
        )
        records = [(MEMBER_KEY + settings.instance, member.SerializeToString())]
        while True:
            try:
                await self.writer.write(records)
                return
            except StoreError as error:
                log.warning("announcement_failed", error=str(error))
                await self.clock.sleep_ms(ANNOUNCE_RETRY_MS)

    def _apply_job(self, record: KeyedRecord) -> None:
        if record.key.startswith(MEMBER_KEY):
            self._apply_member(record)
            return
        if self._planner is not None and record.key.startswith(PROGRESS_KEY):
            progress = pb.Progress.FromString(record.value)
            if progress.term == self._planner.term:
                # The planner's own state is ahead of what it put on record.
                return
        try:
            self.book.apply(record.offset, record.key, record.value, self.clock.now_ms())
        except RecordError as error:
            log.warning("record_unreadable", key=record.key, error=str(error))
        if self._planner is not None:
            self._planner.changed()

    def _job_written(self) -> None:
        if self._planner is not None:
            self.jobs_follower.hurry()

    # ------------------------------------------------------------------ planner

    def _runners_follower(self, planner: Planner) -> TopicFollower:
        def apply(record: KeyedRecord) -> None:
            if not record.value:
                planner.remove_runner(record.key)
                return
            try:
                planner.set_runner(decode_runner(record.key, record.value))
            except RunnerEntryError as error:
                log.warning("runner_entry_unusable", runner=record.key, error=str(error))

        return TopicFollower(
            self.store,
            self.clock,
            words.RUNNERS_TOPIC,
            apply,
            planner.keep_runners,
            pace_ms=FOLLOW_PACE_MS,
        )

    async def _plan_while_leading(self) -> None:
        """Run a planner whenever this instance holds the term."""
        while True:
            self.leadership.changed.clear()
            term = self.leadership.term
            if self._planner is not None and self._planner.term != term:
                await self._stop_planner()
            if term and self._planner is None:
                self._start_planner(term)
            await self.leadership.changed.wait()

    def _start_planner(self, term: int) -> None:
        settings = PlannerSettings(
            min(LEASE_MS, self.settings.most_lease_ms),
            self.settings.most_lease_ms,
            self.settings.stop_ms,
        )
        self.jobs_follower.set_pace(0.0)
        self._planner = Planner(
            term,
            settings,
            self.clock,
            self.store,
            self.orders,
            self.book,
            self.jobs_follower,
            lambda: self.configuration,
            self._runners_follower,
            self.leadership.lost,
        )
        self._planner_task = self._tasks.start(self._planner.run(), f"planner {term}")
        log.info("planner_started", term=term)

    async def _stop_planner(self) -> None:
        planner, task = self._planner, self._planner_task
        if planner is None or task is None:
            return
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        self._planner = None
        self._planner_task = None
        self.jobs_follower.set_pace(FOLLOW_PACE_MS)
        # What was decided and not put on record is forgotten.
        self.book.reset()
        self.jobs_follower.reload()
        log.info("planner_stopped", term=planner.term)

    # ------------------------------------------------------------------ process

    async def _ready(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=503 if self.not_ready() else 200)

    def not_ready(self) -> str:
        """Return why the instance asks for no new connections, or an empty text."""
        if self._draining:
            return "draining"
        if self.configuration is None:
            return "no configuration"
        if not self.jobs_follower.loaded.is_set():
            return "no state"
        if self.jobs_follower.lag_ms() > READY_LAG_MS:
            return "the store does not answer"
        return ""

    async def _serve(self, handler, host: str, port: int) -> None:
        server = web.Server(handler, access_log=None, handler_cancellation=False)
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, host, port, backlog=1024).start()
        self._sites.append(runner)

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        settings = self.settings
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        log.info("started", data_centre=settings.data_centre, region=settings.region)
        for work, name in (
            (self.config_follower.run(), "follow configuration"),
            (self.jobs_follower.run(), "follow jobs"),
            (self.leadership.follower.run(), "follow terms"),
            (self.leadership.run(), "leadership"),
            (self.writer.run(), "writer"),
            (self.links.run(), "peers"),
            (self._announce(), "announce"),
            (self._plan_while_leading(), "planner"),
        ):
            self._tasks.start(work, name)
        await self._serve(self.callers.handle, settings.callers.host, settings.callers.port)
        await self._serve(self._ready, settings.readiness.host, settings.readiness.port)
        await self._serve(self.metrics.show, settings.callers.host, METRICS_PORT)
        await stop.wait()
        await self._drain()

    def _reload(self) -> None:
        """Note that the settings file changed; nothing that can change needs a restart."""
        log.info("reloaded", instance=self.settings.instance)

    async def _drain(self) -> None:
        """Let the balancer look away, hand the term over, and answer what was asked."""
        self._draining = True
        log.info("draining", open_requests=self.callers.open_requests)
        until_ms = self.clock.now_ms() + DRAIN_MS
        await self.leadership.resign()
        while self.clock.now_ms() < until_ms or self.callers.open_requests:
            await self.clock.sleep_ms(DRAIN_CHECK_MS)
            if self.clock.now_ms() > until_ms + self.settings.grace_ms - DRAIN_MS - 700:
                break
        for site in self._sites:
            await site.cleanup()
        await self._tasks.cancel()
        await self._pool.close()
        await self._runner_pool.close()
        log.info("stopped")
