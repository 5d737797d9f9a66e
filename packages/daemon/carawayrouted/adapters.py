"""HTTP clients for the log, the instance list, workers and runners."""

import asyncio
import base64
import hashlib
import json

import aiohttp

from carawayroute.exceptions import (
    CarawayrouteError,
    EndpointLeavingError,
    EndpointNotReachedError,
    EndpointUncertainError,
    LogError,
    LogExpiredError,
    LogUnavailableError,
    LogUncertainError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from carawayroute.misc import TaskGroup
from carawayroute.types import Answer, Attempt, FencingToken, Instance
from carawayroute_schema import carawayroute_pb2 as pb
from carawayrouted.logs import get_logger

log = get_logger()

# Exceptions that aiohttp and sockets raise during a request.
TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)
WORKER_TIMEOUT_MS = 2_000
CONNECT_TIMEOUT_MS = 1_000
DISCARD_DELAY_S = 60


def _connect_timeout(total_ms: float) -> aiohttp.ClientTimeout:
    """Return the limit for connecting alone.

    The limit for the whole request is an ``asyncio.timeout``: aiohttp's own drops a cancellation
    that arrives as it expires.
    """
    connect_s = min(total_ms, CONNECT_TIMEOUT_MS) / 1000
    return aiohttp.ClientTimeout(total=None, sock_connect=connect_s)


def _is_connect_failure(error: Exception) -> bool:
    """Return whether connecting failed, which means that nothing was sent."""
    return isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError)


class HttpLog:
    """Client of the log service.

    :param url: base URL of the service.
    :param timeout_ms: request timeout; a read adds its own ``wait_ms`` to it.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str, timeout_ms: int) -> None:
        self._session = session
        self._url = url.rstrip("/") + "/records"
        self._timeout_ms = timeout_ms

    async def append(self, data: bytes) -> int:
        """Append a record and return its offset.

        :raises LogUnavailableError: the record was not stored.
        :raises LogUncertainError: the record may have been stored.
        """
        try:
            async with (
                asyncio.timeout(self._timeout_ms / 1000),
                self._session.post(
                    self._url, data=data, timeout=_connect_timeout(self._timeout_ms)
                ) as response,
            ):
                if response.status == 503:
                    raise LogUnavailableError("the log is out of service")
                if response.status != 200:
                    raise LogUncertainError(f"the log answered {response.status}")
                return (await response.json())["offset"]
        except (*TRANSPORT_ERRORS, ValueError) as error:
            if _is_connect_failure(error):
                raise LogUnavailableError(str(error)) from error
            raise LogUncertainError(str(error)) from error

    async def read(self, offset: int, wait_ms: int, limit: int) -> list[pb.OffsetRecord]:
        """Return records from an offset on.

        :param wait_ms: how long the service waits for a record if there is none yet.
        :param limit: maximum number of records.
        :raises LogExpiredError: the log no longer has the offset.
        :raises LogError: the request failed.
        """
        query = {"from": offset, "wait_ms": wait_ms, "limit": limit}
        timeout_ms = self._timeout_ms + wait_ms
        try:
            async with (
                asyncio.timeout(timeout_ms / 1000),
                self._session.get(
                    self._url, params=query, timeout=_connect_timeout(timeout_ms)
                ) as response,
            ):
                if response.status == 410:
                    raise LogExpiredError((await response.json())["earliest"])
                if response.status != 200:
                    raise LogError(f"the log answered {response.status}")
                found = await response.json()
        except (*TRANSPORT_ERRORS, ValueError) as error:
            raise LogError(str(error)) from error
        return [
            pb.OffsetRecord(
                offset=item["offset"],
                appended_ms=item["appended_ms"],
                data=base64.b64decode(item["data"]),
            )
            for item in found["records"]
        ]


class HttpInstanceList:
    """Client of the platform's list of instances.

    :param url: base URL of the service.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str, timeout_ms: int) -> None:
        self._session = session
        self._url = url.rstrip("/") + "/instances"
        self._timeout_ms = timeout_ms
        self._etag = ""
        self._last: list[Instance] = []

    async def read(self) -> list[Instance]:
        """Return all instances.

        :raises CarawayrouteError: the request failed or the answer cannot be decoded.
        """
        try:
            async with (
                asyncio.timeout(self._timeout_ms / 1000),
                self._session.get(
                    self._url, timeout=_connect_timeout(self._timeout_ms)
                ) as response,
            ):
                response.raise_for_status()
                return [Instance(**item) for item in await response.json()]
        except (*TRANSPORT_ERRORS, ValueError, TypeError) as error:
            raise CarawayrouteError(f"the instance list did not answer: {error}") from error


