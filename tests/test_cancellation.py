"""Cancellations and timeouts that arrive when the awaited operation has just ended.

Most tests block the event loop, so that it learns of both at once.
"""

import asyncio
import time

import pynng
import pytest

from carawayroute.fleet.relay import PeerError
from carawayroute_standins.cluster import free_port_range
from carawayrouted.platform.http import HttpPool
from carawayrouted.relay_links import RelayLinks

BLOCKED_S = 0.5
CALL_TIMEOUT_MS = 300


async def ended(task: asyncio.Task) -> bool:
    """Return whether a task ends within 2 s."""
    done, _ = await asyncio.wait([task], timeout=2)
    return bool(done)


def relay_links(port: int) -> RelayLinks:
    """Return the links of an instance on the platform; only empty messages are answered."""

    async def serve(message: bytes) -> bytes:
        if message:
            await asyncio.get_running_loop().create_future()
        return message

    return RelayLinks(f"127.0.0.1:{port}", serve)


@pytest.mark.parametrize("make_links", (relay_links,))
def test_links_end_when_a_message_arrives_as_they_are_stopped(make_links):
    """A daemon did not end after SIGTERM, as a task that went on was waited for."""

    async def main():
        port = free_port_range()
        serving = asyncio.create_task(make_links(port).run())
        await asyncio.sleep(0.1)
        with pynng.Req0(dial=f"tcp://127.0.0.1:{port}") as peer:
            peer.send(b"")
            time.sleep(BLOCKED_S)
            serving.cancel()
            assert await ended(serving)

    asyncio.run(main())


def test_request_that_is_sent_at_its_timeout_ends():
    """The timeout had no effect, and the reply of a silent peer was awaited for ever."""

    async def main():
        port = free_port_range()
        links = relay_links(port)
        serving = asyncio.create_task(links.run())
        await links.ask(f"127.0.0.1:{port}", b"", 2_000)
        asking = asyncio.create_task(links.ask(f"127.0.0.1:{port}", b"request", CALL_TIMEOUT_MS))
        await asyncio.sleep(0)
        time.sleep(BLOCKED_S)
        assert await ended(asking)
        assert isinstance(asking.exception(), PeerError)
        serving.cancel()
        await asyncio.wait([serving])

    asyncio.run(main())


async def call_pool(url: str) -> None:
    """Call a server of the platform."""
    pool = HttpPool()
    try:
        await pool.call("GET", url, CALL_TIMEOUT_MS)
    finally:
        await pool.close()


@pytest.mark.parametrize("call", (call_pool,))
def test_cancellation_is_kept_when_a_call_times_out(call):
    """The call ended as timed out, and its task went on."""

    async def never_answer(reader, writer):
        await reader.read()
        writer.close()

    async def main():
        server = await asyncio.start_server(never_answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        calling = asyncio.create_task(call(f"http://{host}:{port}"))
        await asyncio.sleep(0.1)
        asyncio.get_running_loop().call_later(CALL_TIMEOUT_MS / 1000, calling.cancel)
        time.sleep(BLOCKED_S)
        assert await ended(calling)
        server.close()
        assert calling.cancelled(), calling.exception()

    asyncio.run(main())
