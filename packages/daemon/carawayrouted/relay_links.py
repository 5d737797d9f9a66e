"""Requests between instances over pynng: several serving contexts, one socket for each peer."""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable

import pynng
import structlog

from carawayroute.fleet.relay import PeerError
from carawayroute.misc import TaskGroup

SERVING_CONTEXTS = 16

log = structlog.get_logger()


class RelayLinks:
    """Answer requests of peers and send requests to them.

    :param address: ``host:port`` to listen on.
    :param serve: returns the reply to a message.
    """

    def __init__(self, address: str, serve: Callable[[bytes], Awaitable[bytes]]) -> None:
        self._address = address
        self._serve = serve
        self._server: pynng.Rep0 | None = None
        self._sockets_by_address: dict[str, pynng.Req0] = {}
        self._last_reply_s_by_address: dict[str, float] = {}

    async def run(self) -> None:
        """Answer peers until cancelled."""
        self._server = pynng.Rep0(listen=f"tcp://{self._address}")
        tasks = TaskGroup()
        try:
            await asyncio.gather(
                *(
                    tasks.start(self._answer(self._server.new_context()), "answer peers")
                    for _ in range(SERVING_CONTEXTS)
                )
            )
        finally:
            await tasks.cancel()
            self._server.close()
            for socket in self._sockets_by_address.values():
                socket.close()

    async def _answer(self, context: pynng.Context) -> None:
        while True:
            try:
                message = await context.arecv()
                await context.asend(await self._serve(message))
            except pynng.NNGException as error:
                log.warning("peer_request_failed", error=str(error))
                await asyncio.sleep(0.05)

    async def ask(self, address: str, message: bytes, timeout_ms: float) -> bytes:
        """Send a message to a peer and return its reply.

        :param address: ``host:port`` of the peer.
        :raises PeerError: no reply came in time, or the connection failed.
        """
        socket = self._sockets_by_address.get(address)
        sent_s = time.monotonic()
        try:
            if socket is None:
                socket = pynng.Req0(resend_time=-1)
                socket.dial(f"tcp://{address}", block=False)
                self._sockets_by_address[address] = socket
            context = socket.new_context()
            try:
                async with asyncio.timeout(timeout_ms / 1000):
                    await context.asend(message)
                    reply = await context.arecv()
                self._last_reply_s_by_address[address] = time.monotonic()
                return reply
            finally:
                context.close()
        except (pynng.NNGException, TimeoutError) as error:
            if self._last_reply_s_by_address.get(address, -math.inf) < sent_s:
                # The connection may be dead; the next call opens a new one.
                stale = self._sockets_by_address.pop(address, None)
                if stale is not None:
                    stale.close()
            raise PeerError(f"{address}: {type(error).__name__}") from error
