"""Timing of the messages to peers: periodic, and earlier if slots can be lent or borrowed."""

import asyncio

from carawayroute.clock import Clock
from carawayroute.dispatch import Dispatcher
from carawayroute.gossip import own_demand
from carawayroute.misc import wait_event
from carawayroute.routing import SlotLeaseRouter

# Interval between checks for a peer to message while any entry has queued requests.
PEER_POLL_INTERVAL_MS = 10
# Token-bucket size for urgent messages.
URGENT_BURST = 5.0


class Pacer:
    """Schedule the messages to peers.

    :param interval_ms: interval between messages to a peer of the same region.
    :param far_interval_ms: interval between messages to a peer of another region.
    :param urgent_per_second: rate limit of messages sent before their interval, over all peers.
    """

    def __init__(
        self,
        clock: Clock,
        dispatcher: Dispatcher,
        router: SlotLeaseRouter,
        interval_ms: float,
        far_interval_ms: float,
        urgent_per_second: float,
    ) -> None:
        self._clock = clock
        self._dispatcher = dispatcher
        self._router = router
        self._interval_ms = interval_ms
        self._far_interval_ms = far_interval_ms
        self._urgent_interval_ms = 1000 / urgent_per_second
        self._send_event_by_peer: dict[str, asyncio.Event] = {}

    async def wait_to_send(self, peer: str, same_region: bool) -> None:
        """Wait until the next message to a peer is due."""
        if not same_region:
            await self._clock.sleep_ms(self._far_interval_ms)
            return
        send_event = self._send_event_by_peer.setdefault(peer, asyncio.Event())
        send_event.clear()
        await wait_event(send_event, self._interval_ms)

    async def run(self) -> None:
        """Trigger urgent messages to peers with which slots can be exchanged, within the limit."""
        tokens = URGENT_BURST
        refilled_ms = self._clock.now_ms()
        while True:
            await self._dispatcher.demand_event.wait()
            self._dispatcher.demand_event.clear()
            while self._dispatcher.queue or self._router.others_have_queue():
                now_ms = self._clock.now_ms()
                tokens = min(
                    URGENT_BURST, tokens + (now_ms - refilled_ms) / self._urgent_interval_ms
                )
                refilled_ms = now_ms
                peer = self._next_peer() if tokens >= 1.0 else None
                if peer is None:
                    await self._clock.sleep_ms(PEER_POLL_INTERVAL_MS)
                    continue
                tokens -= 1.0
                self._send_event_by_peer[peer].set()

    def _next_peer(self) -> str | None:
        waiting_peers = {
            peer for peer, send_event in self._send_event_by_peer.items() if not send_event.is_set()
        }
        own = own_demand(self._dispatcher, self._router)
        return self._router.most_useful_peer(own, allowed=waiting_peers)
