"""Tests that what was accepted is neither denied, nor forgotten, nor left without an answer."""

import struct

import pytest
from fleet_builders import NORMAL, OWNER, job, world

from carawayroute.fleet.exceptions import StoreTrimmedError
from carawayroute_standins.fleet.judge import find_violations
from carawayroute_standins.virtual import run_virtual
from carawayrouted.platform.store import _decode_records, _encode_record

ID = "00000000000000{:02x}"


def run_scenario(scenario, **options):
    """Run a scenario on a ready fleet and check the journal for violations."""

    async def run():
        fleet = world(**options)
        try:
            await fleet.wait_ready()
            await scenario(fleet)
        finally:
            await fleet.close()
        assert find_violations(fleet.journal) == []

    run_virtual(run())


def test_instance_plans_again_after_its_planner_failed():
    """A planner that ends with an error is followed by another one in the next term."""

    async def scenario(fleet):
        planner = fleet.nodes_by_name["n1"].planner

        async def fail():
            raise RuntimeError("scheduling failed")

        planner._pass = fail
        await fleet.submit(job(ID.format(1)), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 10_000)

    run_scenario(scenario, instances=1)


def test_answer_that_begins_after_the_asked_offset_counts_as_trimmed():
    """The records between the asked offset and the first one kept were skipped."""
    body = struct.pack(">QQ", 20, 12) + _encode_record("a/1", b"x")
    with pytest.raises(StoreTrimmedError):
        _decode_records(body, 10)
