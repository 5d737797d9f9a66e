"""One instance of the fleet without its transports: replicated state, entry service and planner."""

import asyncio
from collections import Counter
from collections.abc import Mapping

import structlog
from google.protobuf.message import DecodeError

from carawayroute.clock import Clock
from carawayroute.fleet.admission import AdmissionController
from carawayroute.fleet.entry import EntryService
from carawayroute.fleet.exceptions import FormatError, RecordError, StoreError
from carawayroute.fleet.follower import TopicFollower
from carawayroute.fleet.jobs import (
    CANCEL_KEY,
    JOB_KEY,
    LOST_RUNNERS_KEY,
    PROGRESS_KEY,
    SPEEDS_KEY,
    JobTable,
)
from carawayroute.fleet.leadership import Leadership
from carawayroute.fleet.lease_limits import LeaseLimits
from carawayroute.fleet.lookup import PeerLookup, serve_lookup
from carawayroute.fleet.planner import Planner, PlannerSettings
from carawayroute.fleet.ports import KeyedRecord, PlatformFormat, RunnerClient, Store
from carawayroute.fleet.record_checks import check_member
from carawayroute.fleet.relay import MAX_OFFSET, Peers, RelayedStore
from carawayroute.fleet.runner_list import RunnerList
from carawayroute.fleet.shared_load import SharedLoad
from carawayroute.fleet.shared_reader import ReaderChoice, SharedReader, SharedReadServer
from carawayroute.fleet.term_confirmation import TermConfirmation, serve_confirmation
from carawayroute.fleet.types import Configuration
from carawayroute.fleet.unrecorded import KNOWN_RUNNERS_KEY, known_runners
from carawayroute.fleet.writer import LogWriter
from carawayroute.misc import TaskGroup, new_id
from carawayroute_schema import records_pb2 as pb

JOBS_TOPIC = "keyed.jobs"
MEMBER_KEY = "m/"
# The members again, in a topic that is small enough to be read before the jobs are loaded.
MEMBERS_TOPIC = "keyed.members"
# Kinds of records by the first part of their keys, for counting.
KIND_BY_KEY = {
    JOB_KEY: "job",
    CANCEL_KEY: "cancel",
    PROGRESS_KEY: "progress",
    MEMBER_KEY: "member",
    SPEEDS_KEY: "speeds",
    LOST_RUNNERS_KEY: "lost runners",
    KNOWN_RUNNERS_KEY: "known runners",
}
ANNOUNCE_RETRY_MS = 1_000
# Minimum time between two reads of the jobs topic by an instance that is not the planner. Every
# read is charged for, and a caller's request for a job's state triggers its own read.
STANDBY_READ_INTERVAL_MS = 400
# Minimum time between two reads of the list of runners by the planner.
RUNNERS_READ_INTERVAL_MS = 120
# Several times as long as replacing a planner takes, and within the limit that runners grant.
RUNNER_LEASE_MS = 8_000
# Ended jobs are kept this much longer than callers may query them, as instances' clocks differ.
RETENTION_MARGIN_MS = 60_000
# An instance is not ready if the store has not answered for longer than this.
MAX_READY_LAG_MS = 1_800
# Longest wait that a peer's call may ask for: callers of jobs wait a few seconds.
MAX_PEER_CALL_WAIT_MS = 10_000
# An older configuration does not show that a queue or a key does not exist: the platform requires a
# new one to apply within 2,500 ms.
MAX_CONFIGURATION_AGE_MS = 2_000

# Cores and link speed that a planner of about 200 runners needs: a scheduling pass over 176 runners
# takes 10 to 40 ms on one core, and their reports about 3 Mbit/s (docs/MEASUREMENTS.md).
PLANNER_CORES = 1.0
PLANNER_LINK_MBPS = 100.0
# Election delay of the slowest instance: as long as two claim attempts of the others.
MAX_ELECTION_DELAY_MS = 600.0
# Extra election delay of an instance that is not ready: above those of all others.
NOT_READY_ELECTION_DELAY_MS = 1_000.0

log = structlog.get_logger()


