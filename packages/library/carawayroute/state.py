"""Replicated state: a deterministic reduction of the log's records in offset order."""

from carawayroute.types import request_key
from carawayroute_schema import carawayroute_pb2 as pb


class Job:
    """An accepted job and its progress.

    :ivar offset: offset of the record that accepted the job.
    :ivar finished: the final record, or ``None`` while the job is queued or running.
    :ivar finished_ms: log time of the final record.
    """

    __slots__ = ("accepted", "cancelled", "finished", "finished_ms", "offset", "started")

    def __init__(self, accepted: pb.JobAccepted, offset: int) -> None:
        self.accepted = accepted
        self.offset = offset
        self.started: pb.JobStarted | None = None
        self.cancelled = False
        self.finished: pb.JobFinished | None = None
        self.finished_ms = 0


class ClaimEntry:
    """A claim and its outcome, if recorded; both with their log times."""

    __slots__ = ("claim", "claimed_ms", "outcome", "outcome_ms")

    def __init__(self, claim: pb.Claim, claimed_ms: int) -> None:
        self.claim = claim
        self.claimed_ms = claimed_ms
        self.outcome: pb.ClaimOutcome | None = None
        self.outcome_ms = 0


class AppliedRecord:
    """A record that was read, and whether it took effect.

    A record that lost a race has no effect: a configuration change based on an outdated version, a
    claim on a request that is already claimed, or a term that is already held.
    """

    __slots__ = ("took_effect", "record")

    def __init__(self, record: pb.LogRecord, took_effect: bool) -> None:
        self.record = record
        self.took_effect = took_effect


