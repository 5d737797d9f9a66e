"""The callers' HTTP API: quick requests and gang jobs."""

import asyncio
import hashlib
import hmac
import json
import re
from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web
from google.protobuf import json_format

from carawayroute.dispatch import QuickRequest
from carawayroute.exceptions import LogError, RefusedError
from carawayroute.jobs import (
    ImpossibleShapeError,
    JobConflictError,
    JobUncertainError,
)
from carawayroute.misc import new_id
from carawayroute.node import Node
from carawayroute.quick import QuickResult
from carawayroute.state import Job
from carawayroute_schema import carawayroute_pb2 as pb
from carawayrouted.closing import OpenRequests
from carawayrouted.exceptions import BadRequestError, LogNotReadError, StoppingError
from carawayrouted.logs import get_logger
from carawayrouted.metrics import Metrics

MAX_JOB_BODY_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_WATCH_MS = 60_000
ACCEPT_TIMEOUT_MS = 5_000
LOG_READ_TIMEOUT_MS = 1_000
TOKEN_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
REGION_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")

OUTCOME_NAMES = {
    pb.DONE: "done",
    pb.NOT_RUN: "not_run",
    pb.UNKNOWN: "unknown",
    pb.CANCELLED: "cancelled",
    pb.FAILED: "failed",
}

log = get_logger()


def error_response(
    status: int, outcome: str, code: str, reason: str, retry_after_ms: int = 0
) -> web.Response:
    """Return an error with a machine-readable body.

    :param outcome: outcome of the request or job.
    :param code: name of the error.
    :param retry_after_ms: delay before a retry; 0 leaves it out.
    """
    body: dict[str, object] = {"outcome": outcome, "error": code, "reason": reason}
    headers = {}
    if retry_after_ms:
        body["retry_after_ms"] = retry_after_ms
        headers["Retry-After"] = str(max(1, round(retry_after_ms / 1000)))
    return web.json_response(body, status=status, headers=headers)


