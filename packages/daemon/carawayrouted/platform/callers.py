"""The callers' HTTP API on the platform: submit, watch, cancel and count jobs."""

import hmac
import json
import math
import re
import time
from collections.abc import Callable

import structlog
from aiohttp import web

from carawayroute.exceptions import CarawayrouteError
from carawayroute.fleet.entry import (
    EntryService,
    NoSuchJobError,
    NotAcceptedError,
    OutcomeUnknownError,
    StateUnknownError,
)
from carawayroute.fleet.exceptions import FormatError
from carawayroute.fleet.types import Configuration, Queue, Team
from carawayroute_schema import records_pb2 as pb
from carawayrouted.closing import OpenRequests
from carawayrouted.exceptions import StoppingError
from carawayrouted.platform import wire_names
from carawayrouted.platform.decoding import (
    MAX_TIME_MS,
    Fields,
    check_object,
    check_whole,
    decode_object,
    parse_decimal,
)

JOB_ID = re.compile(r"[0-9a-f]{16}")
MAX_SPEC_BYTES = 4_000
MAX_STEPS = 100
# The progress of all tasks is one record of the store, which has up to 262,144 bytes.
MAX_TASKS = 9_000
MAX_OCCURRENCES = 10_000
MAX_NUMBER = 2**31 - 1
DEFAULT_WAIT_MS = 3_000
MAX_WAIT_MS = 600_000
KEY_SCHEME = "Bearer "

log = structlog.get_logger()


class BadJobError(CarawayrouteError):
    """The body of a request is not a valid job."""