class State:
    """Configuration, jobs, claims, terms and drains, as the log's records define them.

    A record can occur more than once: an append is retried if its response is lost, and live
    records are appended again before retention removes them. Applying a record is therefore
    idempotent.
    """

    __slots__ = (
        "change",
        "change_record_id",
        "claims_by_key",
        "draining",
        "deferred_by_key",
        "job_id_by_key",
        "jobs_by_id",
        "live_by_key",
        "log_ms",
        "offset",
        "open_jobs_by_region",
        "partial",
        "terms_by_region",
    )

    def __init__(self, offset: int = 0) -> None:
        self.offset = offset
        # Without the older records, the first version or term read cannot be checked for gaps.
        self.partial = offset > 0
        self.log_ms = 0
        self.change = pb.ConfigurationChange()
        self.change_record_id = ""
        self.jobs_by_id: dict[str, Job] = {}
        self.open_jobs_by_region: dict[str, dict[str, Job]] = {}
        self.job_id_by_key: dict[str, str] = {}
        self.claims_by_key: dict[str, ClaimEntry] = {}
        self.terms_by_region: dict[str, pb.Term] = {}
        self.draining: set[str] = set()
        # The latest copy of each record that must outlast retention.
        self.live_by_key: dict[str, pb.OffsetRecord] = {}
        # Records read before the job or claim that they refer to, applied once that is read.
        self.deferred_by_key: dict[str, pb.OffsetRecord] = {}

    @property
    def configuration(self) -> pb.Configuration:
        """Return the configuration in force."""
        return self.change.configuration

    def team(self, team_id: str) -> pb.Team | None:
        """Return a team of the configuration in force."""
        return next((team for team in self.configuration.teams if team.id == team_id), None)

    def kind(self, kind_id: str) -> pb.Kind | None:
        """Return a kind of the configuration in force."""
        return next((kind for kind in self.configuration.kinds if kind.id == kind_id), None)

    def job_by_request(self, team: str, request_id: str) -> Job | None:
        """Return the job that was accepted under a team's request id."""
        job_id = self.job_id_by_key.get(request_key(team, request_id))
        return self.jobs_by_id.get(job_id) if job_id else None

    def open_jobs(self, region: str) -> list[Job]:
        """Return the unfinished jobs of a region in order of acceptance."""
        return list(self.open_jobs_by_region.get(region, {}).values())

    def _close_job(self, job: Job) -> None:
        open_by_id = self.open_jobs_by_region.get(job.accepted.region, {})
        open_by_id.pop(job.accepted.job_id, None)

    def apply(self, stored: pb.OffsetRecord) -> AppliedRecord | None:
        """Apply a record; return ``None`` if it was applied before or cannot be decoded.

        :param stored: the record with its offset and log time.
        """
        if stored.offset < self.offset:
            return None
        self.offset = stored.offset + 1
        self.log_ms = max(self.log_ms, stored.appended_ms)
        record = pb.LogRecord()
        try:
            record.ParseFromString(stored.data)
        except Exception:
            # Other programs may write to the same stream; skip records that do not decode.
            return None
        body = record.WhichOneof("body")
        if body is None:
            return None
        key = getattr(self, f"_apply_{body}")(getattr(record, body), record, stored)
        if key:
            self.live_by_key[key] = stored
        return AppliedRecord(record, took_effect=bool(key))

    def _apply_configuration(
        self, change: pb.ConfigurationChange, record: pb.LogRecord, stored: pb.OffsetRecord
    ) -> str:
        is_next = change.based_on == self.change.version and change.version == change.based_on + 1
        is_copy = record.repeated_state and change.version >= self.change.version
        is_first = self.partial and change.version > self.change.version
        if not is_next and not is_copy and not is_first:
            return ""
        self.change = change
        self.change_record_id = record.record_id
        return "configuration"

    def _apply_job_accepted(
        self, accepted: pb.JobAccepted, record: pb.LogRecord, stored: pb.OffsetRecord
    ) -> str:
        key = request_key(accepted.team, accepted.request_id)
        known = self.job_id_by_key.setdefault(key, accepted.job_id)
        if known != accepted.job_id:
            # Two entries accepted the same request; the first record wins. A copy is always of
            # the winning record, even if that one was removed before this state started.
            if not record.repeated_state:
                return ""
            replaced = self.jobs_by_id.pop(known, None)
            if replaced is not None:
                self._close_job(replaced)
            self.live_by_key.pop(f"job/{known}", None)
            self.job_id_by_key[key] = accepted.job_id
        if accepted.job_id not in self.jobs_by_id:
            job = Job(accepted, stored.offset)
            self.jobs_by_id[accepted.job_id] = job
            open_by_id = self.open_jobs_by_region.setdefault(accepted.region, {})
            open_by_id[accepted.job_id] = job
            for prefix in ("started", "cancel", "finished"):
                self._apply_deferred(f"{prefix}/{accepted.job_id}")
        return f"job/{accepted.job_id}"

    def _apply_job_started(
        self, started: pb.JobStarted, record: pb.LogRecord, stored: pb.OffsetRecord
    ) -> str:
        key = f"started/{started.job_id}"
        job = self.jobs_by_id.get(started.job_id)
        if job is None:
            return self._defer(key, record, stored)
        if job.finished is not None:
            return ""
        if job.started is None or record.repeated_state:
            job.started = started
        is_first = job.started.attempt_id == started.attempt_id
        return key if is_first else ""

    def _apply_job_finished(
        self, finished: pb.JobFinished, record: pb.LogRecord, stored: pb.OffsetRecord
    ) -> str:
        job = self.jobs_by_id.get(finished.job_id)
        key = f"finished/{finished.job_id}"
        if job is None:
            return self._defer(key, record, stored)
        if job.finished is None or record.repeated_state:
            job.finished = finished
            self._close_job(job)
            job.finished_ms = _first_ms(record, stored)
            self.live_by_key.pop(f"started/{finished.job_id}", None)
            self.live_by_key.pop(f"cancel/{finished.job_id}", None)
            return key
        return key if job.finished == finished else ""

    def _defer(self, key: str, record: pb.LogRecord, stored: pb.OffsetRecord) -> str:
        """Hold a record until its job or claim is read; a copy replaces it, as it took effect."""
        if key not in self.deferred_by_key or record.repeated_state:
            self.deferred_by_key[key] = stored
        return ""

    def _apply_deferred(self, key: str) -> None:
        """Apply the record, if any, that was deferred under a key."""
        stored = self.deferred_by_key.pop(key, None)
        if stored is None:
            return
        record = pb.LogRecord()
        record.ParseFromString(stored.data)
        body = record.WhichOneof("body")
        live_key = getattr(self, f"_apply_{body}")(getattr(record, body), record, stored)
        if live_key:
            self.live_by_key[live_key] = stored

    def _apply_cancel_requested(
        self, cancel: pb.CancelRequested, record: pb.LogRecord, stored: pb.OffsetRecord
    ) -> str:
        key = f"cancel/{cancel.job_id}"
        job = self.jobs_by_id.get(cancel.job_id)
        if job is None:
            return self._defer(key, record, stored)
        if job.finished is not None:
            return ""
        job.cancelled = True
        return key

    def _apply_claim(self, claim: pb.Claim, record: pb.LogRecord, stored: pb.OffsetRecord) -> str:
        entry = self.claims_by_key.get(claim.key)
        if entry is not None and entry.claim.claim_id != claim.claim_id:
            ended_not_run = entry.outcome is not None and entry.outcome.outcome == pb.NOT_RUN
            is_next = ended_not_run and claim.round == entry.claim.round + 1
            is_copy = record.repeated_state and claim.round >= entry.claim.round
            if not is_next and not is_copy:
                return ""
            entry = None
        if entry is None:
            self.claims_by_key[claim.key] = ClaimEntry(claim, _first_ms(record, stored))
            self.live_by_key.pop(f"outcome/{claim.key}", None)
            self._apply_deferred(f"outcome/{claim.key}/{claim.claim_id}")
        return f"claim/{claim.key}"

    def _apply_claim_outcome(
        self, outcome: pb.ClaimOutcome, record: pb.LogRecord, stored: pb.OffsetRecord
    ) -> str:
        entry = self.claims_by_key.get(outcome.key)
        if entry is None or entry.claim.claim_id != outcome.claim_id:
            deferred_key = f"outcome/{outcome.key}/{outcome.claim_id}"
            return self._defer(deferred_key, record, stored)
        if entry.outcome is None or record.repeated_state:
            entry.outcome = outcome
            entry.outcome_ms = _first_ms(record, stored)
        return f"outcome/{outcome.key}" if entry.outcome == outcome else ""

    def _apply_term(self, term: pb.Term, record: pb.LogRecord, stored: pb.OffsetRecord) -> str:
        current = self.terms_by_region.get(term.region)
        number = current.number if current else 0
        is_next = term.number == number + 1
        is_copy = record.repeated_state and term.number >= number
        is_first = self.partial and term.number > number
        if is_next or is_copy or is_first:
            self.terms_by_region[term.region] = term
        return f"term/{term.region}" if self.terms_by_region.get(term.region) == term else ""

    def _apply_drain(
        self, drain: pb.InstanceDrain, record: pb.LogRecord, stored: pb.OffsetRecord
    ) -> str:
        if drain.draining:
            self.draining.add(drain.instance)
            return f"drain/{drain.instance}"
        self.draining.discard(drain.instance)
        self.live_by_key.pop(f"drain/{drain.instance}", None)
        return ""

    def _apply_log_time(
        self, log_time: pb.LogTime, record: pb.LogRecord, stored: pb.OffsetRecord
    ) -> str:
        return ""

    def compact(self, ended_retention_ms: int) -> None:
        """Remove ended jobs, ended claims and deferred records that are older than a limit.

        :param ended_retention_ms: limit, in log time; callers may repeat a request for as long.
        """
        oldest_ms = self.log_ms - ended_retention_ms
        for job_id, job in list(self.jobs_by_id.items()):
            if job.finished is not None and job.finished_ms < oldest_ms:
                del self.jobs_by_id[job_id]
                self.job_id_by_key.pop(
                    request_key(job.accepted.team, job.accepted.request_id), None
                )
                self.live_by_key.pop(f"job/{job_id}", None)
                self.live_by_key.pop(f"finished/{job_id}", None)
        for key, entry in list(self.claims_by_key.items()):
            if entry.outcome is not None and entry.outcome_ms < oldest_ms:
                del self.claims_by_key[key]
                self.live_by_key.pop(f"claim/{key}", None)
                self.live_by_key.pop(f"outcome/{key}", None)
        for key, stored in list(self.deferred_by_key.items()):
            if stored.appended_ms < oldest_ms:
                del self.deferred_by_key[key]

    def due_for_reappend(self, before_ms: float, limit: int) -> list[pb.OffsetRecord]:
        """Return live records whose latest copy was appended before a log time, oldest first."""
        due = [stored for stored in self.live_by_key.values() if stored.appended_ms < before_ms]
        due.sort(key=lambda stored: stored.offset)
        return due[:limit]

    def export(self) -> list[pb.OffsetRecord]:
        """Return a snapshot: the records from which `restore` rebuilds the state."""
        records = [*self.live_by_key.values(), *self.deferred_by_key.values()]
        return sorted(records, key=lambda stored: stored.offset)

    @classmethod
    def restore(cls, records: list[pb.OffsetRecord], offset: int) -> "State":
        """Return the state of a snapshot that another instance took at an offset."""
        state = cls()
        for stored in records:
            state.apply(as_copy(stored))
        state.offset = max(state.offset, offset)
        return state


def _first_ms(record: pb.LogRecord, stored: pb.OffsetRecord) -> int:
    """Return the log time of a record's first append."""
    return record.first_ms or stored.appended_ms


def serialize_copy(stored: pb.OffsetRecord) -> bytes:
    """Return a record serialized as a copy, which applies without the records before it."""
    record = pb.LogRecord()
    record.ParseFromString(stored.data)
    record.repeated_state = True
    record.first_ms = _first_ms(record, stored)
    return record.SerializeToString()


def as_copy(stored: pb.OffsetRecord) -> pb.OffsetRecord:
    """Return a record as a copy, with its offset and log time."""
    return pb.OffsetRecord(
        offset=stored.offset, appended_ms=stored.appended_ms, data=serialize_copy(stored)
    )
