"""Cancellations and timeouts that arrive when the awaited operation has just ended.

Most tests block the event loop, so that it learns of both at once.
"""

import asyncio
import time

import aiohttp
import pynng
import pytest
from builders import runner

from carawayroute.clock import Clock
from carawayroute.fleet.node import FleetNode
from carawayroute.fleet.relay import PeerError
from carawayroute.pacing import Pacer
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_standins.cluster import free_port_range
from carawayrouted.adapters import HttpEndpoints, HttpLog
from carawayrouted.metrics import Metrics
from carawayrouted.peers import PeerLinks
from carawayrouted.platform.http import HttpPool
from carawayrouted.relay_links import RelayLinks

BLOCKED_S = 0.5
CALL_TIMEOUT_MS = 300


async def ended(task: asyncio.Task) -> bool:
    """Return whether a task ends within 2 s."""
    done, _ = await asyncio.wait([task], timeout=2)
    return bool(done)


class SilentNode:
    """A node without peers that answers their messages.

    It takes the places of the node, its membership, its gossip and the settings of `PeerLinks`.
    """

    instance, region = "own", "south"
    host, list_interval_ms = "127.0.0.1", 1_000

    def __init__(self, peer_port: int) -> None:
        self.peer_port = peer_port
        self.clock = Clock()
        self.gossip = self.membership = self

    def link_targets(self, instance: str, region: str) -> list:
        """Return no peers."""
        return []

    def handle_request(self, request: pb.PeerRequest) -> pb.PeerReply:
        """Return an empty reply."""
        return pb.PeerReply()


def relay_links(port: int) -> RelayLinks:
    """Return the links of an instance on the platform; only empty messages are answered."""

    async def serve(message: bytes) -> bytes:
        if message:
            await asyncio.get_running_loop().create_future()
        return message

    return RelayLinks(f"127.0.0.1:{port}", serve)


def peer_links(port: int) -> PeerLinks:
    """Return the links of a daemon."""
    node = SilentNode(port)
    return PeerLinks(node, node, Metrics(node.clock))


@pytest.mark.parametrize("make_links", (relay_links, peer_links))
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


def test_cancellation_is_kept_when_the_awaited_event_has_just_been_set():
    async def main():
        pacer = Pacer(Clock(), None, None, 10_000, 10_000, 10)

        async def send_messages():
            while True:
                await pacer.wait_to_send("peer", same_region=True)

        sending = asyncio.create_task(send_messages())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        pacer._send_event_by_peer["peer"].set()
        await asyncio.sleep(0)
        sending.cancel()
        assert await ended(sending)

    asyncio.run(main())


async def call_pool(url: str) -> None:
    """Call a server of the platform."""
    pool = HttpPool()
    try:
        await pool.call("GET", url, CALL_TIMEOUT_MS)
    finally:
        await pool.close()


async def call_log(url: str) -> None:
    """Append to the log."""
    async with aiohttp.ClientSession() as session:
        await HttpLog(session, url, CALL_TIMEOUT_MS).append(b"")


async def call_runner(url: str) -> None:
    """Run a request on a runner."""
    endpoints = HttpEndpoints()
    target = runner("r")
    target.address = url.removeprefix("http://")
    try:
        await endpoints.run(target, "a", "k", b"", CALL_TIMEOUT_MS)
    finally:
        await endpoints.close()


@pytest.mark.parametrize("call", (call_pool, call_log, call_runner))
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


class SlowToEnd:
    """A planner that takes a while to end, with the state that its node discards then."""

    term = 1

    async def run(self) -> None:
        """Plan until cancelled."""
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            await asyncio.sleep(0.2)

    def set_read_interval(self, interval_ms: float) -> None:
        """Keep the interval."""

    def reset(self) -> None:
        """Discard nothing."""

    async def reload(self) -> None:
        """Load nothing."""


def test_node_can_be_stopped_while_its_planner_ends():
    """The task that awaited the planner's end took its own cancellation for that end."""

    async def main():
        node = FleetNode.__new__(FleetNode)
        node.planner = node.jobs_follower = node.job_table = SlowToEnd()
        node._planner_task = asyncio.create_task(node.planner.run())
        await asyncio.sleep(0)
        stopping = asyncio.create_task(node._stop_planner())
        await asyncio.sleep(0.1)
        stopping.cancel()
        assert await ended(stopping)
        assert stopping.cancelled()

    asyncio.run(main())
