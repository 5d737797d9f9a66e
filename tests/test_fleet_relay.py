"""Calls to the store through peers tell the truth about what may have happened."""

import pytest

from carawayroute.clock import ManualClock
from carawayroute.fleet.exceptions import StoreRefusedError, StoreUnansweredError
from carawayroute.fleet.relay import PeerError, RelayedStore
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.virtual import run_virtual


class RefusingStore:
    """A store that turns this instance away."""

    async def append(self, topic, records, **condition):
        """Refuse."""
        raise StoreRefusedError("turned away")


class ScriptedPeers:
    """Peers that answer as a script says: an outcome, or ``None`` for silence."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.asked = 0

    async def ask(self, address, message, timeout_ms):
        """Answer."""
        self.asked += 1
        if self.outcome is None:
            raise PeerError(address)
        return pb.StoreAnswer(outcome=self.outcome, offset=5, end=6).SerializeToString()


def append_through_peers(outcome, peers=("a", "b")):
    """Append through peers and return what came of it."""
    store = RelayedStore(RefusingStore(), ScriptedPeers(outcome), ManualClock(1.0), "own")
    store.addresses.update(peers)
    return run_virtual(store.append("keyed.jobs", [("k", b"v")]))


def test_peer_that_reaches_the_store_appends():
    assert append_through_peers(pb.StoreAnswer.DONE).offset == 5


def test_silent_peer_leaves_the_outcome_unknown():
    """Found on the grown cornice site: a job was refused and ran."""
    with pytest.raises(StoreUnansweredError):
        append_through_peers(None)


def test_peer_without_an_answer_leaves_the_outcome_unknown():
    with pytest.raises(StoreUnansweredError):
        append_through_peers(pb.StoreAnswer.UNANSWERED)


def test_refusal_by_all_is_a_refusal():
    with pytest.raises(StoreRefusedError):
        append_through_peers(pb.StoreAnswer.REFUSED)


def test_no_peers_is_a_refusal():
    with pytest.raises(StoreRefusedError):
        append_through_peers(pb.StoreAnswer.DONE, peers=())
