"""Tests that what was accepted is neither denied, nor forgotten, nor left without an answer."""

import asyncio
import signal
import struct

import pytest
from aiohttp import web
from fleet_builders import (
    NORMAL,
    OWNER,
    apply_records,
    call_status,
    caller_app,
    configuration_bytes,
    describe_jobs,
    job,
    job_history,
    job_table_of,
    newest_record,
    run_scenario,
)
from fleet_cluster import CALLER_HEADERS, FleetCluster, job_body
from hypothesis import given
from hypothesis import strategies as st
from test_adapters import AppServer
from test_callers import send

from carawayroute.clock import Clock
from carawayroute.fleet.admission import AdmissionDecision
from carawayroute.fleet.entry import NoSuchJobError, NotAcceptedError, OutcomeUnknownError
from carawayroute.fleet.exceptions import (
    StoreError,
    StoreRefusedError,
    StoreTrimmedError,
    StoreUnansweredError,
)
from carawayroute.fleet.jobs import CANCEL_KEY, JOB_KEY, PROGRESS_KEY, JobTable
from carawayroute.fleet.leadership import TERM_TIMEOUT_MS
from carawayroute.fleet.node import JOBS_TOPIC, RETENTION_MARGIN_MS, STANDBY_READ_INTERVAL_MS
from carawayroute.fleet.writer import LogWriter
from carawayroute_standins.fleet.judge import starts
from carawayrouted.platform.http import HttpPool
from carawayrouted.platform.settings import Address
from carawayrouted.platform.store import HttpStore, _decode_records, _encode_record
from carawayrouted.platform.wire_names import DEADLINE_HEADER

ID = "00000000000000{:02x}"
# Time within which the platform requires a new configuration to apply.
CONFIG_APPLY_MS = 2_500


def cut_off(fleet, name):
    """Cut an instance off from the store and from its peers."""
    fleet.store.refused_instances.add(name)
    fleet.unreachable_peers.add(name)


def reconnect(fleet, name):
    """End a cut of an instance."""
    fleet.store.refused_instances.discard(name)
    fleet.unreachable_peers.discard(name)


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


def test_term_is_given_up_by_an_instance_that_cannot_read_the_jobs():
    """An instance behind on the jobs topic held the term while it read, and nothing was started."""

    async def scenario(fleet):
        slow = fleet.nodes_by_name["n1"]
        read = slow.store._direct.read

        async def read_no_jobs(topic, offset, wait_ms):
            if topic == JOBS_TOPIC:
                await fleet.clock.sleep_ms(900)
                raise StoreUnansweredError("silent")
            return await read(topic, offset, wait_ms)

        slow.store._direct.read = read_no_jobs
        fleet.unreachable_peers.add("n1")
        await fleet.submit(job(ID.format(1)), NORMAL, OWNER, at="n2")
        await fleet.wait_until(lambda: starts(fleet.journal, ID.format(1)), 1_000, "a start")
        others = [node.leadership for name, node in fleet.nodes_by_name.items() if name != "n1"]
        for leadership in others:
            leadership.candidate = False
            leadership.step_down(leadership.term)
        await fleet.wait_until(lambda: fleet.nodes_by_name["n1"].planner_term(), 5_000, "a term")
        for leadership in others:
            leadership.candidate = True
        await fleet.submit(job(ID.format(2)), NORMAL, OWNER, at="n2")
        await fleet.wait_until(lambda: starts(fleet.journal, ID.format(2)), 15_000, "a start")

    run_scenario(scenario)


def test_job_removed_while_an_instance_was_cut_off_is_not_open_there_afterwards():
    """A job that had been purged stayed open, and that instance would have run it again."""

    async def scenario(fleet):
        await fleet.submit(job(ID.format(1), run_ms=1_000), NORMAL, OWNER)
        await fleet.clock.sleep_ms(600)
        name = next(one for one in ("n1", "n2") if one != fleet.planner_name())
        table = fleet.nodes_by_name[name].job_table
        assert ID.format(1) in table.open_by_id
        cut_off(fleet, name)
        planner = fleet.nodes_by_name[fleet.planner_name()]
        planner.planner._settings.retention_ms = 0
        await fleet.wait_until(
            lambda: ID.format(1) not in planner.job_table.jobs_by_id, 10_000, "the job is purged"
        )
        await fleet.clock.sleep_ms(200)
        fleet.store.compact(JOBS_TOPIC)
        reconnect(fleet, name)
        await fleet.clock.sleep_ms(3_000)
        assert fleet.nodes_by_name[name].not_ready() == ""
        assert ID.format(1) not in table.jobs_by_id

    run_scenario(scenario)


