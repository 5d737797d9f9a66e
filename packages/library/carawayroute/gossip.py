"""Contents of the messages between entries, independent of the transport."""

from collections.abc import Callable

from carawayroute.dispatch import Dispatcher
from carawayroute.log import LogFollower
from carawayroute.membership import Membership
from carawayroute.routing import Demand, Slot, SlotLeaseRouter
from carawayroute.state import State
from carawayroute.terms import LeaderElection
from carawayroute_schema import carawayroute_pb2 as pb

MAX_RECORDS_PER_REPLY = 200


class Gossip:
    """Build the messages to peers and process theirs.

    :param terms_held: returns the leadership terms that this instance holds.
    :ivar is_leaving: whether to announce that this instance is draining.
    """

    def __init__(
        self,
        instance: str,
        region: str,
        follower: LogFollower,
        membership: Membership,
        election: LeaderElection,
        dispatcher: Dispatcher,
        router: SlotLeaseRouter,
        terms_held: Callable[[], list[pb.Term]],
    ) -> None:
        self._instance = instance
        self._region = region
        self._follower = follower
        self._membership = membership
        self._election = election
        self._dispatcher = dispatcher
        self._router = router
        self._terms_held = terms_held
        self.is_leaving = False

    def demand(self) -> Demand:
        """Return this entry's queued requests and idle slots."""
        return own_demand(self._dispatcher, self._router)

    def _leaving(self) -> list[str]:
        own = [self._instance] if self.is_leaving else []
        return own + self._membership.directly_observed_leaving()

    def make_request(self, peer: str, same_region: bool) -> pb.PeerRequest:
        """Return the next message to a peer.

        :param same_region: slots are lent only within a region, so other peers get no demand.
        """
        message = pb.PeerRequest(
            sender=self._instance,
            region=self._region,
            offset=self._follower.state.offset,
            log_reachable=self._follower.reachable,
            leaving=self._leaving(),
            terms_held=self._terms_held(),
            want_state=self._follower.needs_peer_state or not self._follower.caught_up,
        )
        if same_region:
            own = self.demand()
            message.demand.CopyFrom(_demand_message(own))
            message.borrowed.extend(_to_messages(self._router.retain_borrowed(peer, own.queued)))
            message.granted.extend(_to_messages(self._router.lend(peer, own.queued)))
        return message

    def handle_request(self, request: pb.PeerRequest) -> pb.PeerReply:
        """Process a message from a peer and return the reply."""
        same_region = request.region == self._region
        demand = _to_demand(request.demand) if same_region else None
        self._handle_sender(request.sender, request.leaving, demand)
        state = self._follower.state
        reply = pb.PeerReply(
            sender=self._instance,
            offset=state.offset,
            log_reachable=self._follower.reachable,
            leaving=self._leaving(),
            terms_held=self._terms_held(),
        )
        if same_region:
            self._router.reconcile(request.sender, _to_slots(request.borrowed))
            self._router.borrow(request.sender, _to_slots(request.granted))
            own = self.demand()
            reply.demand.CopyFrom(_demand_message(own))
            reply.granted.extend(_to_messages(self._router.lend(request.sender, own.queued)))
            self._dispatcher.dispatch_queued()
        needs_records = request.want_state or not request.log_reachable
        if needs_records and request.offset < state.offset:
            self._add_records(request, reply)
        return reply

    def _add_records(self, request: pb.PeerRequest, reply: pb.PeerReply) -> None:
        """Add the log records that the peer is missing, or a snapshot if they are not all held."""
        records = self._follower.records_since(request.offset, MAX_RECORDS_PER_REPLY)
        if request.want_state or records is None:
            if self._follower.caught_up:
                reply.state.extend(self._follower.state.export())
        else:
            reply.records.extend(records)

    def handle_reply(self, reply: pb.PeerReply) -> None:
        """Process the reply of a peer."""
        demand = _to_demand(reply.demand) if reply.HasField("demand") else None
        self._handle_sender(reply.sender, reply.leaving, demand)
        self._router.borrow(reply.sender, _to_slots(reply.granted))
        self._dispatcher.dispatch_queued()
        if reply.state:
            self._follower.replace_state(State.restore(list(reply.state), reply.offset))
        elif reply.records and reply.records[0].offset <= self._follower.state.offset:
            self._follower.apply(list(reply.records))

    def _handle_sender(self, sender: str, leaving: list[str], demand: Demand | None) -> None:
        self._election.record_message(sender)
        self._router.observe_message(sender, demand)
        if demand is not None and demand.queued > 0:
            self._dispatcher.demand_event.set()
        if sender not in leaving:
            self._membership.observe_not_leaving(sender)
        for instance_id in leaving:
            self._membership.observe_leaving(instance_id, direct=False)


def own_demand(dispatcher: Dispatcher, router: SlotLeaseRouter) -> Demand:
    """Return an entry's queued requests, or its idle slots when nothing is queued."""
    queued = len(dispatcher.queue)
    if queued:
        return Demand(queued, dispatcher.oldest_ms(), 0)
    return Demand(0, 0.0, len(router.idle_owned()))


def _demand_message(demand: Demand) -> pb.SlotDemand:
    return pb.SlotDemand(queued=demand.queued, oldest_ms=int(demand.oldest_ms), idle=demand.idle)


def _to_demand(message: pb.SlotDemand) -> Demand:
    return Demand(message.queued, message.oldest_ms, message.idle)


def _to_messages(slots: list[Slot]) -> list[pb.SlotLease]:
    return [pb.SlotLease(runner=slot.runner, slot=slot.index) for slot in slots]


def _to_slots(messages) -> list[Slot]:
    return [Slot(message.runner, message.slot) for message in messages]
