"""Closing of servers whose connections are idle, half read or just being read."""

import asyncio
import time

import pytest
from aiohttp import web

from carawayrouted.closing import OpenRequests, close_servers
from carawayrouted.exceptions import StoppingError

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
REFUSED_BYTES = 100_000


class SlowServer:
    """A server that reads a body, waits for as many ms as it says, and answers 200.

    Large bodies are refused unread with 413; requests that are ended are answered 504.
    """

    def __init__(self) -> None:
        self.open_requests = OpenRequests()
        self.runner = web.ServerRunner(web.Server(self._handle, handler_cancellation=False))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Start the server if it does not run, and connect to it."""
        if not self.runner.sites:
            await self.runner.setup()
            await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        return await asyncio.open_connection(*self.runner.addresses[0])

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        try:
            async with self.open_requests.entered():
                if request.content_length >= REFUSED_BYTES:
                    return web.Response(status=413)
                await asyncio.sleep(float(await request.read()) / 1000)
                return web.Response()
        except StoppingError:
            return web.Response(status=504)

    async def close(self, wait_ms: float) -> float:
        """Close the server and return the time taken, in s."""
        began_s = time.monotonic()
        await close_servers([self.runner], self.open_requests, wait_ms)
        return time.monotonic() - began_s


def answer_at_close(sent: bytes, wait_ms: float, delay_s: float = 0.1) -> tuple[bytes, float]:
    """Send bytes to a server, close it after a delay, and return its answer and the time taken."""

    async def main():
        server = SlowServer()
        reader, writer = await server.connect()
        writer.write(sent)
        await asyncio.sleep(delay_s)
        duration_s = await server.close(wait_ms)
        async with asyncio.timeout(5):
            answer = await reader.read()
        writer.close()
        return answer[9:12], duration_s

    return asyncio.run(main())


@pytest.mark.parametrize("sent", (b"", HEAD[:20], HEAD % REFUSED_BYTES + b"1"))
def test_connections_without_an_open_request_are_closed_at_once(sent):
    """The rest of a refused body was awaited for up to 10 s, past the grace of the instance."""
    answer, duration_s = answer_at_close(sent, wait_ms=4_000)
    assert answer == (b"413" if sent.endswith(b"1") else b"")
    assert duration_s < 1


def test_open_request_is_answered():
    answer, _ = answer_at_close(HEAD % 4 + b"1000", wait_ms=4_000)
    assert answer == b"200"


@pytest.mark.parametrize("sent", (HEAD % 5 + b"60000", HEAD % 5 + b"6"))
def test_request_that_is_still_open_at_the_end_is_answered_and_closed(sent):
    answer, duration_s = answer_at_close(sent, wait_ms=500)
    assert answer == b"504"
    assert 0.5 <= duration_s < 1.5


def test_request_that_arrives_just_before_is_answered():
    answer, _ = answer_at_close(HEAD % 3 + b"100", wait_ms=4_000, delay_s=0.01)
    assert answer == b"200"