def test_running_job_is_not_queued_while_the_state_is_loaded_again():
    """A caller that waited for a read when the planner stopped was told `queued`."""

    async def scenario(fleet):
        await fleet.submit(job(ID.format(1), run_ms=20_000), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "running", 2_000)
        name = fleet.planner_name()
        node = fleet.nodes_by_name[name]
        fleet.store.answer_ms = 100
        await fleet.clock.sleep_ms(500)
        states = []
        for _ in range(40):
            states.append(asyncio.create_task(fleet.state(ID.format(1), at=name)))
            await fleet.clock.sleep_ms(10)
            if len(states) == 20:
                node.leadership.step_down(node.leadership.term)
        assert set(await asyncio.gather(*states)) == {"running"}

    run_scenario(scenario)


def test_job_that_may_be_stored_is_not_rejected_by_the_same_instance():
    """A job was answered with an unknown outcome, its repeat as never run, and then it ran."""

    async def scenario(fleet):
        fleet.store.lost_answer_ratio = 1.0
        fleet.store.late_ms = 6_000
        with pytest.raises(OutcomeUnknownError):
            await fleet.submit(job(ID.format(1)), NORMAL, OWNER, at="n2")
        with pytest.raises(OutcomeUnknownError):
            await fleet.submit(job(ID.format(1)), NORMAL, OWNER, at="n2")

    run_scenario(scenario)


def test_job_that_is_stored_late_does_not_run_again_after_its_purge():
    """An instance that was cut off for minutes stored a job again that had ended elsewhere."""

    async def scenario(fleet):
        name = next(one for one in ("n1", "n2") if one != fleet.planner_name())
        other = next(one for one in fleet.nodes_by_name if one != name)
        store = fleet.nodes_by_name[name].store._direct
        append = store.append

        async def append_in_vain(*args, **options):
            await fleet.clock.sleep_ms(900)
            raise StoreUnansweredError("silent")

        store.append = append_in_vain
        fleet.unreachable_peers.add(name)
        with pytest.raises(OutcomeUnknownError):
            await fleet.submit(job(ID.format(1)), NORMAL, OWNER, at=name)
        planner = fleet.nodes_by_name[fleet.planner_name()]
        await fleet.submit(job(ID.format(1)), NORMAL, OWNER, at=other)
        kept_ms = planner.settings.job_retention_ms + RETENTION_MARGIN_MS
        await fleet.clock.sleep_ms(kept_ms + 5_000)
        assert ID.format(1) not in planner.job_table.jobs_by_id
        store.append = append
        fleet.unreachable_peers.discard(name)
        await fleet.clock.sleep_ms(3_000)
        assert len(starts(fleet.journal, ID.format(1))) == 1
        await fleet.submit(job(ID.format(2)), NORMAL, OWNER, at=name)
        await fleet.wait_state(ID.format(2), "completed", 5_000)

    run_scenario(scenario)


class OverloadedAdmission:
    """Rejects every job."""

    def decide(self, *args):
        return AdmissionDecision(False, "backlog", 1_000)


def test_job_that_was_rejected_elsewhere_while_it_was_being_stored_is_accepted_by_a_repeat():
    """Only the unanswered attempt can store the job; each later repeat is told so."""

    async def scenario(fleet):
        fleet.store.lost_answer_ratio = 1.0
        fleet.store.late_ms = 2_000
        with pytest.raises(OutcomeUnknownError):
            await fleet.nodes_by_name["n1"].service.submit(NORMAL, OWNER, job(ID.format(1)), 1_000)
        fleet.store.lost_answer_ratio = 0.0
        service = fleet.nodes_by_name["n2"].service
        service.admission = OverloadedAdmission()
        # Its answer is true of this attempt: the earlier one is not stored yet.
        with pytest.raises(NotAcceptedError):
            await service.submit(NORMAL, OWNER, job(ID.format(1)), 3_000)
        await fleet.clock.sleep_ms(3_000)
        await fleet.submit(job(ID.format(1)), NORMAL, OWNER, at="n2")
        await fleet.wait_state(ID.format(1), "completed", 5_000)
        assert len(starts(fleet.journal, ID.format(1))) == 1

    run_scenario(scenario)


