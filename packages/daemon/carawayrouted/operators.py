"""The operators' gRPC service."""

import grpc

from carawayroute.config import check_configuration
from carawayroute.exceptions import (
    ConfigurationError,
    FieldProblem,
    LogError,
    LogUncertainError,
    VersionConflictError,
)
from carawayroute.guarantees import GuaranteedShape, ReservationTable
from carawayroute.node import Node
from carawayroute.packing import FreeCapacity, ShapeCount, fits_all
from carawayroute.publish import publish
from carawayroute.state import Job
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_schema import carawayroute_pb2_grpc as pb_grpc

APPEND_TIMEOUT_MS = 5_000


class OperatorService(pb_grpc.OperatorsServicer):
    """Publishes configuration and reports the state of teams, workers and jobs.

    Only a region's planner knows what runs where; other instances refer the operator to it.
    """

    def __init__(self, node: Node) -> None:
        self._instance = node.settings.instance
        self._follower = node.follower
        self._membership = node.membership
        self._jobs = node.jobs
        self._planner = node.planner

    # ------------------------------------------------------------------ configuration

    async def Publish(self, request: pb.PublishRequest, context) -> pb.PublishReply:
        """Check a configuration and publish it if it is based on the version in force."""
        state = self._follower.state
        try:
            self._check(request.configuration)
        except ConfigurationError as error:
            return pb.PublishReply(version=state.change.version, errors=_field_errors(error))
        try:
            version = await publish(
                self._follower,
                request.configuration,
                request.based_on,
                request.author,
                APPEND_TIMEOUT_MS,
            )
        except VersionConflictError as error:
            await context.abort(grpc.StatusCode.ABORTED, str(error))
        except LogError as error:
            await _abort_append(error, context)
        return pb.PublishReply(version=version, offset=self._follower.state.offset)

    async def _append(self, record: pb.LogRecord, context) -> None:
        """Append a record; on failure, abort the call with whether it may still be applied."""
        try:
            await self._follower.append(record, APPEND_TIMEOUT_MS)
        except LogError as error:
            await _abort_append(error, context)

    def _check(self, configuration: pb.Configuration) -> None:
        """Check the fields, then whether all guarantees fit beside non-preemptible work.

        :raises ConfigurationError: a field is invalid or the guarantees do not fit.
        """
        capacity_by_region: dict[str, int] = {}
        workers = self._membership.live("worker")
        for worker in workers:
            before = capacity_by_region.get(worker.region, 0)
            capacity_by_region[worker.region] = before + worker.capacity
        check_configuration(configuration, capacity_by_region)
        for region in capacity_by_region:
            self._check_packing(configuration, region)

    def _check_packing(self, configuration: pb.Configuration, region: str) -> None:
        workers_by_id = {worker.id: worker for worker in self._membership.live("worker", region)}
        capacity = {name: worker.capacity for name, worker in workers_by_id.items()}
        counts = []
        for team_index, team in enumerate(configuration.teams):
            for index, guarantee in enumerate(team.guarantees):
                if guarantee.region != region:
                    continue
                counts.append(ShapeCount(guarantee.shape, guarantee.count))
                if not fits_all(FreeCapacity(workers_by_id, dict(capacity)), counts):
                    path = f"teams[{team_index}].guarantees[{index}]"
                    reason = f"does not fit on the workers of {region} beside those before it"
                    raise ConfigurationError([FieldProblem(path, reason)])
        self._check_running(configuration, region)

    def _check_running(self, configuration: pb.Configuration, region: str) -> None:
        """Refuse guarantees whose capacity is occupied by running work that cannot be stopped."""
        if region != self._planner.region or not self._planner.is_active:
            return
        if not self._planner.fleet.would_be_reclaimable(configuration, region):
            reason = f"running work in {region} that cannot be stopped leaves too little room"
            raise ConfigurationError([FieldProblem("teams", reason)])

    async def ReadConfiguration(self, request, context) -> pb.ReadConfigurationReply:
        """Return the configuration in force on this instance."""
        state = self._follower.state
        return pb.ReadConfigurationReply(
            version=state.change.version,
            offset=state.offset,
            instance=self._instance,
            configuration=state.configuration,
        )

    # ------------------------------------------------------------------ views

    async def Teams(self, request: pb.ListRequest, context) -> pb.TeamsReply:
        """List teams with their numbers of queued and running jobs."""
        state = self._follower.state
        reply = pb.TeamsReply()
        for team in state.configuration.teams:
            if request.id not in ("", team.id):
                continue
            open_jobs = [
                job.accepted.job_id
                for job in state.jobs_by_id.values()
                if job.finished is None and job.accepted.team == team.id
            ]
            running = sum(1 for job_id in open_jobs if self._is_running(job_id))
            reply.teams.add(
                id=team.id,
                weight=team.weight,
                guarantees=len(team.guarantees),
                jobs_queued=len(open_jobs) - running,
                jobs_running=running,
            )
        return reply

    def _is_running(self, job_id: str) -> bool:
        gang = self._planner.gangs_by_job.get(job_id)
        return gang is not None and gang.running

    async def Guarantees(self, request: pb.ListRequest, context) -> pb.GuaranteesReply:
        """List guarantees, the jobs that use them, and how many could be reclaimed now."""
        await self._require_planner(context)
        reservation_table = self._planner.fleet.reservation_table
        reply = pb.GuaranteesReply()
        for guaranteed in reservation_table.shapes_by_key.values():
            if request.id in ("", guaranteed.team, guaranteed.key):
                reply.guarantees.append(_guarantee_view(guaranteed, reservation_table))
        return reply

    async def _require_planner(self, context) -> None:
        if self._planner.is_active:
            return
        region = self._planner.region
        term = self._follower.state.terms_by_region.get(region)
        holder = term.holder if term else "no instance"
        await context.abort(
            grpc.StatusCode.FAILED_PRECONDITION, f"{holder} plans for {region}; ask there"
        )

    async def Workers(self, request: pb.ListRequest, context) -> pb.WorkersReply:
        """List the region's workers and the jobs on them."""
        await self._require_planner(context)
        planner = self._planner
        reply = pb.WorkersReply()
        for worker in sorted(planner.fleet.workers_by_id.values(), key=lambda item: item.id):
            if request.id not in ("", worker.id):
                continue
            jobs = [
                placement.job_id
                for placement in planner.fleet.placements_by_job.values()
                if worker.id in placement.workers
            ]
            reply.workers.add(
                id=worker.id,
                region=worker.region,
                data_centre=worker.data_centre,
                rack=worker.rack,
                accelerators=worker.capacity,
                free=planner.fleet.free_on(worker.id),
                status=self._worker_status(worker.id),
                jobs=jobs,
            )
        return reply

    def _worker_status(self, worker: str) -> str:
        if self._membership.is_leaving(worker):
            return "leaving"
        if self._planner.health.is_quarantined(worker):
            return "quarantined"
        return "ready" if worker in self._planner.leases.held() else "unreachable"

    async def Jobs(self, request: pb.ListRequest, context) -> pb.JobsReply:
        """List jobs with the workers that they run on or the reason why they wait."""
        reply = pb.JobsReply()
        for job in self._follower.state.jobs_by_id.values():
            accepted = job.accepted
            if request.id in ("", accepted.job_id, accepted.team):
                reply.jobs.append(self._job_view(job))
        return reply

    def _job_view(self, job: Job) -> pb.JobView:
        accepted = job.accepted
        view = pb.JobView(
            id=accepted.job_id,
            team=accepted.team,
            kind=accepted.kind,
            region=accepted.region,
            shape=accepted.shape,
        )
        if job.finished is not None:
            view.status = pb.Outcome.Name(job.finished.outcome).lower()
            view.reason = job.finished.reason
            return view
        gang = self._planner.gangs_by_job.get(accepted.job_id)
        if gang is not None:
            view.status = "running" if gang.running else "starting"
            view.workers.extend(gang.parts)
            return view
        view.status = "queued"
        if accepted.region != self._planner.region or not self._planner.is_active:
            term = self._follower.state.terms_by_region.get(accepted.region)
            holder = term.holder if term else "no instance yet"
            view.status = "open"
            view.reason = f"planned by {holder}; ask there"
        else:
            view.reason = self._planner.wait_reason_by_job.get(
                accepted.job_id, "not yet considered"
            )
        return view

    # ------------------------------------------------------------------ commands

    async def CancelJob(self, request: pb.CancelRequest, context) -> pb.Empty:
        """Request the cancellation of a job."""
        try:
            job = await self._jobs.look_up(request.job_id)
        except LogError as error:
            await _abort_append(error, context)
        if job is None:
            await context.abort(grpc.StatusCode.NOT_FOUND, f"no job {request.job_id!r}")
        cancel = pb.CancelRequested(job_id=request.job_id, by="operator")
        await self._append(self._follower.make_record(cancel_requested=cancel), context)
        return pb.Empty()

    async def Drain(self, request: pb.DrainRequest, context) -> pb.Empty:
        """Start draining an instance, or undo that."""
        if request.instance not in self._membership.by_id:
            await context.abort(grpc.StatusCode.NOT_FOUND, f"no instance {request.instance!r}")
        drain = pb.InstanceDrain(instance=request.instance, draining=not request.undo)
        await self._append(self._follower.make_record(drain=drain), context)
        return pb.Empty()


def _guarantee_view(
    guaranteed: GuaranteedShape, reservation_table: ReservationTable
) -> pb.GuaranteeView:
    holders = reservation_table.used_by(guaranteed.key)
    return pb.GuaranteeView(
        team=guaranteed.team,
        id=guaranteed.id,
        region=guaranteed.region,
        shape=guaranteed.shape,
        count=guaranteed.count,
        in_use=len(holders),
        reclaimable=reservation_table.unused_count(guaranteed.key),
        holders=holders,
    )


async def _abort_append(error: LogError, context) -> None:
    """Abort a call whose append failed, saying whether the change may still be applied."""
    if isinstance(error, LogUncertainError):
        reason = "the log did not confirm the change; read before repeating"
        await context.abort(grpc.StatusCode.UNKNOWN, reason)
    reason = "the log cannot be reached; nothing was changed"
    await context.abort(grpc.StatusCode.UNAVAILABLE, reason)


def _field_errors(error: ConfigurationError) -> list[pb.FieldError]:
    return [pb.FieldError(path=item.path, reason=item.reason) for item in error.errors]