class FleetSettings:
    """Properties of an instance and its deployment.

    :param instance: name of the instance.
    :param address: address at which peers reach the instance.
    :param max_lease_ms: longest lease that runners grant.
    :param stop_ms: longest time that stopping a task takes.
    :param job_retention_ms: how long callers can query the state of an ended job.
    :param cores: processor cores that the instance may use.
    :param link_mbps: network link speed in Mbit/s.
    :param seeds: addresses of some peers, used before any state is read; they may be outdated.
    :param runner_heartbeat_ms: time between two writes of a runner's entry in the platform's list.
    """

    __slots__ = (
        "address",
        "cores",
        "data_centre",
        "instance",
        "link_mbps",
        "job_retention_ms",
        "max_lease_ms",
        "region",
        "runner_heartbeat_ms",
        "seeds",
        "stop_ms",
    )

    def __init__(
        self,
        instance: str,
        address: str,
        region: str,
        data_centre: str,
        max_lease_ms: int,
        stop_ms: int,
        job_retention_ms: int = 120_000,
        cores: float = 1.0,
        link_mbps: float = 1_000.0,
        seeds: tuple[str, ...] = (),
        runner_heartbeat_ms: int = 1_500,
    ) -> None:
        self.instance = instance
        self.address = address
        self.region = region
        self.data_centre = data_centre
        self.max_lease_ms = max_lease_ms
        self.stop_ms = stop_ms
        self.job_retention_ms = job_retention_ms
        self.cores = cores
        self.link_mbps = link_mbps
        self.seeds = seeds
        self.runner_heartbeat_ms = runner_heartbeat_ms


def election_delay_ms(cores: float, link_mbps: float) -> float:
    """Return how long an instance delays its claim of a vacant term.

    Instances with fewer cores or a slower link than a planner needs leave the term to others.

    :param cores: processor cores that the instance may use.
    :param link_mbps: network link speed in Mbit/s.
    """
    shortfall = max(1 - cores / PLANNER_CORES, 1 - link_mbps / PLANNER_LINK_MBPS)
    return MAX_ELECTION_DELAY_MS * min(1.0, max(0.0, shortfall))


