"""Serves the emulator's store and runners over the platform's HTTP protocol."""

import base64
import json
import struct

from aiohttp import web

from carawayroute.fleet.exceptions import (
    RunnerRefusedError,
    RunnerUnansweredError,
    StoreConflictError,
    StoreFencedError,
    StoreRefusedError,
    StoreSequenceError,
    StoreTrimmedError,
    StoreUnansweredError,
)
from carawayroute_standins.fleet.taskrunner import TaskRunner
from carawayroute_standins.fleet.topics import StoreClient

DEFAULT_READ_KB = 1_024
INSTANCE_HEADER = "X-Carawayroute-Expected-Instance"


def split_records(body: bytes) -> list[tuple[str, bytes]]:
    """Parse the keyed records in the body of an append request."""
    records = []
    position = 0
    while position < len(body):
        (size,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + size]
        position += 4 + size
        key_size = content[0]
        records.append((content[1 : 1 + key_size].decode(), content[1 + key_size :]))
    return records


class StoreServer:
    """Serves a store over HTTP."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_post("/v1/log-append", self._append)
        app.router.add_get("/v1/log-read", self._read)
        app.router.add_get("/v1/log-newest", self._newest)
        return app

    async def _append(self, request: web.Request) -> web.Response:
        query = request.query
        sequence = query.get("sequence")
        at = query.get("at")
        try:
            appended = await self._store.append(
                query["topic"],
                split_records(await request.read()),
                at=None if at is None else int(at),
                producer=query.get("producer", ""),
                epoch=int(query.get("epoch", 0)),
                sequence=None if sequence is None else int(sequence),
            )
        except StoreConflictError as error:
            return web.json_response({"end": error.end}, status=412)
        except StoreFencedError:
            return web.json_response({"reason": "fenced"}, status=409)
        except StoreSequenceError as error:
            return web.json_response({"reason": "seq", "sequence": error.expected}, status=409)
        except StoreRefusedError:
            return web.Response(status=503)
        except StoreUnansweredError:
            return _abort_connection(request)
        return web.json_response({"offset": appended.offset, "end": appended.end})

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        offset = int(query["from"])
        try:
            found = await self._store.read(
                query["topic"],
                offset,
                int(query.get("wait_ms", 0)),
                int(query.get("max_kb", DEFAULT_READ_KB)),
            )
        except StoreTrimmedError as error:
            return web.json_response({"first": error.first}, status=410)
        except StoreRefusedError:
            return web.Response(status=503)
        except StoreUnansweredError:
            return _abort_connection(request)
        body = struct.pack(">QQ", found.end, self._store.first_offset(query["topic"]))
        for record in found.records:
            key = record.key.encode()
            content = bytes([len(key)]) + key + record.value
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=body, content_type="application/octet-stream")

    async def _newest(self, request: web.Request) -> web.Response:
        try:
            found = await self._store.newest_page(
                request.query["topic"], request.query.get("depends_on", "")
            )
        except StoreRefusedError:
            return web.Response(status=503)
        except StoreUnansweredError:
            return _abort_connection(request)
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in found.records
        ]
        fields = {"items": items, "has_more": found.has_more, "end": found.end}
        return web.json_response(fields)


class RunnerServer:
    """Serves the orders to one runner over HTTP."""

    def __init__(self, runner: TaskRunner) -> None:
        self._runner = runner

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_post("/v1/hold", self._hold)
        app.router.add_post("/v1/run-start", self._start)
        app.router.add_post("/v1/run-stop", self._stop)
        return app

    async def _hold(self, request: web.Request) -> web.Response:
        fields = await request.json()
        try:
            report = await self._runner.hold(
                fields["fencing_token"],
                fields["last_seen"],
                fields.get("deadline_ms", 0),
                fields.get("wait_ms", 0),
                request.headers.get(INSTANCE_HEADER, ""),
            )
        except (RunnerRefusedError, RunnerUnansweredError) as error:
            return self._refused(request, error)
        return web.json_response(
            {
                "clock_ms": report.clock_ms,
                "born": report.boot_ms,
                "running": [
                    [item.task, item.run, item.checkpoint, item.percent] for item in report.running
                ],
                "finished": [
                    [item.number, item.task, item.run, item.outcome, item.checkpoint]
                    for item in report.ended
                ],
            }
        )

    async def _start(self, request: web.Request) -> web.Response:
        fields = await request.json()
        try:
            clock_ms = await self._runner.start(
                fields["fencing_token"],
                fields["task"],
                fields["run_id"],
                fields["spec"],
                fields["deadline_ms"],
                request.headers.get(INSTANCE_HEADER, ""),
            )
        except (RunnerRefusedError, RunnerUnansweredError) as error:
            return self._refused(request, error)
        return web.json_response({"clock_ms": clock_ms})

    async def _stop(self, request: web.Request) -> web.Response:
        fields = await request.json()
        try:
            clock_ms = await self._runner.stop(
                fields["fencing_token"],
                fields["task"],
                fields["run_id"],
                request.headers.get(INSTANCE_HEADER, ""),
            )
        except (RunnerRefusedError, RunnerUnansweredError) as error:
            return self._refused(request, error)
        return web.json_response({"clock_ms": clock_ms})

    def _refused(self, request: web.Request, error: Exception) -> web.Response:
        if isinstance(error, RunnerUnansweredError):
            return _abort_connection(request)
        if error.reason == "boot":
            return web.Response(status=421)
        fields = {"clock_ms": self._runner.clock_ms(), "reason": error.reason}
        return web.Response(status=409, text=json.dumps(fields), content_type="application/json")


def _abort_connection(request: web.Request) -> web.Response:
    """Abort the connection without sending a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=502)
