"""Connections between instances in one event loop, over the emulated network's links."""

from collections.abc import Mapping
from typing import Protocol

from carawayroute.clock import Clock
from carawayroute.fleet.relay import PeerError
from carawayroute_standins.fleet.bandwidth import Network, carry_over

PEER_LATENCY_MS = 2


class PeerServer(Protocol):
    """Serves messages of peers."""

    async def serve_peer(self, message: bytes) -> bytes:
        """Return the answer to a message of a peer."""


class InMemoryPeers:
    """Connections of one instance to its peers, whose addresses are their names.

    :param servers_by_name: the running instances.
    :param unreachable: instances without connections to their peers.
    """

    def __init__(
        self,
        instance: str,
        clock: Clock,
        network: Network,
        servers_by_name: Mapping[str, PeerServer],
        unreachable: set[str],
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._network = network
        self._servers_by_name = servers_by_name
        self._unreachable = unreachable

    async def ask(self, address: str, message: bytes, timeout_ms: float) -> bytes:
        """Send a message to a peer and return its reply.

        :raises PeerError: the peer is stopped or unreachable, or no reply arrived in time.
        """
        peer = self._servers_by_name.get(address)
        if peer is None or {address, self._instance} & self._unreachable:
            await self._clock.sleep_ms(timeout_ms)
            raise PeerError(address)
        network = self._network
        request_links = network.links_from_peer(address, self._instance)
        reply_links = network.links_from_peer(self._instance, address)

        async def exchange() -> bytes:
            await self._clock.sleep_ms(PEER_LATENCY_MS)
            await carry_over(request_links, len(message))
            reply = await peer.serve_peer(message)
            await carry_over(reply_links, len(reply))
            return reply

        try:
            return await network.wait_within(exchange(), timeout_ms)
        except TimeoutError as error:
            raise PeerError(address) from error
