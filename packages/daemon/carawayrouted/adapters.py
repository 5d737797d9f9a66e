"""The platform over HTTP: log, instance list, workers and runners."""

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

# Every failure that aiohttp and the socket can give while a request is under way.
TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)
WORKER_TIMEOUT_MS = 2_000
CONNECT_TIMEOUT_MS = 1_000
DISCARD_DELAY_S = 60


def _timeout(total_ms: float) -> aiohttp.ClientTimeout:
    connect_s = min(total_ms, CONNECT_TIMEOUT_MS) / 1000
    return aiohttp.ClientTimeout(total=total_ms / 1000, sock_connect=connect_s)


def _never_sent(error: Exception) -> bool:
    """Return whether the connection was not made, so that no byte was sent."""
    return isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError)


class HttpLog:
    """The log service.

    :param timeout_ms: longest wait for an answer beyond the wait that a read asks for.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str, timeout_ms: int) -> None:
        self._session = session
        self._url = url.rstrip("/") + "/records"
        self._timeout_ms = timeout_ms

    async def append(self, data: bytes) -> int:
        """Append a record and return its offset."""
        try:
            async with self._session.post(
                self._url, data=data, timeout=_timeout(self._timeout_ms)
            ) as response:
                if response.status == 503:
                    raise LogUnavailableError("the log is out of service")
                if response.status != 200:
                    raise LogUncertainError(f"the log answered {response.status}")
                return (await response.json())["offset"]
        except (*TRANSPORT_ERRORS, ValueError) as error:
            if _never_sent(error):
                raise LogUnavailableError(str(error)) from error
            raise LogUncertainError(str(error)) from error

    async def read(self, offset: int, wait_ms: int, limit: int) -> list[pb.OffsetRecord]:
        """Return records from an offset on."""
        query = {"from": offset, "wait_ms": wait_ms, "limit": limit}
        timeout = _timeout(self._timeout_ms + wait_ms)
        try:
            async with self._session.get(self._url, params=query, timeout=timeout) as response:
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
    """The platform's list of instances."""

    def __init__(self, session: aiohttp.ClientSession, url: str, timeout_ms: int) -> None:
        self._session = session
        self._url = url.rstrip("/") + "/instances"
        self._timeout_ms = timeout_ms
        self._etag = ""
        self._last: list[Instance] = []

    async def read(self) -> list[Instance]:
        """Return all instances."""
        try:
            async with self._session.get(self._url, timeout=_timeout(self._timeout_ms)) as response:
                response.raise_for_status()
                return [Instance(**item) for item in await response.json()]
        except (*TRANSPORT_ERRORS, ValueError, TypeError) as error:
            raise CarawayrouteError(f"the instance list did not answer: {error}") from error


class HttpWorkers:
    """The platform's workers."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def _order(
        self, worker: Instance, operation: str, holder: str, token: FencingToken, **body
    ):
        url = f"http://{worker.address}/{operation}"
        message = {"holder": holder, "token": token, **body}
        try:
            async with self._session.post(
                url, json=message, timeout=_timeout(WORKER_TIMEOUT_MS)
            ) as response:
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
        """Take or extend a lease."""
        found = await self._order(worker, "lease", holder, token, lease_ms=lease_ms)
        return [Attempt(**item) for item in found]

    async def reserve(
        self, worker: Instance, holder: str, token: FencingToken, attempt: Attempt
    ) -> None:
        """Set accelerators aside."""
        fields = {name: getattr(attempt, name) for name in Attempt.__slots__}
        await self._order(worker, "reserve", holder, token, attempt=fields)

    async def start(
        self,
        worker: Instance,
        holder: str,
        token: FencingToken,
        attempt: Attempt,
        job: pb.JobAccepted,
    ) -> None:
        """Start a reserved part."""
        payload = job.payload or json.dumps({"run_ms": job.run_ms})
        await self._order(
            worker, "start", holder, token, attempt_id=attempt.attempt_id, payload=payload
        )

    async def release(
        self, worker: Instance, holder: str, token: FencingToken, attempt_id: str, checkpoint: bool
    ) -> int:
        """Stop a part."""
        return await self._order(
            worker, "release", holder, token, attempt_id=attempt_id, checkpoint=checkpoint
        )


class HttpEndpoints:
    """Runners, each with a pool of connections that is thrown away when one goes silent."""

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
        """Use none of a runner's idle connections again; the busy ones end by themselves."""
        session = self._sessions_by_runner.pop(f"{runner.id}@{runner.address}", None)
        if session is not None:
            self._tasks.start(_close_later(session), f"close {runner.id}")

    async def close(self) -> None:
        """Close every connection."""
        await self._tasks.cancel()
        for session in self._sessions_by_runner.values():
            await session.close()

    async def run(
        self, runner: Instance, attempt_id: str, kind: str, body: bytes, timeout_ms: float
    ) -> Answer:
        """Send a request and return its whole answer."""
        headers = {"Attempt-Id": attempt_id, "Kind": kind}
        log.debug("attempt_sent", attempt=attempt_id, runner=runner.id)
        try:
            async with self._session(runner).post(
                f"http://{runner.address}/run",
                data=body,
                headers=headers,
                timeout=_timeout(timeout_ms),
            ) as response:
                return _whole_answer(response, await response.read(), attempt_id)
        except asyncio.CancelledError:
            self._discard(runner)
            raise
        except TRANSPORT_ERRORS as error:
            self._discard(runner)
            log.info("attempt_failed", attempt=attempt_id, runner=runner.id, error=repr(error))
            if _never_sent(error):
                raise EndpointNotReachedError(f"{runner.id}: {error}") from error
            raise EndpointUncertainError(f"{runner.id}: {error!r}") from error


def _whole_answer(response: aiohttp.ClientResponse, body: bytes, attempt_id: str) -> Answer:
    """Return the answer after checking that it is whole and belongs to the attempt."""
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
    """Close a session once the requests on it had time to end."""
    try:
        await asyncio.sleep(DISCARD_DELAY_S)
    finally:
        await session.close()