class CallerService:
    """HTTP handlers of the callers' API.

    :ivar open_requests: requests in progress; those that are ended have an unknown outcome.
    """

    def __init__(self, node: Node, metrics: Metrics) -> None:
        self._node = node
        self._clock = node.clock
        self._follower = node.follower
        self._quick = node.quick
        self._jobs = node.jobs
        self._metrics = metrics
        self.open_requests = OpenRequests()

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[self._middleware])
        app.router.add_post("/v1/kinds/{kind}/requests", self.quick_request)
        app.router.add_post("/v1/jobs", self.submit_job)
        app.router.add_get("/v1/jobs/{job}", self.watch_job)
        app.router.add_post("/v1/jobs/{job}/cancel", self.cancel_job)
        return app

    @web.middleware
    async def _middleware(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.Response]]
    ) -> web.StreamResponse:
        """Turn errors into JSON answers, so that no caller sees a stack trace."""
        self._node.open_requests += 1
        try:
            async with self.open_requests.entered():
                response = await handler(request)
        except BadRequestError as error:
            self._metrics.bad_requests.labels(error.code).inc()
            response = error_response(error.status, "not_run", error.code, error.reason)
        except LogNotReadError as error:
            response = error_response(503, "not_run", "not_read", str(error), 1000)
        except web.HTTPException as error:
            response = error_response(error.status, "not_run", "http", error.reason)
        except StoppingError as error:
            response = error_response(504, "unknown", "stopping", str(error))
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("request_failed", path=request.path)
            response = error_response(500, "unknown", "internal", "the entry failed")
        finally:
            self._node.open_requests -= 1
            structlog.contextvars.unbind_contextvars("request_id", "team", "kind", "job")
        if self._node.draining:
            response.force_close()
        return response

    # ------------------------------------------------------------------ checks

    async def _read_log(self) -> None:
        """Read the log up to its end before something is denied.

        :raises LogNotReadError: the log cannot be read in time.
        """
        try:
            async with asyncio.timeout(LOG_READ_TIMEOUT_MS / 1000):
                await self._follower.read_to_end()
        except (LogError, TimeoutError) as error:
            raise LogNotReadError("the log cannot be read") from error

    async def _team(self, request: web.Request) -> pb.Team:
        """Return the authenticated team, reading the log before one is denied.

        :raises BadRequestError: the team is unknown or the key is wrong.
        :raises LogNotReadError: whether that is so cannot be read.
        """
        team = self._authenticated_team(request)
        if team is None:
            await self._read_log()
            team = self._authenticated_team(request)
        if team is None:
            raise BadRequestError(401, "wrong_key", "the team or its key is wrong")
        return team

    def _authenticated_team(self, request: web.Request) -> pb.Team | None:
        """Return the team, ``None`` if it is not known or its key is another."""
        team = self._follower.state.team(request.headers.get("Carawayroute-Team", ""))
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(key.encode()).hexdigest()
        # An unknown team takes the same comparison, so that response times do not reveal which
        # teams exist.
        expected = team.key_sha256 if team is not None else "0" * 64
        matches = hmac.compare_digest(digest, expected)
        return team if scheme == "Bearer" and matches else None

    async def _kind(self, kind_id: str, service: pb.Service) -> pb.Kind:
        """Return a kind of a service, reading the log before one is denied.

        :raises BadRequestError: there is no such kind.
        :raises LogNotReadError: whether it exists cannot be read.
        """
        kind = self._follower.state.kind(kind_id)
        if kind is None or kind.service != service:
            await self._read_log()
            kind = self._follower.state.kind(kind_id)
        if kind is None or kind.service != service:
            raise BadRequestError(404, "unknown_kind", f"no kind {kind_id!r} of this service")
        return kind

    @staticmethod
    def _checked_header(request: web.Request, header: str, default: str) -> str:
        value = request.headers.get(header, default)
        if not TOKEN_PATTERN.fullmatch(value):
            raise BadRequestError(
                400, "bad_header", f"{header} must be 1 to 128 visible characters"
            )
        return value

    @staticmethod
    def _wait_ms(request: web.Request, kind: pb.Kind) -> float:
        """Return how long the caller waits, at most the kind's own limit."""
        text = request.headers.get("Carawayroute-Deadline-Ms")
        if text is None:
            return kind.max_wait_ms
        if not re.fullmatch(r"-?\d{1,12}", text):
            raise BadRequestError(400, "bad_deadline", "Carawayroute-Deadline-Ms must be a number")
        if int(text) <= 0:
            raise BadRequestError(400, "deadline_passed", "the deadline has passed")
        return min(int(text), kind.max_wait_ms)

    async def _body(self, request: web.Request, limit: int) -> bytes:
        if request.content_length is not None and request.content_length > limit:
            raise BadRequestError(413, "too_large", f"the body may have {limit} bytes")
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise BadRequestError(413, "too_large", f"the body may have {limit} bytes") from error
        except Exception as error:
            raise BadRequestError(400, "truncated", "the body did not arrive whole") from error
        if len(body) > limit:
            raise BadRequestError(413, "too_large", f"the body may have {limit} bytes")
        return body

    # ------------------------------------------------------------------ quick requests

    async def quick_request(self, request: web.Request) -> web.Response:
        """Run a quick request and answer with its result."""
        team = await self._team(request)
        kind = await self._kind(request.match_info["kind"], pb.QUICK)
        request_id = self._checked_header(request, "Carawayroute-Request-Id", new_id("q"))
        caller = self._checked_header(request, "Carawayroute-Caller", "-")
        began_ms = self._clock.now_ms()
        deadline_ms = began_ms + self._wait_ms(request, kind)
        body = await self._body(request, kind.max_body_bytes)
        structlog.contextvars.bind_contextvars(request_id=request_id, team=team.id, kind=kind.id)
        quick = QuickRequest(team.id, caller, kind, request_id, body, deadline_ms)
        result = await self._quick.handle(quick)
        outcome = OUTCOME_NAMES[result.outcome]
        duration_ms = self._clock.now_ms() - began_ms
        self._metrics.count_outcome(self._metrics.requests, team.id, kind.id, outcome)
        self._metrics.request_seconds.labels(kind.id).observe(duration_ms / 1000)
        log.info("request_ended", outcome=outcome, reason=result.reason, ms=round(duration_ms))
        return self._quick_response(result, request_id)

    @staticmethod
    def _quick_response(result: QuickResult, request_id: str) -> web.Response:
        headers = {"Carawayroute-Request-Id": request_id}
        if result.answer is not None:
            headers["Carawayroute-Outcome"] = "done"
            return web.Response(
                body=result.answer.body, content_type=result.answer.content_type, headers=headers
            )
        outcome = OUTCOME_NAMES[result.outcome]
        if result.outcome == pb.DONE:
            return error_response(200, outcome, "answer_not_kept", result.reason)
        status = 503 if result.outcome == pb.NOT_RUN else 504
        return error_response(status, outcome, outcome, result.reason, result.retry_after_ms)

    # ------------------------------------------------------------------ jobs

    async def submit_job(self, request: web.Request) -> web.Response:
        """Accept a gang job."""
        team = await self._team(request)
        body = await self._body(request, MAX_JOB_BODY_BYTES)
        accepted = await self._read_job(body, team, request)
        structlog.contextvars.bind_contextvars(
            request_id=accepted.request_id, team=team.id, kind=accepted.kind
        )
        try:
            await self._check_shape(accepted)
            job = await self._jobs.accept(accepted, ACCEPT_TIMEOUT_MS)
        except ImpossibleShapeError as error:
            raise BadRequestError(422, "impossible_shape", str(error)) from error
        except JobConflictError as error:
            raise BadRequestError(409, "request_id_used", str(error)) from error
        except RefusedError as error:
            return error_response(503, "not_run", "not_run", error.reason, error.retry_after_ms)
        except JobUncertainError as error:
            return error_response(504, "unknown", "unknown", str(error), 1000)
        log.info("job_accepted", job=job.accepted.job_id)
        return web.json_response(self._job_view(job), status=202)

    async def _check_shape(self, accepted: pb.JobAccepted) -> None:
        """Check that the workers could hold a job, unless it was accepted before.

        :raises ImpossibleShapeError: they could not.
        :raises RefusedError: the workers are not known yet.
        :raises LogNotReadError: whether the job was accepted before cannot be read.
        """
        try:
            self._jobs.check_shape(accepted.shape, accepted.region)
        except ImpossibleShapeError:
            request = (accepted.team, accepted.request_id)
            if self._jobs.find_request(*request) is None:
                await self._read_log()
            if self._jobs.find_request(*request) is not None:
                return
            if not self._node.instance_list_read:
                raise RefusedError("the workers are not known yet", 1000) from None
            raise

    async def _read_job(self, body: bytes, team: pb.Team, request: web.Request) -> pb.JobAccepted:
        try:
            tree = json.loads(body)
            shape = json_format.ParseDict(tree.pop("shape"), pb.Shape())
        except KeyError as error:
            raise BadRequestError(400, "bad_job", "shape is missing") from error
        except json_format.ParseError as error:
            raise BadRequestError(400, "bad_job", f"shape: {error}") from error
        except (ValueError, AttributeError, TypeError) as error:
            raise BadRequestError(400, "bad_json", "the body is not a JSON object") from error
        text = {name: tree.pop(name, "") for name in ("kind", "region", "request_id", "payload")}
        numbers = {name: tree.pop(name, 0) for name in ("deadline_ms", "run_ms")}
        if tree:
            raise BadRequestError(400, "bad_job", f"unknown field {sorted(tree)[0]!r}")
        for name, value in text.items():
            if not isinstance(value, str):
                raise BadRequestError(400, "bad_job", f"{name} must be text")
        for name, value in numbers.items():
            if not isinstance(value, int) or not 0 <= value < 2**53:
                raise BadRequestError(400, "bad_job", f"{name} must be a number of ms")
        kind = await self._kind(text["kind"], pb.GANG)
        if numbers["deadline_ms"] and numbers["deadline_ms"] <= self._clock.wall_ms():
            raise BadRequestError(400, "deadline_passed", "the deadline has passed")
        region = text["region"] or self._default_region(team)
        if not REGION_PATTERN.fullmatch(region):
            raise BadRequestError(400, "bad_job", "region is not a name")
        request_id = text["request_id"] or new_id("q")
        if not TOKEN_PATTERN.fullmatch(request_id):
            raise BadRequestError(400, "bad_job", "request_id must be 1 to 128 visible characters")
        return pb.JobAccepted(
            team=team.id,
            caller=self._checked_header(request, "Carawayroute-Caller", "-"),
            kind=kind.id,
            region=region,
            shape=shape,
            request_id=request_id,
            deadline_ms=numbers["deadline_ms"],
            run_ms=numbers["run_ms"],
            payload=text["payload"],
        )

    def _default_region(self, team: pb.Team) -> str:
        """Return the region of a team's first guarantee, or the entry's own."""
        return team.guarantees[0].region if team.guarantees else self._node.settings.region

    async def _job_of_team(self, request: web.Request) -> Job:
        """Return the job that a request names.

        :raises BadRequestError: the team has no such job.
        :raises LogError: whether the job exists cannot be read.
        """
        team = await self._team(request)
        job = await self._jobs.look_up(request.match_info["job"])
        if job is None or job.accepted.team != team.id:
            raise BadRequestError(404, "unknown_job", "the team has no such job")
        return job

    async def watch_job(self, request: web.Request) -> web.Response:
        """Return a job's state, waiting up to ``wait_ms`` for its end."""
        try:
            job = await self._job_of_team(request)
        except LogError:
            return self._job_not_read()
        text = request.query.get("wait_ms", "0")
        if not re.fullmatch(r"\d{1,9}", text):
            raise BadRequestError(400, "bad_wait", "wait_ms must be a number")
        wait_ms = min(int(text), MAX_WATCH_MS)
        ended = await self._jobs.wait_finished(job.accepted.job_id, wait_ms)
        return web.json_response(self._job_view(ended or job))

    async def cancel_job(self, request: web.Request) -> web.Response:
        """Request the cancellation of a job."""
        try:
            job = await self._job_of_team(request)
        except LogError:
            return self._job_not_read()
        try:
            await self._jobs.cancel(job.accepted.job_id, job.accepted.team)
        except LogError:
            reason = "the wish to cancel was not confirmed; repeat it"
            return error_response(503, "unknown", "not_confirmed", reason, 1000)
        return web.json_response(self._job_view(job), status=202)

    @staticmethod
    def _job_not_read() -> web.Response:
        reason = "whether the job exists cannot be read from the log"
        return error_response(503, "unknown", "not_read", reason, 1000)

    @staticmethod
    def _job_view(job: Job) -> dict[str, object]:
        view: dict[str, object] = {
            "job": job.accepted.job_id,
            "request_id": job.accepted.request_id,
            "kind": job.accepted.kind,
            "region": job.accepted.region,
            "outcome": "open",
        }
        if job.finished is not None:
            view["outcome"] = OUTCOME_NAMES[job.finished.outcome]
            view["reason"] = job.finished.reason
            view["result"] = job.finished.result
        return view