class FleetNode:
    """Follow the store, serve callers, and run the planner while this instance holds the term.

    :param store: direct access to the platform's store.
    :param peers: links to the other instances, which relay store calls for each other.
    :param runner_client: sends requests to runners.
    :param formats: decodes the platform's records.
    :ivar unapplied_by_kind: number of records of the jobs topic that could not be applied.
    """

    def __init__(
        self,
        settings: FleetSettings,
        clock: Clock,
        store: Store,
        peers: Peers,
        runner_client: RunnerClient,
        formats: PlatformFormat,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.store = RelayedStore(store, peers, clock, settings.address)
        self.store.addresses.update(settings.seeds)
        self.store.on_recovered = self._retry_store_calls
        self.runner_client = runner_client
        self._formats = formats
        self.job_table = JobTable()
        self.configuration: Configuration | None = None
        self._tasks = TaskGroup()
        self.planner: Planner | None = None
        self.runner_list: RunnerList | None = None
        self._planner_task: asyncio.Task | None = None
        self._address_by_member: dict[str, str] = {}
        self.draining = False
        self._speeds = b""
        self.unapplied_by_kind: Counter[str] = Counter()
        self._lost_runners = b""
        self._known_runners = b""
        process_name = new_id(settings.instance)
        self._limits = LeaseLimits(
            min(RUNNER_LEASE_MS, settings.max_lease_ms), settings.max_lease_ms
        )
        self.leadership = Leadership(
            self.store,
            clock,
            process_name,
            settings.address,
            self._limits,
            self._election_delay_ms,
        )
        self.term_confirmation = TermConfirmation(
            self.leadership, peers, clock, self._other_addresses
        )
        self._own_member = pb.Member(
            instance=settings.instance,
            address=settings.address,
            region=settings.region,
            data_centre=settings.data_centre,
            cores=settings.cores,
            link_mbps=settings.link_mbps,
        )
        choice = ReaderChoice(self._own_member, clock)
        self.shared_load = SharedLoad(
            self.store,
            peers,
            clock,
            choice,
            lambda: self.planner is not None,
            self.leadership.planner_address,
            lambda: self.draining,
        )
        self.shared_reader = SharedReader(
            self.store,
            peers,
            clock,
            choice,
            lambda: self.planner is not None,
            self.leadership.planner_address,
            self.shared_load.newest,
            lambda: self.store.answered_ms,
        )
        self.jobs_follower = TopicFollower(
            self.shared_reader,
            clock,
            JOBS_TOPIC,
            self._apply_job,
            self.job_table.forget_removed,
            read_interval_ms=STANDBY_READ_INTERVAL_MS,
        )
        self.read_server = SharedReadServer(
            self.shared_reader, self.jobs_follower, clock, lambda: self.draining
        )
        self.config_follower = TopicFollower(
            self.store, clock, formats.configuration_topic, self._apply_configuration
        )
        # A job that is stored after its state was deleted would run again.
        self.writer = LogWriter(
            self.store, clock, JOBS_TOPIC, process_name, give_up_ms=settings.job_retention_ms
        )
        self.admission = AdmissionController(
            self.job_table,
            self.leadership.fleet_accelerators,
            self.leadership.harmless_work_of_fleet,
        )
        self.service = EntryService(
            settings.instance,
            clock,
            self.job_table,
            self.jobs_follower,
            self.writer,
            self.admission,
            self._job_written,
            PeerLookup(peers, self.store, clock, settings.address, self.leadership.planner_address),
        )

    def start(self) -> None:
        """Start the background tasks."""
        for work, name in (
            (self.config_follower.run, "follow configuration"),
            (self.jobs_follower.run, "follow jobs"),
            (self.leadership.follower.run, "follow terms"),
            (self.leadership.run, "leadership"),
            (self.term_confirmation.run, "term confirmation"),
            (self.writer.run, "writer"),
            (self._find_members, "members"),
            (self._announce, "announce"),
            (self._plan_while_leading, "planner"),
        ):
            self._tasks.keep_running(work, name)

    async def stop(self) -> None:
        """Cancel the background tasks."""
        await self._tasks.cancel()

    async def resign(self) -> None:
        """Report this instance as not ready and resign the planner's term."""
        self.draining = True
        await self.leadership.resign()

    def not_ready(self) -> str:
        """Return why the instance is not ready for new connections, empty if it is ready."""
        if self.draining:
            return "draining"
        if self.configuration is None:
            return "no configuration"
        if not self.jobs_follower.loaded.is_set():
            return "no state"
        if self.jobs_follower.lag_ms() > MAX_READY_LAG_MS:
            return "the store does not answer"
        return ""

    def configuration_is_current(self) -> bool:
        """Return whether queues and keys that the configuration lacks do not exist."""
        return self.config_follower.lag_ms() <= MAX_CONFIGURATION_AGE_MS

    def _election_delay_ms(self) -> float:
        delay_ms = election_delay_ms(self.settings.cores, self.settings.link_mbps)
        return delay_ms + (NOT_READY_ELECTION_DELAY_MS if self.not_ready() else 0.0)

    def planner_term(self) -> int:
        """Return the term in which this instance is the planner, 0 if it is not."""
        return self.planner.term if self.planner else 0

    def background_failures(self) -> dict[str, int]:
        """Return the number of unexpected exceptions, by the part that goes on after them."""
        failures = {
            "instance": self._tasks.failures,
            "writer": self.writer.unexpected_errors,
            "follower": sum(follower.unexpected_errors for follower in self._followers),
        }
        if self.planner is not None:
            failures["planner"] = self.planner.background_failures()
        return failures

    def unhandled_records(self) -> dict[str, int]:
        """Return the number of records that could not be handled, by topic."""
        found = {follower.topic: follower.unhandled_records for follower in self._followers}
        if self.planner is not None:
            found[self._formats.runners_topic] = self.planner.unhandled_runner_records()
        return found

    @property
    def _followers(self) -> tuple[TopicFollower, ...]:
        return (self.config_follower, self.jobs_follower, self.leadership.follower)

    def unapplied_records(self) -> dict[str, int]:
        """Return the number of records that could not be read or applied, by kind."""
        return {**self.unapplied_by_kind, "term": self.leadership.unreadable_records}

    def unusable_runner_entries(self) -> int:
        """Return the number of entries in the list of runners that the planner cannot use."""
        if self.planner is None or self.runner_list is None:
            return 0
        return len(self.runner_list.error_by_runner)

    async def serve_peer(self, message: bytes) -> bytes:
        """Return the answer to a message of a peer.

        :param message: encoded ``StoreCall``.
        """
        try:
            call = pb.StoreCall.FromString(message)
        except DecodeError as error:
            log.warning("peer_call_unreadable", error=str(error))
            return pb.StoreAnswer(outcome=pb.StoreAnswer.REFUSED).SerializeToString()
        if call.kind not in pb.StoreCall.Kind.values() or call.offset > MAX_OFFSET:
            log.warning("peer_call_unreadable", error="unknown kind of call, or offset")
            return pb.StoreAnswer(outcome=pb.StoreAnswer.REFUSED).SerializeToString()
        call.wait_ms = min(call.wait_ms, MAX_PEER_CALL_WAIT_MS)
        if call.kind in (pb.StoreCall.LOOK_UP_JOB, pb.StoreCall.COUNT_PENDING):
            answer = await serve_lookup(call, self.service)
        elif call.kind == pb.StoreCall.CONFIRM_TERM:
            answer = serve_confirmation(call, self.leadership, self.store.reached_directly)
        elif call.kind == pb.StoreCall.SHARED_NEWEST:
            answer = await self.shared_load.serve(call)
        elif call.kind == pb.StoreCall.SHARED_READ:
            answer = await self.read_server.serve(call)
        else:
            answer = await self.store.serve(call)
        return answer.SerializeToString()

    def _retry_store_calls(self) -> None:
        """Repeat failed calls now, as the store answers again."""
        for follower in self._followers:
            follower.retry_now()
        self.writer.retry_now()
        if self.planner is not None:
            self.planner.retry_store_calls()

    # ------------------------------------------------------------------ replicated state

    def _apply_configuration(self, record: KeyedRecord) -> None:
        if record.key != self._formats.configuration_key or not record.value:
            return
        try:
            configuration = self._formats.decode_configuration(record.value)
        except FormatError as error:
            log.warning("configuration_unreadable", offset=record.offset, error=str(error))
            return
        self._adopt_configuration(configuration, "store")

    def _adopt_configuration(self, configuration: Configuration, source: str) -> None:
        """Put a configuration in force unless the current one is as new."""
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
        if self.planner is not None:
            self.planner.changed()

    def _apply_member(self, record: KeyedRecord) -> None:
        """Update the address of a peer; an empty record removes the peer.

        :raises RecordError: the record cannot be read or used.
        """
        name = record.key[len(MEMBER_KEY) :]
        member = pb.Member.FromString(record.value)
        if record.value:
            check_member(member, name)
        before = self._address_by_member.pop(name, None)
        if before is not None:
            self.store.addresses.discard(before)
            self.store.same_region_addresses.discard(before)
        if not record.value:
            self.shared_reader.choice.remove_member(name)
        else:
            self.shared_reader.choice.set_member(member)
            self._address_by_member[name] = member.address
            self.store.addresses.add(member.address)
            if member.region == self.settings.region:
                self.store.same_region_addresses.add(member.address)

    def _other_addresses(self) -> set[str]:
        """Return the addresses of all other instances that have announced themselves."""
        return {
            address
            for name, address in self._address_by_member.items()
            if name != self.settings.instance
        }

    def _earlier_leases_expired_ms(self) -> float:
        """Return the clock time by which all leases of earlier planners have expired."""
        return self.leadership.earlier_terms.leases_expired_ms(self._other_addresses())

    async def _find_members(self) -> None:
        """Publish this instance's address and learn those of others before the jobs are loaded."""
        own = self._own_member
        try:
            await self.store.append(MEMBERS_TOPIC, [(own.instance, own.SerializeToString())])
            found = await self.store.newest(MEMBERS_TOPIC)
        except StoreError as error:
            log.warning("members_unknown", error=str(error))
        else:
            for record in found.records:
                self._apply_job(KeyedRecord(record.offset, MEMBER_KEY + record.key, record.value))
        self.shared_load.members_known.set()

    async def _announce(self) -> None:
        """Publish this instance's address, retrying until it is stored."""
        member = self._own_member
        records = [(MEMBER_KEY + member.instance, member.SerializeToString())]
        while True:
            try:
                await self.writer.write(records)
                return
            except StoreError as error:
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    # The write tells of its cancellation as a refusal.
                    raise asyncio.CancelledError from error
                log.warning("announcement_failed", error=str(error))
                await self.clock.sleep_ms(ANNOUNCE_RETRY_MS)

    def _apply_job(self, record: KeyedRecord) -> None:
        try:
            self._apply_job_record(record)
        except (DecodeError, RecordError) as error:
            self._note_unapplied(record, str(error))

    def _note_unapplied(self, record: KeyedRecord, error: str) -> None:
        """Log and count a record that is left out; it may be one of an accepted job."""
        self.unapplied_by_kind[KIND_BY_KEY.get(record.key[:2], "other")] += 1
        log.error("record_unreadable", key=record.key, offset=record.offset, error=error)

    def _apply_job_record(self, record: KeyedRecord) -> None:
        """Apply a record of the jobs topic.

        :raises DecodeError: the record cannot be read.
        :raises RecordError: the record cannot be applied.
        """
        if record.key.startswith(MEMBER_KEY):
            self._apply_member(record)
            return
        if record.key == SPEEDS_KEY:
            self._speeds = record.value
            return
        if record.key == LOST_RUNNERS_KEY:
            self._lost_runners = record.value
            self._load_lost_runners()
            return
        if record.key == KNOWN_RUNNERS_KEY:
            self._known_runners = record.value
            return
        if self.planner is not None and record.key.startswith(PROGRESS_KEY):
            progress = pb.Progress.FromString(record.value)
            if progress.term > self.planner.term:
                # What this planner has not stored is void, and its successor has taken over.
                self.leadership.step_down(self.planner.term)
            if progress.term == self.planner.term:
                # The planner's state in memory is newer than the record that it stored.
                job = self.job_table.jobs_by_id.get(record.key[len(PROGRESS_KEY) :])
                if job is not None:
                    self.job_table.note_stored_end(job, record.offset, progress)
                    self.planner.state_first_end(job)
                return
        try:
            job = self.job_table.apply(record.offset, record.key, record.value, self.clock.now_ms())
        finally:
            if self.planner is not None:
                self.planner.changed()
        if self.planner is not None and job is not None:
            self.planner.state_first_end(job)

    def _job_written(self) -> None:
        if self.planner is not None:
            self.planner.changed()
            self.jobs_follower.request_read()

    # ------------------------------------------------------------------ planner

    def _make_runners_follower(self, planner: Planner) -> TopicFollower:
        self.runner_list = RunnerList(planner, self._formats)
        return TopicFollower(
            self.store,
            self.clock,
            self._formats.runners_topic,
            self.runner_list.apply,
            self.runner_list.keep_listed,
            read_interval_ms=RUNNERS_READ_INTERVAL_MS,
        )

    async def _plan_while_leading(self) -> None:
        """Start a planner for each term that this instance gains, and stop it when it is lost."""
        while True:
            self.leadership.changed.clear()
            term = self.leadership.term
            if self.planner is not None and self.planner.term != term:
                await self._stop_planner()
            if term and self.planner is None:
                self._start_planner(term)
            await self.leadership.changed.wait()

    def _start_planner(self, term: int) -> None:
        settings = PlannerSettings(
            self._limits,
            self.settings.stop_ms,
            self.settings.job_retention_ms + RETENTION_MARGIN_MS,
            self.settings.runner_heartbeat_ms,
        )
        self.jobs_follower.set_read_interval(0.0)
        planner = Planner(
            term,
            settings,
            self.clock,
            self.store,
            self.runner_client,
            self.job_table,
            self.jobs_follower,
            lambda: self.configuration,
            self._make_runners_follower,
            self.leadership.step_down,
            self._announce_fleet,
            self.leadership.confirm,
            self.leadership.lease_left_ms,
            self._earlier_leases_expired_ms,
            self.leadership.permits_unrecorded_starts,
            lambda: self.leadership.earlier_terms.may_have_unrecorded_starts(
                self._other_addresses()
            ),
        )
        self.leadership.has_unrecorded_starts = lambda: (
            planner.unrecorded_starts.pending or planner.inherited_starts.open
        )
        try:
            planner.speeds.load(pb.RunnerSpeeds.FromString(self._speeds))
        except (DecodeError, ValueError) as error:
            log.warning("record_unreadable", key=SPEEDS_KEY, error=str(error))
        planner.inherited_runners = self._known_runners_by_id
        self.planner = planner
        self._load_lost_runners()
        self._planner_task = self._tasks.start(planner.run(), f"planner {term}")
        log.info("planner_started", term=term)

    def _known_runners_by_id(self) -> dict[str, pb.LostRunner]:
        """Return the runners that the last planner was known to use, as far as they are read."""
        try:
            return known_runners(self._known_runners)
        except DecodeError as error:
            log.warning("record_unreadable", key=KNOWN_RUNNERS_KEY, error=str(error))
            return {}

    def _load_lost_runners(self) -> None:
        if self.planner is None:
            return
        try:
            self.planner.lost_runners.load(pb.LostRunners.FromString(self._lost_runners))
        except DecodeError as error:
            log.warning("record_unreadable", key=LOST_RUNNERS_KEY, error=str(error))

    def _announce_fleet(self, accelerators: int, harmless_work: Mapping[int, int]) -> None:
        """Send what the planner knows of the fleet with the next heartbeat."""
        self.leadership.accelerators = accelerators
        self.leadership.harmless_work = harmless_work

    async def _stop_planner(self) -> None:
        planner, task = self.planner, self._planner_task
        if planner is None or task is None:
            return
        task.cancel()
        await asyncio.wait([task])
        self.planner = None
        self._planner_task = None
        self.leadership.harmless_work = {}
        self.jobs_follower.set_read_interval(STANDBY_READ_INTERVAL_MS)
        # Discard decisions that were not stored.
        self.job_table.reset()
        await self.jobs_follower.reload()
        log.info("planner_stopped", term=planner.term)