def test_repeat_of_an_accepted_job_is_not_rejected_by_an_instance_that_cannot_store():
    """A job that had been accepted elsewhere was answered as one that never runs."""

    async def scenario(fleet):
        name = next(one for one in ("n1", "n2") if one != fleet.planner_name())
        other = next(one for one in fleet.nodes_by_name if one != name)
        node = fleet.nodes_by_name[name]

        async def refuse(records):
            raise StoreRefusedError("the store does not answer")

        node.writer.write = refuse
        await fleet.submit(job(ID.format(1), run_ms=5_000), NORMAL, OWNER, at=other)
        assert ID.format(1) not in node.job_table.jobs_by_id
        await fleet.submit(job(ID.format(1), run_ms=5_000), NORMAL, OWNER, at=name)
        with pytest.raises(NotAcceptedError):
            await fleet.submit(job(ID.format(2)), NORMAL, OWNER, at=name)

    run_scenario(scenario)


def test_request_that_a_stopping_instance_must_answer_is_not_looked_up():
    """The lookup of an earlier attempt would use up the time for closing connections."""

    async def scenario(fleet):
        name = next(one for one in ("n1", "n2") if one != fleet.planner_name())
        node = fleet.nodes_by_name[name]

        async def withdraw(records):
            try:
                await fleet.clock.sleep_ms(60_000)
            except asyncio.CancelledError:
                raise StoreRefusedError("the records were not sent in time") from None

        node.writer.write = withdraw
        cut_off(fleet, name)
        sent_ms = fleet.clock.now_ms()
        with pytest.raises(NotAcceptedError):
            async with asyncio.timeout(0.5):
                await node.service.submit(NORMAL, OWNER, job(ID.format(1)), 20_000)
        assert fleet.clock.now_ms() - sent_ms < 600

    run_scenario(scenario)


def test_instance_that_has_not_loaded_the_jobs_answers_callers_from_its_peers():
    """It answered the repeat of an accepted job as one that never runs."""

    async def scenario(fleet):
        await fleet.submit(job(ID.format(1), run_ms=20_000), NORMAL, OWNER)
        await fleet.submit(job(ID.format(2), run_ms=20_000), NORMAL, OWNER)
        await fleet.wait_until(
            lambda: starts(fleet.journal, ID.format(2)), 1_000, "the jobs have started"
        )
        node = fleet.start_instance("n9")
        newest = node.shared_reader.newest

        async def newest_late(topic):
            await fleet.clock.sleep_ms(20_000)
            return await newest(topic)

        node.shared_reader.newest = newest_late
        await fleet.clock.sleep_ms(500)
        assert not node.jobs_follower.loaded.is_set()
        assert await fleet.state(ID.format(1), at="n9") == "running"
        assert await node.service.pending(NORMAL, 1_000) == 0
        with pytest.raises(NoSuchJobError):
            await node.service.state(ID.format(3), 1_000)
        await fleet.submit(job(ID.format(1), run_ms=20_000), NORMAL, OWNER, at="n9")
        await fleet.cancel(ID.format(2), at="n9")
        await fleet.wait_state(ID.format(2), "cancelled", 1_000)
        assert not node.jobs_follower.loaded.is_set()

    run_scenario(scenario)


