"""Tests of relayed store calls: a call that may have taken effect is not reported as refused."""

import asyncio
import contextlib
import gc

import pynng
import pytest
from test_cancellation import peer_links, relay_links

from carawayroute.clock import ManualClock
from carawayroute.fleet.exceptions import StoreRefusedError, StoreUnansweredError
from carawayroute.fleet.ports import KeyedRecord, RecordPage
from carawayroute.fleet.relay import PeerError, RelayedStore
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.cluster import free_port_range
from carawayroute_standins.virtual import run_virtual
from carawayrouted.relay_links import RelayLinks


class RefusingStore:
    """A store that refuses every call of this instance."""

    async def append(self, topic, records, **condition):
        """Refuse the append."""
        raise StoreRefusedError("turned away")


class SilentStore:
    """A store whose reads go unanswered at first.

    :ivar sizes_kb: largest page of each read, ``None`` for the usual one.
    """

    def __init__(self, unanswered):
        self.unanswered = unanswered
        self.sizes_kb = []

    async def read(self, topic, offset, wait_ms, max_kb=None):
        """Return a record.

        :raises StoreUnansweredError: it is one of the first reads.
        """
        self.sizes_kb.append(max_kb)
        if len(self.sizes_kb) <= self.unanswered:
            raise StoreUnansweredError("silent")
        return RecordPage([KeyedRecord(0, "k", b"v")], 1, 1)


class ScriptedPeers:
    """Peers that answer every call with one outcome, or do not answer if it is ``None``."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.asked = 0

    async def ask(self, address, message, timeout_ms):
        """Return the scripted answer.

        :raises PeerError: the scripted outcome is ``None``.
        """
        self.asked += 1
        if self.outcome is None:
            raise PeerError(address)
        return pb.StoreAnswer(outcome=self.outcome, offset=5, end=6).SerializeToString()


def append_through_peers(outcome, peers=("a", "b")):
    """Append a record through peers and return the result."""
    store = RelayedStore(RefusingStore(), ScriptedPeers(outcome), ManualClock(1.0), "own")
    store.addresses.update(peers)
    return run_virtual(store.append("keyed.jobs", [("k", b"v")]))


def test_peer_that_reaches_the_store_appends():
    assert append_through_peers(pb.StoreAnswer.DONE).offset == 5


def test_silent_peer_leaves_the_outcome_unknown():
    """A job whose append was relayed to a silent peer was reported as refused and ran.

    Found on the grown cornice site.
    """
    with pytest.raises(StoreUnansweredError):
        append_through_peers(None)


def test_peer_without_an_answer_leaves_the_outcome_unknown():
    with pytest.raises(StoreUnansweredError):
        append_through_peers(pb.StoreAnswer.UNANSWERED)


def test_refusal_by_all_peers_is_reported_as_refused():
    with pytest.raises(StoreRefusedError):
        append_through_peers(pb.StoreAnswer.REFUSED)


def test_append_without_peers_is_refused():
    with pytest.raises(StoreRefusedError):
        append_through_peers(pb.StoreAnswer.DONE, peers=())


def test_reads_that_went_unanswered_are_repeated_with_smaller_pages():
    """Pages that were given up filled a slow link, so that the next ones came too late as well."""

    async def run():
        direct = SilentStore(unanswered=5)
        store = RelayedStore(direct, ScriptedPeers(None), ManualClock(1.0), "own")
        for _ in range(9):
            with contextlib.suppress(StoreUnansweredError):
                await store.read("keyed.jobs", 0, 0)
        assert direct.sizes_kb == [None, 48, 24, 12, 12, 12, 24, 48, None]

    run_virtual(run())


def test_read_that_went_unanswered_is_relayed_with_the_smallest_page():
    async def run():
        asked = []

        class NotingPeers(ScriptedPeers):
            async def ask(self, address, message, timeout_ms):
                asked.append(pb.StoreCall.FromString(message).max_kb)
                return await super().ask(address, message, timeout_ms)

        peers = NotingPeers(pb.StoreAnswer.DONE)
        store = RelayedStore(SilentStore(unanswered=1), peers, ManualClock(1.0), "own")
        store.addresses.add("a")
        await store.read("keyed.jobs", 0, 0)
        assert asked == [12]

    run_virtual(run())


def test_timed_out_request_leaves_the_others_to_the_peer_open():
    async def serve(message):
        await asyncio.sleep(float(message))
        return message

    async def run():
        address = f"127.0.0.1:{free_port_range()}"
        links = RelayLinks(address, serve)
        serving = asyncio.create_task(links.run())
        await asyncio.sleep(0.05)
        slow = asyncio.create_task(links.ask(address, b"0.5", 3_000))
        await asyncio.sleep(0.1)
        with pytest.raises(PeerError):
            await links.ask(address, b"5", 100)
        assert await links.ask(address, b"0", 1_000) == b"0"
        assert await slow == b"0.5"
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    asyncio.run(run())


@pytest.mark.filterwarnings("error::pytest.PytestUnraisableExceptionWarning")
@pytest.mark.parametrize("make_links", (relay_links, peer_links))
def test_stopped_links_leave_no_context_without_its_socket(make_links):
    async def run():
        serving = asyncio.create_task(make_links(free_port_range()).run())
        await asyncio.sleep(0.05)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    asyncio.run(run())
    gc.collect()


@pytest.mark.parametrize("make_links", (relay_links, peer_links))
def test_links_serve_once_their_address_is_free(make_links):
    """An instance that was started while its address was in use never answered its peers."""

    async def main():
        port = free_port_range()
        with pynng.Rep0(listen=f"tcp://127.0.0.1:{port}"):
            serving = asyncio.create_task(make_links(port).run())
            await asyncio.sleep(0.1)
        assert await relay_links(0).ask(f"127.0.0.1:{port}", b"", 3_000) == b""
        serving.cancel()
        await asyncio.wait([serving])

    asyncio.run(main())
