"""HTTP adapters of the daemon, tested against the stand-in servers over loopback."""

import asyncio

import aiohttp
import pytest
from aiohttp import web
from builders import job, runner, worker

from carawayroute.clock import Clock
from carawayroute.exceptions import (
    EndpointLeavingError,
    EndpointNotReachedError,
    EndpointUncertainError,
    LogExpiredError,
    LogUnavailableError,
    LogUncertainError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from carawayroute.types import Attempt
from carawayroute_standins.journal import Journal
from carawayroute_standins.logstore import LogStore
from carawayroute_standins.runner import RunnerModel
from carawayroute_standins.servers import log_app, runner_app, worker_app
from carawayroute_standins.worker import WorkerModel
from carawayrouted.adapters import HttpEndpoints, HttpLog, HttpWorkers

TOKEN = (1, 0)
BODY = b'{"request": "r1", "run_ms": 5}'


class AppServer:
    """Serves an application on a free port of the loopback interface.

    :ivar address: ``host:port``, set on entry.
    """

    def __init__(self, app: web.Application) -> None:
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        self.address = ""

    async def __aenter__(self) -> "AppServer":
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *details: object) -> None:
        await self._runner.cleanup()


async def with_log(store: LogStore, check) -> None:
    """Serve a store and run a check with a log adapter for it."""
    async with AppServer(log_app(store)) as site, aiohttp.ClientSession() as session:
        await check(HttpLog(session, f"http://{site.address}", 500))


def test_log_appends_and_reads() -> None:
    async def check(log: HttpLog) -> None:
        assert await log.append(b"one") == 0
        assert await log.append(b"two") == 1
        records = await log.read(1, 100, 10)
        assert [(item.offset, item.data) for item in records] == [(1, b"two")]

    asyncio.run(with_log_store(check))


async def with_log_store(check, mode: str = "up") -> None:
    """Run a check with a log adapter for a new store in the given mode."""
    store = LogStore(Clock())
    store.mode = mode
    await with_log(store, check)


def test_append_to_unavailable_log_raises_unavailable() -> None:
    async def check(log: HttpLog) -> None:
        with pytest.raises(LogUnavailableError):
            await log.append(b"one")

    asyncio.run(with_log_store(check, "down"))


def test_append_with_lost_answer_raises_uncertain() -> None:
    async def check(log: HttpLog) -> None:
        with pytest.raises(LogUncertainError):
            await log.append(b"one")

    asyncio.run(with_log_store(check, "lose_answers"))


def test_append_timeout_raises_uncertain() -> None:
    async def main() -> None:
        store = LogStore(Clock())
        store.mode, store.slow_ms = "slow", 2_000
        await with_log(store, check)

    async def check(log: HttpLog) -> None:
        with pytest.raises(LogUncertainError):
            await log.append(b"one")

    asyncio.run(main())


def test_append_without_connection_raises_unavailable() -> None:
    async def main() -> None:
        async with aiohttp.ClientSession() as session:
            with pytest.raises(LogUnavailableError):
                await HttpLog(session, "http://127.0.0.1:9", 500).append(b"one")

    asyncio.run(main())


def test_read_of_expired_offset_reports_earliest_offset() -> None:
    async def main() -> None:
        store = LogStore(Clock())
        await store.append(b"one")
        store.expire_all()
        await with_log(store, check)

    async def check(log: HttpLog) -> None:
        with pytest.raises(LogExpiredError) as caught:
            await log.read(0, 0, 10)
        assert caught.value.earliest == 1

    asyncio.run(main())


async def send_to_runner(mode: str, timeout_ms: float = 500):
    """Send a request to a runner in the given mode and return its answer.

    Mode ``cross`` answers with an earlier attempt, so one is sent first.
    """
    model = RunnerModel(runner("r"), Journal(Clock()), Clock())
    endpoints = HttpEndpoints()
    async with AppServer(runner_app(model)) as site:
        target = runner("r")
        target.address = site.address
        try:
            if mode == "cross":
                await endpoints.run(target, "a0", "k", b'{"request": "r0"}', timeout_ms)
            model.mode = mode
            return await endpoints.run(target, "a1", "k", BODY, timeout_ms)
        finally:
            await endpoints.close()


def test_complete_answer_is_returned() -> None:
    answer = asyncio.run(send_to_runner("up"))
    assert answer.status == 200
    assert b'"request": "r1"' in answer.body


@pytest.mark.parametrize("mode", ["truncate", "cross", "silent", "fail"])
def test_invalid_or_missing_answer_raises_uncertain(mode: str) -> None:
    with pytest.raises(EndpointUncertainError):
        asyncio.run(send_to_runner(mode))


def test_leaving_runner_raises_leaving() -> None:
    with pytest.raises(EndpointLeavingError):
        asyncio.run(send_to_runner("leaving"))


def test_refused_connection_raises_not_reached() -> None:
    async def main() -> None:
        target = runner("r")
        target.address = "127.0.0.1:9"
        endpoints = HttpEndpoints()
        try:
            with pytest.raises(EndpointNotReachedError):
                await endpoints.run(target, "a1", "k", BODY, 500)
        finally:
            await endpoints.close()

    asyncio.run(main())


def test_timeout_discards_connections_of_runner() -> None:
    async def main() -> None:
        model = RunnerModel(runner("r"), Journal(Clock()), Clock())
        endpoints = HttpEndpoints()
        async with AppServer(runner_app(model)) as site:
            target = runner("r")
            target.address = site.address
            await endpoints.run(target, "a0", "k", BODY, 500)
            model.mode = "silent"
            with pytest.raises(EndpointUncertainError):
                await endpoints.run(target, "a1", "k", BODY, 100)
            assert not endpoints._sessions_by_runner
            model.mode = "up"
            assert (await endpoints.run(target, "a2", "k", BODY, 500)).status == 200
            await endpoints.close()

    asyncio.run(main())


def test_worker_refuses_another_lease_holder() -> None:
    async def main() -> None:
        model = WorkerModel(worker("w"), Journal(Clock()), Clock())
        async with AppServer(worker_app(model)) as site, aiohttp.ClientSession() as session:
            target = worker("w")
            target.address = site.address
            workers = HttpWorkers(session)
            assert await workers.renew(target, "a", TOKEN, 5_000) == []
            part = Attempt("g1", "j1", "w", 8, 1)
            await workers.reserve(target, "a", TOKEN, part)
            await workers.start(target, "a", TOKEN, part, job(run_ms=10_000))
            [found] = await workers.renew(target, "a", TOKEN, 5_000)
            assert (found.status, found.accelerators) == ("running", 8)
            with pytest.raises(WorkerRefusedError):
                await workers.release(target, "b", TOKEN, "g1", False)
            assert await workers.release(target, "a", TOKEN, "g1", True) >= 0
            assert model.free() == 8

    asyncio.run(main())


def test_refused_connection_raises_worker_unreachable() -> None:
    async def main() -> None:
        async with aiohttp.ClientSession() as session:
            target = worker("w")
            target.address = "127.0.0.1:9"
            with pytest.raises(WorkerUnreachableError):
                await HttpWorkers(session).renew(target, "a", TOKEN, 5_000)

    asyncio.run(main())