class HttpWorkers:
    """Client of the platform's workers.

    Every call raises ``WorkerRefusedError`` if the worker refuses it, and
    ``WorkerUnreachableError`` if it fails otherwise.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def _post(
        self, worker: Instance, operation: str, holder: str, token: FencingToken, **body
    ):
        url = f"http://{worker.address}/{operation}"
        message = {"holder": holder, "token": token, **body}
        try:
            async with (
                asyncio.timeout(WORKER_TIMEOUT_MS / 1000),
                self._session.post(
                    url, json=message, timeout=_connect_timeout(WORKER_TIMEOUT_MS)
                ) as response,
            ):
                answer = await response.json()
                if response.status == 409:
                    raise WorkerRefusedError(answer["reason"])
                if response.status != 200:
                    raise WorkerUnreachableError(f"{worker.id} answered {response.status}")
                return answer
        except (*TRANSPORT_ERRORS, ValueError) as error:
            raise WorkerUnreachableError(f"{worker.id}: {error}") from error

    async def renew(
        self, worker: Instance, holder: str, token: FencingToken, lease_ms: int
    ) -> list[Attempt]:
        """Take or extend a lease and return the worker's attempts."""
        found = await self._post(worker, "lease", holder, token, lease_ms=lease_ms)
        return [Attempt(**item) for item in found]

    async def reserve(
        self, worker: Instance, holder: str, token: FencingToken, attempt: Attempt
    ) -> None:
        """Reserve accelerators for a part of a gang."""
        fields = {name: getattr(attempt, name) for name in Attempt.__slots__}
        await self._post(worker, "reserve", holder, token, attempt=fields)

    async def start(
        self,
        worker: Instance,
        holder: str,
        token: FencingToken,
        attempt: Attempt,
        job: pb.JobAccepted,
    ) -> None:
        """Start a reserved part of a gang."""
        payload = job.payload or json.dumps({"run_ms": job.run_ms})
        await self._post(
            worker, "start", holder, token, attempt_id=attempt.attempt_id, payload=payload
        )

    async def release(
        self, worker: Instance, holder: str, token: FencingToken, attempt_id: str, checkpoint: bool
    ) -> int:
        """Stop a part of a gang.

        :param checkpoint: whether the worker saves a checkpoint first.
        """
        return await self._post(
            worker, "release", holder, token, attempt_id=attempt_id, checkpoint=checkpoint
        )


class HttpEndpoints:
    """Client of runners with one connection pool for each.

    A pool is replaced after a failed or cancelled request, since its other connections may be
    dead as well.
    """

    def __init__(self) -> None:
        self._sessions_by_runner: dict[str, aiohttp.ClientSession] = {}
        self._tasks = TaskGroup()

    def _session(self, runner: Instance) -> aiohttp.ClientSession:
        key = f"{runner.id}@{runner.address}"
        session = self._sessions_by_runner.get(key)
        if session is None or session.closed:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=15)
            session = aiohttp.ClientSession(connector=connector)
            self._sessions_by_runner[key] = session
        return session

    def _discard(self, runner: Instance) -> None:
        """Replace a runner's pool and close it once its pending requests have had time to end."""
        session = self._sessions_by_runner.pop(f"{runner.id}@{runner.address}", None)
        if session is not None:
            self._tasks.start(_close_later(session), f"close {runner.id}")

    async def close(self) -> None:
        """Close all connections."""
        await self._tasks.cancel()
        for session in self._sessions_by_runner.values():
            await session.close()

    async def run(
        self, runner: Instance, attempt_id: str, kind: str, body: bytes, timeout_ms: float
    ) -> Answer:
        """Send a request and return its complete answer.

        :raises EndpointLeavingError: the runner is shutting down and did not run the request.
        :raises EndpointNotReachedError: the runner did not receive or accept the request.
        :raises EndpointUncertainError: the runner may have run the request.
        """
        headers = {"Attempt-Id": attempt_id, "Kind": kind}
        log.debug("attempt_sent", attempt=attempt_id, runner=runner.id)
        try:
            async with (
                asyncio.timeout(timeout_ms / 1000),
                self._session(runner).post(
                    f"http://{runner.address}/run",
                    data=body,
                    headers=headers,
                    timeout=_connect_timeout(timeout_ms),
                ) as response,
            ):
                return _verified_answer(response, await response.read(), attempt_id)
        except asyncio.CancelledError:
            self._discard(runner)
            raise
        except TRANSPORT_ERRORS as error:
            self._discard(runner)
            log.info("attempt_failed", attempt=attempt_id, runner=runner.id, error=repr(error))
            if _is_connect_failure(error):
                raise EndpointNotReachedError(f"{runner.id}: {error}") from error
            raise EndpointUncertainError(f"{runner.id}: {error!r}") from error


def _verified_answer(response: aiohttp.ClientResponse, body: bytes, attempt_id: str) -> Answer:
    """Return the answer after checking that it is complete and belongs to the attempt."""
    if response.status == 503:
        if response.headers.get("Runner-State") == "leaving":
            raise EndpointLeavingError("the runner is leaving")
        raise EndpointNotReachedError("the runner did not take the request")
    if response.headers.get("Attempt-Id") != attempt_id:
        raise EndpointUncertainError("the answer belongs to another attempt")
    digest = response.headers.get("Content-Digest")
    if digest != hashlib.sha256(body).hexdigest():
        raise EndpointUncertainError("the answer is not whole")
    if response.status != 200:
        raise EndpointUncertainError(f"the runner answered {response.status}")
    return Answer(200, body, response.headers.get("Content-Type", "application/octet-stream"))


async def _close_later(session: aiohttp.ClientSession) -> None:
    """Close a session after ``DISCARD_DELAY_S``."""
    try:
        await asyncio.sleep(DISCARD_DELAY_S)
    finally:
        await session.close()