def test_callers_are_answered_while_the_planner_changes():
    """Each kind of call, at the instance that stops planning and at the next planner."""

    async def scenario(fleet):
        await fleet.submit(job(ID.format(1)), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 5_000)
        await fleet.submit(job(ID.format(2), run_ms=60_000), NORMAL, OWNER)
        await fleet.wait_state(ID.format(2), "running", 2_000)
        await fleet.clock.sleep_ms(500)
        fleet.store.answer_ms = 50
        leadership = fleet.nodes_by_name[fleet.planner_name()].leadership
        calls = []
        for turn in range(60):
            for name, node in fleet.nodes_by_name.items():
                calls += [
                    (asyncio.create_task(fleet.state(ID.format(1), at=name)), "completed"),
                    (asyncio.create_task(fleet.state(ID.format(2), at=name)), "running"),
                    (asyncio.create_task(node.service.pending(NORMAL, 3_000)), 0),
                    (
                        asyncio.create_task(fleet.submit(job(ID.format(1)), NORMAL, OWNER, name)),
                        None,
                    ),
                    (
                        asyncio.create_task(fleet.submit(job(ID.format(2)), NORMAL, OWNER, name)),
                        None,
                    ),
                    (asyncio.create_task(fleet.cancel(ID.format(1), at=name)), None),
                ]
            await fleet.clock.sleep_ms(20)
            if turn == 10:
                leadership.step_down(leadership.term)
        for call, expected in calls:
            assert await call == expected
        assert await fleet.state(ID.format(1)) == "completed"
        assert len(starts(fleet.journal, ID.format(1))) == 1

    run_scenario(scenario)


def test_ended_job_is_told_for_as_long_as_promised():
    """By every instance, also by a planner that took over and by one that was started later."""

    async def scenario(fleet):
        await fleet.submit(job(ID.format(1)), NORMAL, OWNER)
        await fleet.wait_state(ID.format(1), "completed", 5_000)
        node = fleet.nodes_by_name[fleet.planner_name()]
        await fleet.clock.sleep_ms(node.settings.job_retention_ms / 2)
        node.leadership.step_down(node.leadership.term)
        await fleet.clock.sleep_ms(node.settings.job_retention_ms / 2 - 5_000)
        fleet.start_instance("n9")
        await fleet.wait_ready()
        await fleet.clock.sleep_ms(4_000)
        for name in fleet.nodes_by_name:
            assert await fleet.state(ID.format(1), at=name) == "completed"
            # A repeated submission neither fails nor runs the job again.
            await fleet.submit(job(ID.format(1)), NORMAL, OWNER, at=name)
        assert len(starts(fleet.journal, ID.format(1))) == 1

    run_scenario(scenario)


def test_job_that_is_submitted_again_after_its_end_does_not_run_again():
    """The instance is behind: it knows neither the job nor its end, and stores the job again."""

    async def scenario(fleet):
        name = next(one for one in ("n1", "n2") if one != fleet.planner_name())
        other = next(one for one in fleet.nodes_by_name if one != name)
        node = fleet.nodes_by_name[name]
        node.jobs_follower.set_read_interval(60_000)
        await fleet.clock.sleep_ms(2_000)
        await fleet.submit(job(ID.format(1)), NORMAL, OWNER, at=other)
        planner = fleet.nodes_by_name[fleet.planner_name()]
        await fleet.wait_until(
            lambda: planner.job_table.jobs_by_id[ID.format(1)].stored_end, 5_000, "the end"
        )
        assert ID.format(1) not in node.job_table.jobs_by_id
        await fleet.submit(job(ID.format(1)), NORMAL, OWNER, at=name)
        node.jobs_follower.set_read_interval(STANDBY_READ_INTERVAL_MS)
        await fleet.clock.sleep_ms(2_000)
        fleet.start_instance("n9")
        await fleet.wait_ready()
        for one in fleet.nodes_by_name:
            assert await fleet.state(ID.format(1), at=one) == "completed"
        assert len(starts(fleet.journal, ID.format(1))) == 1

    run_scenario(scenario)