class CallerApp:
    """Decodes callers' requests and encodes the results.

    :param configuration: returns the configuration in force, or ``None`` if there is none yet.
    :param configuration_is_current: returns whether queues and keys that are not in the
        configuration in force do not exist.
    :param count: called with each request's method, status and duration in ms.
    :param recent_pause_ms: returns for how long a request that is read now may have waited while
        the process was paused.
    :ivar open_requests: requests in progress; those that are ended have an unknown outcome.
    """

    def __init__(
        self,
        service: EntryService,
        configuration: Callable[[], Configuration | None],
        configuration_is_current: Callable[[], bool],
        count: Callable[[str, int, float], None],
        recent_pause_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._service = service
        self._configuration = configuration
        self._configuration_is_current = configuration_is_current
        self._count = count
        self._recent_pause_ms = recent_pause_ms
        self.open_requests = OpenRequests()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one request."""
        arrived_s = time.monotonic()
        try:
            async with self.open_requests.entered():
                response = await self._answer(request)
        except (TimeoutError, StoppingError):
            response = _reply(504)
        except web.HTTPException as error:
            response = _reply(error.status)
        duration_ms = (time.monotonic() - arrived_s) * 1000
        self._count(request.method, response.status, duration_ms)
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        configuration = self._configuration()
        if configuration is None:
            return _reply(503, retry_after_ms=1_000)
        queue = configuration.find_queue(request.host.split(":")[0], request.path)
        if queue is None:
            return self._deny(404, configuration)
        team = self._team(configuration, request)
        if team is None and not queue.public:
            log.info("key_refused", queue=queue.name, version=configuration.version)
            return self._deny(401, configuration)
        rest = request.path[len(queue.prefix) :]
        if rest == "" and request.method == "GET":
            return await self._pending(queue, _wait_ms(request))
        if not JOB_ID.fullmatch(rest):
            return _reply(404)
        return await self._job_call(request, configuration, queue, team, rest)

    async def _job_call(
        self,
        request: web.BaseRequest,
        configuration: Configuration,
        queue: Queue,
        team: Team | None,
        job_id: str,
    ) -> web.Response:
        wait_ms = _wait_ms(request)
        try:
            if request.method == "POST":
                wait_ms -= self._recent_pause_ms()
                if wait_ms <= 0:
                    # The caller has given up, and may have cancelled the job or repeated it.
                    log.info("submission_too_late", job=job_id, wait_ms=round(wait_ms))
                    return _reply(503, retry_after_ms=1_000)
                body = await _read_body(request, configuration.limits.body_bytes)
                if body is None:
                    return _reply(413)
                await self._service.submit(queue, team, decode_job(job_id, body), wait_ms)
                return _reply(200)
            if request.method == "GET":
                return _reply(200, await self._status_fields(job_id, wait_ms))
            if request.method == "DELETE":
                await self._service.cancel(job_id, wait_ms)
                return _reply(200)
        except BadJobError as error:
            log.info("job_malformed", job=job_id, error=str(error))
            return _reply(400)
        except NoSuchJobError:
            return _reply(410)
        except NotAcceptedError as error:
            return _reply(429 if error.overload else 503, retry_after_ms=error.retry_after_ms)
        except OutcomeUnknownError:
            return _reply(504)
        except StateUnknownError:
            return _reply(503, retry_after_ms=1_000)
        return _reply(405)

    async def _status_fields(self, job_id: str, wait_ms: float) -> dict[str, str]:
        """Return the fields of a job's status, with the reason if it failed and that is known."""
        status = await self._service.status(job_id, wait_ms)
        fields = {"state": status.state}
        if status.reason:
            fields["reason"] = status.reason
        return fields

    def _deny(self, status: int, configuration: Configuration) -> web.Response:
        """Answer a request whose queue or key is unknown."""
        if self._configuration_is_current():
            return _reply(status)
        log.info("denial_withheld", status=status, version=configuration.version)
        return _reply(503, retry_after_ms=1_000)

    async def _pending(self, queue: Queue, wait_ms: float) -> web.Response:
        try:
            return _reply(200, {"pending": await self._service.pending(queue, wait_ms)})
        except StateUnknownError:
            return _reply(503, retry_after_ms=1_000)

    @staticmethod
    def _team(configuration: Configuration, request: web.BaseRequest) -> Team | None:
        """Return the team of the caller's key, comparing all keys in constant time."""
        header = request.headers.get("Authorization", "")
        if not header.startswith(KEY_SCHEME):
            return None
        # The server decodes bytes that are not UTF-8 to surrogates.
        given = header[len(KEY_SCHEME) :].strip().encode(errors="surrogateescape")
        if not given:
            return None
        found = None
        for key, team in configuration.teams_by_key.items():
            if hmac.compare_digest(key.encode(), given):
                found = team
        return found


def _wait_ms(request: web.BaseRequest) -> float:
    text = request.headers.get(wire_names.DEADLINE_HEADER, "")
    return parse_decimal(text, 0, MAX_WAIT_MS, DEFAULT_WAIT_MS)


async def _read_body(request: web.BaseRequest, limit: int) -> bytes | None:
    """Return the body, or ``None`` if it is larger than allowed."""
    if request.content_length is not None and request.content_length > limit:
        return None
    body = bytearray()
    async for chunk in request.content.iter_any():
        body.extend(chunk)
        if len(body) > limit:
            return None
    return bytes(body)


def _reply(status: int, fields: dict | None = None, retry_after_ms: float = 0.0) -> web.Response:
    headers = {}
    if retry_after_ms > 0:
        headers["Retry-After"] = str(max(1, math.ceil(retry_after_ms / 1000)))
    body = json.dumps(fields if fields is not None else {}).encode()
    return web.Response(status=status, body=body, headers=headers, content_type="application/json")


def decode_job(job_id: str, body: bytes) -> pb.Job:
    """Decode a job from a request body.

    :raises BadJobError: the body is not a valid job.
    """
    try:
        fields = decode_object(body)
        job = pb.Job(
            id=job_id,
            spec=fields.text("spec", max_bytes=MAX_SPEC_BYTES),
            steps=[
                _decode_step(number, check_object(step, f"step {number}"))
                for number, step in enumerate(fields.items("steps", most=MAX_STEPS))
            ],
            occurrences=fields.whole("repeat_count", 0, MAX_OCCURRENCES, default=0),
            first_due_ms=fields.whole("start_at_ms", 0, MAX_TIME_MS, default=0),
            interval_ms=fields.whole("interval_ms", 0, MAX_TIME_MS, default=0),
        )
    except FormatError as error:
        raise BadJobError(str(error)) from error
    if not job.steps:
        raise BadJobError("the job has no steps")
    if sum(step.count for step in job.steps) > MAX_TASKS:
        raise BadJobError("the job has too many tasks")
    return job


def _decode_step(number: int, fields: Fields) -> pb.Step:
    # A step depends on each earlier one once.
    depends_on = [
        check_whole(one, f"a dependency of step {number}", 0, number - 1)
        for one in fields.items("depends_on", default=[], most=number)
    ]
    return pb.Step(
        count=fields.whole("count", 1, MAX_TASKS),
        cpu_millis=_amount(fields, "cpu"),
        memory_mb=_amount(fields, "mem_mb"),
        accelerators=_amount(fields, "gpu"),
        estimate_ms=_amount(fields, "estimate_ms"),
        depends_on=depends_on,
        gang=fields.flag("gang"),
        same_rack=fields.flag("same_rack"),
        checkpoints=fields.flag("saves_progress"),
        most_per_runner=_amount(fields, "anti_affinity"),
        data_rack=fields.text("affinity", default=""),
        label=fields.text("constraints", default=""),
        long_running=fields.flag("long_running"),
        fills=fields.flag("fills"),
        may_miss=_amount(fields, "may_miss"),
        speculative=fields.flag("speculative"),
    )


def _amount(fields: Fields, name: str) -> int:
    return fields.whole(name, 0, MAX_NUMBER, default=0)
