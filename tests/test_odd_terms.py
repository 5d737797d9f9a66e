"""Odd records in the topic of terms: the holder keeps its term, and others can claim it."""

import pytest
from fleet_builders import NORMAL, OWNER, job, run_scenario
from odd_record_builders import UNREADABLE

from carawayroute_schema import records_pb2 as pb

ID = "00000000000000{:02x}"
TERMS = "keyed.lead"
LEADER = pb.Leader(instance="odd", address="odd", accelerators=8)
ODD_RECORDS = [
    ("leader", UNREADABLE),
    ("leader", b""),
    ("leader", pb.Leader(instance="odd", term=2**64 - 1, address="odd").SerializeToString()),
    ("leader", pb.Leader(instance="odd", term=10**6, address="odd").SerializeToString()),
    ("leader", pb.Leader(instance="odd", term=1, address="odd").SerializeToString()),
    ("leader", pb.Leader(term=0, address="odd").SerializeToString()),
    ("leader", pb.Leader(instance="odd", address="a b").SerializeToString()),
    ("leader", pb.Leader(instance="odd", address="x" * 300).SerializeToString()),
    ("other", LEADER.SerializeToString()),
    ("other", UNREADABLE),
    ("", LEADER.SerializeToString()),
    ("", b""),
    ("\ufffd", b""),
]


@pytest.mark.parametrize("record", ODD_RECORDS)
@pytest.mark.parametrize("count", [1, 3])
def test_planner_keeps_its_term_beside_an_odd_record(record, count):
    """The holder's appends were made at the offset of the odd record and failed ever after: no
    instance could claim the term."""

    async def scenario(fleet):
        planner = fleet.planner_name()
        term = fleet.nodes_by_name[planner].planner_term()
        for _ in range(count):
            fleet.store.put(TERMS, *record)
        await fleet.clock.sleep_ms(3_000)
        assert fleet.planner_name() == planner
        assert fleet.nodes_by_name[planner].planner_term() == term
        for node in fleet.nodes_by_name.values():
            assert node.leadership.current_term() == term
            assert node.leadership.planner_address() == planner
        await fleet.submit(job(ID.format(1)), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 2_000)

    run_scenario(scenario)


@pytest.mark.parametrize("record", ODD_RECORDS)
def test_term_is_claimed_after_an_odd_record(record):
    async def scenario(fleet):
        planner = fleet.planner_name()
        await fleet.kill_instance(planner)
        fleet.store.put(TERMS, *record)
        await fleet.wait_until(
            lambda: fleet.planner_name() not in ("", planner), 4_000, "another instance plans"
        )
        await fleet.submit(job(ID.format(1)), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 2_000)

    run_scenario(scenario)


@pytest.mark.parametrize("record", ODD_RECORDS)
def test_instances_that_load_the_topic_after_an_odd_record_elect_a_planner(record):
    async def scenario(fleet):
        for name in list(fleet.nodes_by_name):
            await fleet.kill_instance(name)
        fleet.store.put(TERMS, *record)
        fleet.store.compact(TERMS)
        for number in (4, 5):
            fleet.start_instance(f"n{number}")
        await fleet.wait_ready()
        await fleet.submit(job(ID.format(1)), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 2_000)

    run_scenario(scenario)


def test_heartbeat_tells_a_number_of_accelerators_that_fits_its_record():
    async def scenario(fleet):
        planner = fleet.nodes_by_name[fleet.planner_name()]
        planner.planner.placing = False
        planner.leadership.accelerators = 2**40
        await fleet.clock.sleep_ms(1_000)
        assert planner.leadership.fleet_accelerators() == 2**32 - 1
        assert planner.planner_term()

    run_scenario(scenario)