def test_new_queue_and_key_are_not_denied_from_an_old_configuration():
    """An instance cut off from the store answered 404 and 401 from its old configuration."""

    async def scenario(fleet):
        name = next(one for one in ("n1", "n2") if one != fleet.planner_name())
        app = caller_app(fleet.nodes_by_name[name])
        path = "/x0/" + ID.format(1)
        # While the store is read, absence is known.
        assert await call_status(app, path, "key-owner") == 404
        assert await call_status(app, "/render/", "key-new") == 401
        cut_off(fleet, name)
        fleet.store.put("keyed.op", "config", configuration_bytes(version=7, routes=1))
        await fleet.clock.sleep_ms(4_000)
        assert await call_status(app, path, "key-owner") == 503
        assert await call_status(app, "/render/", "key-new") == 503
        reconnect(fleet, name)
        await fleet.clock.sleep_ms(3_000)
        assert await call_status(app, "/render/", "key-new") == 401
        assert await call_status(app, "/x1/", "key-owner") == 404
        assert await call_status(app, path, "key-owner") == 410

    run_scenario(scenario)


def test_new_queue_is_not_denied_once_its_configuration_must_apply():
    """An instance answered 404 from a configuration older than a new one may take to apply."""

    async def scenario(fleet):
        name = next(one for one in ("n1", "n2") if one != fleet.planner_name())
        app = caller_app(fleet.nodes_by_name[name])
        cut_off(fleet, name)
        fleet.store.put("keyed.op", "config", configuration_bytes(version=7, routes=1))
        await fleet.clock.sleep_ms(CONFIG_APPLY_MS)
        assert await call_status(app, "/x0/" + ID.format(1), "key-owner") == 503

    run_scenario(scenario)


def test_answer_that_begins_after_the_asked_offset_counts_as_trimmed():
    """The records between the asked offset and the first one kept were skipped."""
    body = struct.pack(">QQ", 20, 12) + _encode_record("a/1", b"x")
    with pytest.raises(StoreTrimmedError):
        _decode_records(body, 10)


def test_record_larger_than_a_page_is_read():
    """A store that cuts its answers at their size limit would send such a record never whole."""
    record = _encode_record("p/1", b"x" * 250_000)

    async def read(request):
        size = int(request.query["max_kb"]) * 1_024
        return web.Response(body=struct.pack(">QQ", 8, 0) + record[:size])

    async def run():
        app = web.Application()
        app.router.add_get("/v1/log-read", read)
        async with AppServer(app) as site:
            pool = HttpPool()
            try:
                page = await HttpStore(pool, Address(site.address)).read(JOBS_TOPIC, 7, 0)
            finally:
                await pool.close()
        assert [item.offset for item in page.records] == [7]
        assert page.next_offset == 8

    asyncio.run(run())


@pytest.mark.parametrize("retry_until_stored", [False, True])
def test_record_that_the_store_rejects_does_not_block_later_ones(retry_until_stored):
    """A record above the store's limit was sent again for ever, before all that followed."""

    async def append(request):
        if len(await request.read()) > 262_144:
            return web.json_response({}, status=413)
        return web.json_response({"offset": 0, "end": 1})

    async def run():
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post("/v1/log-append", append)
        async with AppServer(app) as site:
            pool = HttpPool()
            writer = LogWriter(
                HttpStore(pool, Address(site.address)),
                Clock(),
                JOBS_TOPIC,
                "p",
                retry_until_stored=retry_until_stored,
            )
            task = asyncio.create_task(writer.run())
            try:
                async with asyncio.timeout(2):
                    with pytest.raises(StoreError):
                        await writer.write([("p/1", b"x" * 275_000)])
                    await writer.write([("p/2", b"x")])
            finally:
                task.cancel()
                await pool.close()

    asyncio.run(run())


def test_older_interface_does_not_deny_a_job_while_the_log_is_down():
    """A job was answered with 404 by an entry that could not read the log."""
    status, answer = send("GET", "/jobs/j-0000000000000001", log_mode="down")
    assert (status, answer["outcome"]) == (503, "unknown")


def test_job_accepted_during_a_load_is_kept():
    """The pages of a load are no snapshot: a job accepted meanwhile may be missing from them."""
    job_table = job_table_of(job(ID.format(1)), job(ID.format(2)), job(ID.format(3)))
    job_table.forget_removed({JOB_KEY + ID.format(1)}, 2)
    assert sorted(job_table.jobs_by_id) == [ID.format(1), ID.format(3)]
    job_table.reset()
    job_table.forget_removed({JOB_KEY + ID.format(1)}, 3)
    assert sorted(job_table.jobs_by_id) == [ID.format(1)]


