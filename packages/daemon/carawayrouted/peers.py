"""Links to the other daemons over pynng: one task for each peer and each serving context."""

import asyncio

import pynng
from google.protobuf.message import DecodeError

from carawayroute.misc import TaskGroup
from carawayroute.node import Node
from carawayroute.types import Instance
from carawayroute_schema import carawayroute_pb2 as pb
from carawayrouted.logs import get_logger
from carawayrouted.metrics import Metrics
from carawayrouted.nng import cancellable, listen
from carawayrouted.settings import Settings

SERVING_CONTEXTS = 8
RETRY_MS = 40

log = get_logger()


class PeerLinks:
    """Exchange gossip with the listed daemons and answer their requests."""

    def __init__(self, settings: Settings, node: Node, metrics: Metrics) -> None:
        self._settings = settings
        self._node = node
        self._clock = node.clock
        self._gossip = node.gossip
        self._membership = node.membership
        self._metrics = metrics
        self._tasks = TaskGroup()
        self._links_by_peer: dict[str, asyncio.Task] = {}
        self._server: pynng.Rep0 | None = None

    async def run(self) -> None:
        """Serve peers and maintain links to the listed ones until cancelled."""
        self._server = await listen(f"{self._settings.host}:{self._settings.peer_port}")
        contexts = [self._server.new_context() for _ in range(SERVING_CONTEXTS)]
        for context in contexts:
            self._tasks.start(self._serve(context), "serve peers")
        try:
            while True:
                self._update_links()
                await self._clock.sleep_ms(self._settings.list_interval_ms)
        finally:
            await self._tasks.cancel()
            for context in contexts:
                context.close()
            self._server.close()

    def _update_links(self) -> None:
        """Start links to new peers and end those to peers that are no longer listed."""
        settings = self._settings
        targets = self._membership.link_targets(settings.instance, settings.region)
        wanted = {f"{entry.id}@{entry.peer_address}": entry for entry in targets}
        for key in list(self._links_by_peer):
            if key not in wanted or self._links_by_peer[key].done():
                self._links_by_peer.pop(key).cancel()
        for key, entry in wanted.items():
            if key not in self._links_by_peer:
                self._links_by_peer[key] = self._tasks.start(self._run_link(entry), f"link {key}")

    async def _serve(self, context: pynng.Context) -> None:
        while True:
            try:
                data = await cancellable(context.arecv())
                request = pb.PeerRequest.FromString(data)
                reply = self._gossip.handle_request(request).SerializeToString()
                await cancellable(context.asend(reply))
            except (pynng.NNGException, DecodeError) as error:
                log.warning("peer_request_failed", error=str(error))
                await self._clock.sleep_ms(RETRY_MS)
                continue
            self._count(received=len(data), sent=len(reply))

    async def _run_link(self, peer: Instance) -> None:
        """Exchange messages with one peer, reconnecting after a time-out or an error."""
        while True:
            socket = pynng.Req0(
                recv_timeout=self._settings.peer_timeout_ms,
                send_timeout=self._settings.peer_timeout_ms,
                resend_time=-1,
            )
            try:
                socket.dial(f"tcp://{peer.peer_address}", block=False)
                await self._exchange(socket, peer)
            except (pynng.NNGException, DecodeError) as error:
                log.debug("peer_link_closed", peer=peer.id, error=str(error))
            finally:
                socket.close()
            await self._clock.sleep_ms(self._settings.gossip_interval_ms)

    async def _exchange(self, socket: pynng.Req0, peer: Instance) -> None:
        """Send gossip and take in replies until a time-out or another error is raised."""
        same_region = peer.region == self._settings.region
        while True:
            message = self._gossip.make_request(peer.id, same_region).SerializeToString()
            await cancellable(socket.asend(message))
            data = await cancellable(socket.arecv())
            self._gossip.handle_reply(pb.PeerReply.FromString(data))
            self._count(received=len(data), sent=len(message))
            await self._node.pacer.wait_to_send(peer.id, same_region)

    def _count(self, received: int, sent: int) -> None:
        self._metrics.peer_bytes.labels("received").inc(received)
        self._metrics.peer_bytes.labels("sent").inc(sent)
