"""Requests between instances over pynng: several serving contexts, one socket for each peer."""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable

import pynng
import structlog

from carawayroute.fleet.relay import PeerError
from carawayroute.misc import TaskGroup
from carawayrouted.nng import cancellable, listen

# Reads of peers wait for records; relayed calls must find a free context beside them.
SERVING_CONTEXTS = 48
RETRY_S = 0.05

log = structlog.get_logger()


class _PeerSocket:
    """A socket to one peer.

    :ivar requests: number of requests that use the socket.
    :ivar last_reply_s: time of the last reply on the monotonic clock.
    """

    __slots__ = ("last_reply_s", "requests", "socket")

    def __init__(self, address: str) -> None:
        self.socket = pynng.Req0(resend_time=-1)
        self.socket.dial(f"tcp://{address}", block=False)
        self.requests = 0
        self.last_reply_s = -math.inf


class RelayLinks:
    """Answer requests of peers and send requests to them.

    :param address: ``host:port`` to listen on.
    :param serve: returns the reply to a message.
    :ivar failed_calls: number of messages that ``serve`` failed on; they get no reply.
    """

    def __init__(self, address: str, serve: Callable[[bytes], Awaitable[bytes]]) -> None:
        self._address = address
        self._serve = serve
        self._server: pynng.Rep0 | None = None
        self._sockets_by_address: dict[str, _PeerSocket] = {}
        self.failed_calls = 0

    async def run(self) -> None:
        """Answer peers until cancelled."""
        self._server = await listen(self._address)
        contexts = [self._server.new_context() for _ in range(SERVING_CONTEXTS)]
        tasks = TaskGroup()
        try:
            await asyncio.gather(
                *(tasks.start(self._answer(context), "answer peers") for context in contexts)
            )
        finally:
            await tasks.cancel()
            for context in contexts:
                context.close()
            self._server.close()
            for peer in self._sockets_by_address.values():
                peer.socket.close()
            self._sockets_by_address.clear()

    async def _answer(self, context: pynng.Context) -> None:
        while True:
            try:
                message = await cancellable(context.arecv())
                await cancellable(context.asend(await self._serve(message)))
            except pynng.NNGException as error:
                log.warning("peer_request_failed", error=str(error))
                await asyncio.sleep(RETRY_S)
            except Exception as error:
                # One message must not end the serving of all peers.
                self.failed_calls += 1
                log.error("peer_call_failed", exc_info=error)
                await asyncio.sleep(RETRY_S)

    async def ask(self, address: str, message: bytes, timeout_ms: float) -> bytes:
        """Send a message to a peer and return its reply.

        :param address: ``host:port`` of the peer.
        :raises PeerError: no reply came in time, or the connection failed.
        """
        peer = self._sockets_by_address.get(address)
        sent_s = time.monotonic()
        try:
            if peer is None:
                peer = self._sockets_by_address[address] = _PeerSocket(address)
            peer.requests += 1
            try:
                async with asyncio.timeout(timeout_ms / 1000):
                    reply = await self._exchange(peer.socket, message)
                peer.last_reply_s = time.monotonic()
                return reply
            finally:
                peer.requests -= 1
        except (pynng.NNGException, TimeoutError) as error:
            # Without a reply since, the connection may be dead; the next request opens a new one.
            if (
                peer is not None
                and peer.last_reply_s < sent_s
                and self._sockets_by_address.get(address) is peer
            ):
                del self._sockets_by_address[address]
            raise PeerError(f"{address}: {type(error).__name__}") from error
        finally:
            # Other requests may still be answered over the old connection.
            if (
                peer is not None
                and not peer.requests
                and self._sockets_by_address.get(address) is not peer
            ):
                peer.socket.close()

    async def _exchange(self, socket: pynng.Req0, message: bytes) -> bytes:
        context = socket.new_context()
        try:
            await cancellable(context.asend(message))
            return await cancellable(context.arecv())
        finally:
            context.close()