@given(st.data())
def test_load_that_is_no_snapshot_leads_to_the_same_state(data):
    """Pages read at different times, and reads that overlap them, must not change a job's state."""
    records = data.draw(job_history(ID.format(1)))
    expected = JobTable()
    apply_records(expected, records)
    loaded = JobTable()
    if data.draw(st.booleans()):
        # The instance stops planning: its progress is discarded and loaded again.
        known = data.draw(st.integers(0, len(records)))
        apply_records(loaded, records[:known])
        loaded.reset()
        overlapping = data.draw(st.integers(known, len(records)))
        apply_records(loaded, records[known:overlapping])
        first_page = data.draw(st.integers(known, len(records)))
    else:
        first_page = data.draw(st.integers(0, len(records)))
    ends = st.integers(first_page, len(records))
    pages = sorted((first_page, data.draw(ends), data.draw(ends)))
    page_records = [
        newest_record(records[:end], kind + ID.format(1))
        for kind, end in zip((JOB_KEY, CANCEL_KEY, PROGRESS_KEY), pages, strict=True)
    ]
    apply_records(loaded, [record for record in page_records if record is not None])
    loaded.forget_removed({record.key for record in page_records if record is not None}, first_page)
    apply_records(loaded, records[first_page:])
    assert describe_jobs(loaded) == describe_jobs(expected)


def test_resigning_does_not_take_up_the_grace_while_the_store_is_silent():
    """Attempts to resign took 5 s, so a stopping instance could be killed with open requests."""

    async def scenario(fleet):
        planning = fleet.nodes_by_name[fleet.planner_name()]
        fleet.store.mode = "silent"
        started_ms = fleet.clock.now_ms()
        await planning.resign()
        assert fleet.clock.now_ms() - started_ms <= TERM_TIMEOUT_MS
        fleet.store.mode = "up"

    run_scenario(scenario)


@pytest.mark.slow
@pytest.mark.parametrize("instances", (1, 3))
def test_request_that_is_open_at_the_end_of_the_grace_is_answered(instances, tmp_path):
    """A request that waited for the store ended without an answer when its process was killed.

    Later, the resignation of a planner was awaited first, which took over 5 s with peers.
    """

    async def scenario(cluster):
        planner = await cluster.wait_planner()
        cluster.store.mode = "silent"
        process = cluster.processes_by_name[planner]
        process.send_signal(signal.SIGTERM)
        headers = {**CALLER_HEADERS, DEADLINE_HEADER: "20000"}
        async with asyncio.timeout(cluster.grace_s):
            path = "/render/" + ID.format(1)
            answer = await cluster.call(planner, "POST", path, job_body(), headers=headers)
            assert answer[0] == 504
            assert await process.wait() == 0

    async def run():
        cluster = FleetCluster(tmp_path)
        cluster.grace_s = 5
        try:
            await cluster.start(instances=instances)
            await scenario(cluster)
        finally:
            await cluster.close()

    asyncio.run(run())


@pytest.mark.slow
def test_callers_are_answered_while_the_settings_file_changes(tmp_path):
    """SIGHUP and a settings file that cannot be read change nothing for callers."""

    async def scenario(cluster):
        process = cluster.processes_by_name["n1"]
        path = "/render/" + ID.format(1)
        assert (await cluster.call("n1", "POST", path, job_body(run_ms=10_000)))[0] == 200
        settings = tmp_path / "n1.json"
        valid = settings.read_text()
        for turn in range(30):
            settings.write_text("{" if turn % 2 else valid)
            calls = [cluster.call("n1", "GET", path) for _ in range(5)]
            calls.append(cluster.call("n1", "POST", path, job_body(run_ms=10_000)))
            answers = asyncio.gather(*calls)
            process.send_signal(signal.SIGHUP)
            assert {status for status, _ in await answers} == {200}
        assert process.returncode is None

    async def run():
        cluster = FleetCluster(tmp_path)
        try:
            await cluster.start(instances=1)
            await scenario(cluster)
        finally:
            await cluster.close()

    asyncio.run(run())
