"""Links with limited bandwidth, between instances, the store and the regions."""

import asyncio
from collections.abc import Awaitable, Iterable
from typing import TypeVar

from carawayroute.clock import Clock

T = TypeVar("T")
PACKET_BYTES = 1_500


class Link:
    """A link that carries messages packet by packet, in turn for concurrent messages.

    :ivar bytes_per_ms: bandwidth of the link.
    :ivar carried_bytes: number of bytes sent so far, also of messages that nobody waited for.
    """

    def __init__(self, clock: Clock, bytes_per_ms: float) -> None:
        self._clock = clock
        self.bytes_per_ms = bytes_per_ms
        self._free_at_ms = 0.0
        self.carried_bytes = 0

    async def carry(self, size: int) -> None:
        """Wait until a message of ``size`` bytes has been carried."""
        while size > 0:
            packet = min(size, PACKET_BYTES)
            now_ms = self._clock.now_ms()
            self._free_at_ms = max(now_ms, self._free_at_ms) + packet / self.bytes_per_ms
            await self._clock.sleep_ms(self._free_at_ms - now_ms)
            self.carried_bytes += packet
            size -= packet


async def carry_over(links: Iterable[Link], size: int) -> None:
    """Wait until a message has been carried by all of some links at the same time."""
    await asyncio.gather(*(link.carry(size) for link in links))


class Network:
    """The links that messages to an instance cross; those without a limit take no time.

    :param store_region: region of the store.
    :ivar region_by_instance: regions of the instances that are not in the store's region.
    :ivar links_by_instance: link of an instance, which carries all messages to it.
    :ivar links_by_region: link into a region, shared by its instances.
    """

    def __init__(self, clock: Clock, store_region: str) -> None:
        self._clock = clock
        self.store_region = store_region
        self.region_by_instance: dict[str, str] = {}
        self.links_by_instance: dict[str, Link] = {}
        self.links_by_region: dict[str, Link] = {}
        self._in_transit: set[asyncio.Future] = set()

    def region(self, instance: str) -> str:
        """Return the region of an instance."""
        return self.region_by_instance.get(instance, self.store_region)

    def limit_instance(self, instance: str, bytes_per_ms: float) -> None:
        """Limit the bandwidth of the link of one instance."""
        self.links_by_instance[instance] = Link(self._clock, bytes_per_ms)

    def limit_region(self, region: str, bytes_per_ms: float) -> None:
        """Limit the bandwidth that the instances of a region share for messages from others."""
        self.links_by_region[region] = Link(self._clock, bytes_per_ms)

    def links_from_store(self, instance: str) -> list[Link]:
        """Return the links that an answer of the store to an instance crosses."""
        return self._links(instance, self.store_region)

    def links_from_peer(self, instance: str, peer: str) -> list[Link]:
        """Return the links that a message from a peer to an instance crosses."""
        return self._links(instance, self.region(peer))

    def _links(self, instance: str, from_region: str) -> list[Link]:
        region = self.region(instance)
        links = [self.links_by_instance.get(instance)]
        if region != from_region:
            links.append(self.links_by_region.get(region))
        return [link for link in links if link is not None]

    async def wait_within(self, work: Awaitable[T], timeout_ms: float) -> T:
        """Return the result of a call; after the timeout the call goes on without its caller.

        :raises TimeoutError: the call did not return in time.
        """
        future = asyncio.ensure_future(work)
        self._in_transit.add(future)
        future.add_done_callback(self._forget)
        done, _ = await asyncio.wait({future}, timeout=max(0.0, timeout_ms) / 1000)
        if not done:
            raise TimeoutError
        return future.result()

    def _forget(self, future: asyncio.Future) -> None:
        self._in_transit.discard(future)
        if not future.cancelled():
            # Marks the exception as retrieved: the caller may have given up.
            future.exception()
