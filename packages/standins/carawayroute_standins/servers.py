"""Serves the stand-ins over HTTP: ``python -m carawayroute_standins.servers``."""

import asyncio
import base64
import signal
from collections.abc import Awaitable, Callable

import fire
from aiohttp import web

from carawayroute.clock import Clock
from carawayroute.exceptions import (
    CarawayrouteError,
    LogExpiredError,
    LogUncertainError,
    WorkerRefusedError,
)
from carawayroute.types import Attempt, Instance
from carawayroute_standins.instances import InstanceTable
from carawayroute_standins.journal import Journal
from carawayroute_standins.logstore import LogStore
from carawayroute_standins.runner import RunnerModel
from carawayroute_standins.worker import WorkerModel

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
MAX_BODY_BYTES = 32 * 1024 * 1024


def control_handler(model: object) -> Handler:
    """Return a handler that sets attributes of a stand-in, such as its mode."""

    async def control(request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            if not hasattr(model, name):
                raise web.HTTPBadRequest(text=name)
            setattr(model, name, value)
        return web.json_response({})

    return control


def journal_handler(journal: Journal) -> Handler:
    """Return a handler that responds with the journal entries as JSON."""

    async def show(request: web.Request) -> web.Response:
        return web.json_response([entry.as_dict() for entry in journal.entries])

    return show


def log_app(store: LogStore) -> web.Application:
    """Return an HTTP application that serves a log store."""

    async def append(request: web.Request) -> web.StreamResponse:
        try:
            offset = await store.append(await request.read())
        except LogUncertainError:
            request.transport.abort()
            return web.Response()
        except CarawayrouteError as error:
            raise web.HTTPServiceUnavailable(text=str(error)) from error
        return web.json_response({"offset": offset})

    async def read(request: web.Request) -> web.Response:
        query = request.query
        offset, wait_ms, limit = (int(query[name]) for name in ("from", "wait_ms", "limit"))
        try:
            records = await store.read(offset, wait_ms, limit)
        except LogExpiredError as error:
            return web.json_response({"earliest": error.earliest}, status=410)
        except CarawayrouteError as error:
            raise web.HTTPServiceUnavailable(text=str(error)) from error
        shown = [
            {
                "offset": stored.offset,
                "appended_ms": stored.appended_ms,
                "data": base64.b64encode(stored.data).decode(),
            }
            for stored in records
        ]
        return web.json_response({"records": shown})

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_post("/records", append)
    app.router.add_get("/records", read)
    app.router.add_post("/control", control_handler(store))
    return app


def instances_app(table: InstanceTable) -> web.Application:
    """Return an HTTP application that serves an instance list."""

    async def read(request: web.Request) -> web.Response:
        if table.down:
            raise web.HTTPServiceUnavailable()
        etag = table.version()
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        shown = [
            {name: getattr(instance, name) for name in Instance.__slots__}
            for instance in table.read()
        ]
        return web.json_response(shown, headers={"ETag": etag})

    async def put(request: web.Request) -> web.Response:
        table.set(*(Instance(**item) for item in await request.json()))
        return web.json_response({})

    async def remove(request: web.Request) -> web.Response:
        table.remove(request.match_info["id"])
        return web.json_response({})

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_get("/instances", read)
    app.router.add_put("/instances", put)
    app.router.add_delete("/instances/{id}", remove)
    app.router.add_post("/control", control_handler(table))
    return app


def attempt_as_dict(attempt: Attempt) -> dict[str, object]:
    """Return the JSON representation of an attempt."""
    return {name: getattr(attempt, name) for name in Attempt.__slots__}


def worker_app(worker: WorkerModel) -> web.Application:
    """Return an HTTP application that serves a worker."""

    def perform(operation: str, body: dict) -> object:
        holder, token = body["holder"], tuple(body["token"])
        if operation == "lease":
            attempts = worker.renew(holder, token, body["lease_ms"])
            return [attempt_as_dict(attempt) for attempt in attempts]
        if operation == "reserve":
            return worker.reserve(holder, token, Attempt(**body["attempt"]))
        if operation == "start":
            return worker.start(holder, token, body["attempt_id"], body["payload"])
        if operation == "throttle":
            return worker.throttle(holder, token, body["attempt_id"], body["speed"])
        return worker.release(holder, token, body["attempt_id"], body["checkpoint"])

    async def handle(request: web.Request) -> web.Response:
        try:
            result = perform(request.match_info["operation"], await request.json())
        except WorkerRefusedError as error:
            return web.json_response({"reason": str(error)}, status=409)
        return web.json_response(result)

    app = web.Application()
    app.router.add_post("/{operation:lease|reserve|start|throttle|release}", handle)
    app.router.add_post("/control", control_handler(worker))
    app.router.add_get("/journal", journal_handler(worker.journal))
    return app


def runner_app(runner: RunnerModel) -> web.Application:
    """Return an HTTP application that serves a runner."""

    async def run(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        answer = await runner.run(request.headers["Attempt-Id"], request.headers["Kind"], body)
        headers = {
            "Attempt-Id": answer.attempt_id,
            "Content-Digest": answer.digest,
            "Content-Length": str(answer.length),
            "Content-Type": "application/json",
        }
        if answer.status == 503:
            headers["Runner-State"] = "leaving"
        response = web.StreamResponse(status=answer.status, headers=headers)
        await response.prepare(request)
        await response.write(answer.body)
        if len(answer.body) < answer.length:
            request.transport.abort()
        return response

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_post("/run", run)
    app.router.add_post("/control", control_handler(runner))
    app.router.add_get("/journal", journal_handler(runner.journal))
    return app


async def serve(apps: list[web.Application], host: str, port: int) -> None:
    """Serve the applications on consecutive ports until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    runners = []
    for index, app in enumerate(apps):
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, host, port + index).start()
        runners.append(runner)
    await stop.wait()
    for runner in runners:
        await runner.cleanup()


def make_instances(
    role: str, host: str, port: int, prefix: str, count: int, capacity: int
) -> list[Instance]:
    """Return instances that are numbered from 0, on consecutive ports."""
    return [
        Instance(f"{prefix}-{index}", role, "", f"{host}:{port + index}", capacity=capacity)
        for index in range(count)
    ]


async def serve_instances(
    instances: list[Instance],
    make_app: Callable[[Instance, Journal, Clock], web.Application],
    host: str,
    port: int,
) -> None:
    """Serve instances in one process with a shared journal."""
    clock = Clock()
    journal = Journal(clock)
    await serve([make_app(instance, journal, clock) for instance in instances], host, port)


class Commands:
    """Start a stand-in."""

    def log(self, port: int, retention_ms: int = 3_600_000, host: str = "127.0.0.1") -> None:
        """Serve the log."""

        async def main() -> None:
            await serve([log_app(LogStore(Clock(), retention_ms))], host, port)

        asyncio.run(main())

    def instances(self, port: int, lag_ms: int = 0, host: str = "127.0.0.1") -> None:
        """Serve the instance list."""

        async def main() -> None:
            await serve([instances_app(InstanceTable(Clock(), lag_ms))], host, port)

        asyncio.run(main())

    def workers(
        self, port: int, prefix: str, count: int, accelerators: int = 8, host: str = "127.0.0.1"
    ) -> None:
        """Serve workers on consecutive ports."""
        instances = make_instances("worker", host, port, prefix, count, accelerators)

        def make_app(instance: Instance, journal: Journal, clock: Clock) -> web.Application:
            return worker_app(WorkerModel(instance, journal, clock))

        asyncio.run(serve_instances(instances, make_app, host, port))

    def runners(
        self, port: int, prefix: str, count: int, slots: int = 8, host: str = "127.0.0.1"
    ) -> None:
        """Serve runners on consecutive ports."""
        instances = make_instances("runner", host, port, prefix, count, slots)

        def make_app(instance: Instance, journal: Journal, clock: Clock) -> web.Application:
            return runner_app(RunnerModel(instance, journal, clock))

        asyncio.run(serve_instances(instances, make_app, host, port))


if __name__ == "__main__":
    fire.Fire(Commands)
