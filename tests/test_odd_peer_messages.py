"""Odd messages between instances: each is answered, and the links go on serving."""

import asyncio

import pytest
from fleet_builders import run_scenario
from hypothesis import given, settings
from hypothesis import strategies as st

from carawayroute.fleet.relay import PeerError
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.cluster import free_port_range
from carawayrouted.relay_links import RelayLinks

KINDS = pb.StoreCall.Kind.values()
ODD_CALLS = [
    b"\xff\xff",
    pb.StoreCall(kind=77).SerializeToString(),
    pb.StoreCall(kind=pb.StoreCall.READ, topic="\x00", offset=2**64 - 1).SerializeToString(),
    pb.StoreCall(
        kind=pb.StoreCall.APPEND,
        topic="keyed.odd",
        records=[pb.KeyedRecord(key=b"\xff", value=b"1")],
    ).SerializeToString(),
    pb.StoreCall(
        kind=pb.StoreCall.APPEND,
        topic="keyed.odd",
        records=[pb.KeyedRecord(key=b"x" * 300, value=b"1")],
    ).SerializeToString(),
]


@pytest.mark.parametrize("message", ODD_CALLS)
def test_odd_call_of_a_peer_is_answered(message):
    """A key that is not UTF-8 raised an error that ended all links of the instance."""

    async def scenario(fleet):
        answer = await fleet.nodes_by_name["n1"].serve_peer(message)
        assert pb.StoreAnswer.FromString(answer).outcome != pb.StoreAnswer.UNANSWERED

    run_scenario(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_call_of_a_peer_cannot_wait_for_long(kind):
    """A wait of 49 days kept one of the contexts that serve peers."""

    async def scenario(fleet):
        if kind in (pb.StoreCall.LOOK_UP_JOB, pb.StoreCall.COUNT_PENDING):
            fleet.store.unanswered_instances.add("n2")
            fleet.unreachable_peers.add("n2")
            await fleet.clock.sleep_ms(3_000)
            fleet.nodes_by_name["n2"].jobs_follower.loaded.clear()
        call = pb.StoreCall(
            kind=kind, topic="keyed.jobs", job_id="x", offset=10**6, wait_ms=2**32 - 1
        )
        async with asyncio.timeout(20):
            await fleet.nodes_by_name["n2"].serve_peer(call.SerializeToString())

    run_scenario(scenario)


@settings(max_examples=settings.default.max_examples // 4)
@given(st.lists(st.binary(max_size=60), min_size=5, max_size=5))
def test_any_message_of_a_peer_is_answered(messages):
    async def scenario(fleet):
        for message in messages:
            async with asyncio.timeout(20):
                pb.StoreAnswer.FromString(await fleet.nodes_by_name["n1"].serve_peer(message))

    run_scenario(scenario, instances=1, racks=1, runners_per_rack=1)


def run_links(serve, scenario) -> None:
    """Run a scenario with the address of an instance's links."""

    async def run():
        address = f"127.0.0.1:{free_port_range()}"
        links = RelayLinks(address, serve)
        task = asyncio.create_task(links.run())
        await asyncio.sleep(0.1)
        try:
            await scenario(links, address)
            assert not task.done()
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run())


def test_links_go_on_after_a_call_that_cannot_be_served():
    """The first unexpected error ended the serving of all peers until the process ended."""

    async def serve(message: bytes) -> bytes:
        if message == b"odd":
            raise RecursionError("nested too deeply")
        return message

    async def scenario(links, address):
        for _ in range(3):
            with pytest.raises(PeerError):
                await links.ask(address, b"odd", 200)
        assert await links.ask(address, b"usual", 1_000) == b"usual"
        assert links.failed_calls == 3

    run_links(serve, scenario)


@pytest.mark.parametrize("address", ["", "n1", "a b:1", "127.0.0.1:0x", "127.0.0.1:700000", "ä:1"])
def test_address_that_cannot_be_dialled_is_an_error_of_the_peer(address):
    async def serve(message: bytes) -> bytes:
        return message

    async def scenario(links, _):
        for _ in range(2):
            with pytest.raises(PeerError):
                await links.ask(address, b"usual", 100)

    run_links(serve, scenario)


def test_answer_with_an_end_out_of_range_is_not_believed():
    """An end of 2^64 - 1 made the follower read without a pause, and its age infinite."""

    async def scenario(fleet):
        name = next(name for name in fleet.nodes_by_name if name != fleet.planner_name())
        node = fleet.nodes_by_name[name]
        node.shared_reader.choice.set_member(
            pb.Member(instance="n0", address="n0", data_centre="south-a", link_mbps=10**6)
        )

        async def ask(address, message, timeout_ms):
            return pb.StoreAnswer(end=2**64 - 1).SerializeToString()

        node.shared_reader._peers = type("Odd", (), {"ask": staticmethod(ask)})()
        await fleet.clock.sleep_ms(2_000)
        assert node.jobs_follower.known_end < 2**63
        assert node.not_ready() == ""
        assert node.shared_reader.fallbacks_by_reason["gap"] > 0

    run_scenario(scenario)


@pytest.mark.parametrize("field", ["offset", "end"])
def test_load_with_an_offset_out_of_range_is_read_from_the_store(field):
    """An instance would have followed the topic from an offset that never comes."""

    async def scenario(fleet):
        planner = fleet.planner_name()
        new = fleet.start_instance("n9")
        new.shared_load._choice.set_member(
            pb.Member(instance="n0", address="n0", data_centre="south-a", link_mbps=10**6)
        )

        async def ask(address, message, timeout_ms):
            answer = pb.StoreAnswer(offset=1, end=1, detail=1, records=[pb.KeyedRecord(key=b"x/")])
            setattr(answer, field, 2**64 - 1)
            return answer.SerializeToString()

        new.shared_load._peers = type("Odd", (), {"ask": staticmethod(ask)})()
        await fleet.clock.sleep_ms(3_000)
        assert fleet.planner_name() == planner
        assert new.jobs_follower.offset < 2**63
        assert new.jobs_follower.known_end < 2**63
        assert new.not_ready() == ""

    run_scenario(scenario)
