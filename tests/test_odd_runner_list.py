"""Odd entries in a fleet's list of runners, in virtual time."""

import pytest
from fleet_builders import NORMAL, OWNER, URGENT, job, run_scenario, runner_bytes, step
from odd_builders import (
    DEEP,
    HUGE_NUMBER,
    ODD_FRAGMENTS,
    runner_entry,
    runner_entry_with,
)
from structlog.testing import capture_logs

from carawayroute_standins.fleet.judge import starts

ID = "00000000000000{:02x}"
RUNNERS = "keyed.servers"
ODD_ENTRIES = (
    DEEP.encode(),
    runner_entry_with(("later",), DEEP),
    runner_entry_with(("capacity", "cpu"), HUGE_NUMBER),
    runner_entry(address="10.1.1.1:70000"),
    runner_entry(address="0.0.0.0:80"),
    runner_entry(labels=["x"] * 20_000),
    b"\xff",
    b"[]",
)
# Keys that another writer may use; the last one is what remains of bytes that are not UTF-8.
ODD_KEYS = ("x", "", "x" * 255, "a b", "a\r\nb", "\ufffd\ufffd")


def events(lines: list, event: str) -> list[dict]:
    """Return the log lines of an event."""
    return [line for line in lines if line["event"] == event]


@pytest.mark.parametrize("entry", ODD_ENTRIES)
def test_jobs_complete_beside_an_odd_entry_also_with_the_next_planner(entry):
    """The planner's list of runners stood still, and no planner after it could load the list."""

    async def scenario(fleet):
        planner = fleet.planner_name()
        term = fleet.nodes_by_name[planner].planner_term()
        for key in ODD_KEYS:
            fleet.store.put(RUNNERS, key, entry)
        await fleet.clock.sleep_ms(500)
        fleet.add_runner("w9", "r1-1")
        await fleet.submit(job(ID.format(1), [step(9, 8)], queue=URGENT), URGENT, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 3_000)
        assert "w9" in {entry.fields["runner"] for entry in fleet.journal.all("task_started")}
        assert (fleet.planner_name(), fleet.nodes_by_name[planner].planner_term()) == (
            planner,
            term,
        )
        await fleet.kill_instance(planner)
        await fleet.wait_until(
            lambda: fleet.planner_name() not in ("", planner), 5_000, "another instance plans"
        )
        await fleet.submit(job(ID.format(2), [step(9, 8)], queue=URGENT), URGENT, OWNER)
        await fleet.wait_state(ID.format(2), "completed", 5_000)

    run_scenario(scenario)


@pytest.mark.parametrize("entry", ODD_ENTRIES)
def test_runner_keeps_its_task_and_gets_no_other_while_its_entry_is_odd(entry):
    async def scenario(fleet):
        await fleet.submit(job(ID.format(1), run_ms=4_000, queue=URGENT), URGENT, OWNER)
        await fleet.wait_state(ID.format(1), "running", 1_000)
        runner = fleet.journal.all("task_started")[0].fields["runner"]
        fleet.store.put(RUNNERS, runner, entry)
        await fleet.clock.sleep_ms(300)
        # The runner in use would be the tightest fit.
        await fleet.submit(job(ID.format(2), [step(4)], queue=URGENT), URGENT, OWNER)
        await fleet.wait_state(ID.format(2), "completed", 2_000)
        used = [found.fields["runner"] for found in fleet.journal.all("task_started")]
        assert used.count(runner) == 1
        assert fleet.nodes_by_name[fleet.planner_name()].planner.links_by_id[runner].reachable
        fleet.list(runner)
        await fleet.clock.sleep_ms(300)
        await fleet.submit(job(ID.format(3), [step(4)], queue=URGENT), URGENT, OWNER)
        await fleet.wait_state(ID.format(3), "completed", 2_000)
        used = [found.fields["runner"] for found in fleet.journal.all("task_started")]
        assert used.count(runner) == 5
        await fleet.wait_state(ID.format(1), "completed", 5_000)
        assert len(starts(fleet.journal, ID.format(1))) == 1

    run_scenario(scenario)


def test_unusable_entry_is_logged_once_for_each_reason():
    """Each read of an entry logged a line; a list with many of them filled the output."""

    async def scenario(fleet):
        def put_all(entry: bytes) -> None:
            for number in range(30):
                fleet.store.put(RUNNERS, f"odd{number}", entry)

        with capture_logs() as lines:
            for _ in range(4):
                put_all(runner_entry(state="sleeping"))
                await fleet.clock.sleep_ms(300)
            node = fleet.nodes_by_name[fleet.planner_name()]
            assert node.unusable_runner_entries() == 30
            put_all(DEEP.encode())
            await fleet.clock.sleep_ms(300)
            put_all(b"")
            await fleet.clock.sleep_ms(300)
            assert node.unusable_runner_entries() == 0
        assert len(events(lines, "runner_entry_unusable")) == 60
        for line in events(lines, "runner_entry_unusable"):
            assert len(line["error"]) < 100

    run_scenario(scenario)


def test_entry_that_is_usable_again_is_logged_once():
    async def scenario(fleet):
        with capture_logs() as lines:
            for _ in range(2):
                fleet.store.put(RUNNERS, "w1", b"{}")
                fleet.list("w1")
                fleet.list("w1")
                await fleet.clock.sleep_ms(300)
        assert len(events(lines, "runner_entry_unusable")) == 2
        assert len(events(lines, "runner_entry_usable")) == 2

    run_scenario(scenario)


def test_entries_with_the_address_of_another_runner_change_nothing_there():
    """The runner's id goes with each request: its address answers only for the runner itself."""

    async def scenario(fleet):
        listed = fleet.runners_by_id["w1"].listed
        for number in range(3):
            fleet.store.put(RUNNERS, f"copy{number}", runner_bytes(listed))
        await fleet.clock.sleep_ms(300)
        await fleet.submit(job(ID.format(1), [step(8, 8)], queue=URGENT), URGENT, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 3_000)
        used = {entry.fields["runner"] for entry in fleet.journal.all("task_started")}
        assert used == set(fleet.runners_by_id)

    run_scenario(scenario)


def test_list_with_many_odd_entries_does_not_delay_placements():
    async def scenario(fleet):
        for number in range(1_000):
            fragment = ODD_FRAGMENTS[number % len(ODD_FRAGMENTS)]
            if len(fragment) < 10_000:
                entry = runner_entry_with(("state",), fragment)
                fleet.store.put(RUNNERS, f"odd{number}", entry)
        await fleet.clock.sleep_ms(500)
        await fleet.submit(job(ID.format(1), run_ms=200), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 600)

    run_scenario(scenario)
