"""Connections between instances in one event loop, over the emulated network's links."""

from collections.abc import Collection, Mapping, Sequence
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
    :param cut_between: pairs of groups of instances without connections between the groups.
    """

    def __init__(
        self,
        instance: str,
        clock: Clock,
        network: Network,
        servers_by_name: Mapping[str, PeerServer],
        unreachable: set[str],
        cut_between: Sequence[tuple[Collection[str], Collection[str]]] = (),
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._network = network
        self._servers_by_name = servers_by_name
        self._unreachable = unreachable
        self._cut_between = cut_between

    def _is_cut(self, address: str) -> bool:
        if {address, self._instance} & self._unreachable:
            return True
        return any(
            (address in one and self._instance in other)
            or (address in other and self._instance in one)
            for one, other in self._cut_between
        )

    async def ask(self, address: str, message: bytes, timeout_ms: float) -> bytes:
        """Send a message to a peer and return its reply.

        :raises PeerError: the peer is stopped or unreachable, or no reply arrived in time.
        """
        peer = self._servers_by_name.get(address)
        if peer is None or self._is_cut(address):
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
