"""What daemons tell each other, whatever carries it."""

from carawayroute.log import LogFollower
from carawayroute.membership import Membership
from carawayroute.routing import Slot, SlotLeaseRouter
from carawayroute.state import State
from carawayroute.terms import TermWatch
from carawayroute_schema import carawayroute_pb2 as pb

MAX_RECORDS = 200


class Gossip:
    """Make and take the messages between daemons.

    :param queued: returns how many requests wait here for a slot.
    :param terms_held: returns the terms that this instance acts under.
    """

    def __init__(
        self,
        instance: str,
        region: str,
        follower: LogFollower,
        membership: Membership,
        watch: TermWatch,
        router: SlotLeaseRouter,
        queued,
        terms_held,
    ) -> None:
        self._instance = instance
        self._region = region
        self._follower = follower
        self._membership = membership
        self._watch = watch
        self._router = router
        self._queued = queued
        self._terms_held = terms_held
        self.is_leaving = False

    def _leaving(self) -> list[str]:
        own = [self._instance] if self.is_leaving else []
        return own + self._membership.leaving_first_hand()

    def request(self, peer: str, same_region: bool) -> pb.PeerRequest:
        """Return the next message to a peer."""
        queued = self._queued()
        message = pb.PeerRequest(
            sender=self._instance,
            region=self._region,
            offset=self._follower.state.offset,
            log_reachable=self._follower.reachable,
            leaving=self._leaving(),
            terms_held=self._terms_held(),
            want_state=self._follower.wants_state or not self._follower.caught_up,
        )
        if same_region:
            message.queued = queued
            message.borrowed.extend(_to_messages(self._router.borrowed_from(peer, queued)))
        return message

    def reply(self, request: pb.PeerRequest) -> pb.PeerReply:
        """Take a peer's message and return the answer."""
        self._hear(request.sender, request.leaving)
        state = self._follower.state
        reply = pb.PeerReply(
            sender=self._instance,
            offset=state.offset,
            log_reachable=self._follower.reachable,
            leaving=self._leaving(),
            terms_held=self._terms_held(),
        )
        if request.region == self._region:
            self._router.reconcile(request.sender, _to_slots(request.borrowed))
            granted = self._router.lend(request.sender, request.queued, self._queued())
            reply.granted.extend(_to_messages(granted))
        needs_help = request.want_state or not request.log_reachable
        if needs_help and request.offset < state.offset:
            self._add_records(request, reply)
        return reply

    def _add_records(self, request: pb.PeerRequest, reply: pb.PeerReply) -> None:
        """Send what a peer that cannot reach the log is missing."""
        records = self._follower.records_since(request.offset, MAX_RECORDS)
        if request.want_state or records is None:
            if self._follower.caught_up:
                reply.state.extend(self._follower.state.export())
        else:
            reply.records.extend(records)

    def take_reply(self, reply: pb.PeerReply) -> None:
        """Take a peer's answer."""
        self._hear(reply.sender, reply.leaving)
        self._router.borrow(reply.sender, _to_slots(reply.granted))
        if reply.state:
            self._follower.replace_state(State.restore(list(reply.state), reply.offset))
        elif reply.records and reply.records[0].offset <= self._follower.state.offset:
            self._follower.apply(list(reply.records))

    def _hear(self, sender: str, leaving: list[str]) -> None:
        self._watch.heard(sender)
        self._router.heard(sender)
        if sender not in leaving:
            self._membership.observe_staying(sender)
        for instance_id in leaving:
            self._membership.observe_leaving(instance_id, first_hand=False)


def _to_messages(slots: list[Slot]) -> list[pb.SlotLease]:
    return [pb.SlotLease(runner=slot.runner, slot=slot.index) for slot in slots]


def _to_slots(messages) -> list[Slot]:
    return [Slot(message.runner, message.slot) for message in messages]
