"""Processes of the platform's program, tested against the emulated platform on loopback."""

import asyncio
import signal

import pytest
from fleet_cluster import CALLER_HEADERS, HOST, FleetCluster, job_body

from carawayroute_standins.fleet.judge import find_violations, starts

pytestmark = pytest.mark.slow
ID = "00000000000000{:02x}"
# The platform allows a count of pending jobs to be this old.
MAX_PENDING_AGE_S = 2.0


def run_scenario(folder, scenario, **options):
    """Run a scenario with real processes, then check the runners' journal for violations."""

    async def run():
        cluster = FleetCluster(folder)
        try:
            await cluster.start(**options)
            await scenario(cluster)
        finally:
            await cluster.close()
        assert find_violations(cluster.journal) == []

    asyncio.run(run())


def test_callers_are_served_end_to_end(tmp_path):
    async def scenario(cluster):
        path = "/render/" + ID.format(1)
        assert (await cluster.call("n1", "POST", path, job_body(count=4, gang=True)))[0] == 200
        assert (await cluster.call("n2", "POST", path, job_body(count=4, gang=True)))[0] == 200
        await cluster.wait_state("n2", path, "completed")
        assert len(starts(cluster.journal, ID.format(1))) == 4
        await cluster.wait_pending("n3", "/render/", 0, MAX_PENDING_AGE_S)
        assert (await cluster.call("n3", "DELETE", path))[0] == 200

    run_scenario(tmp_path, scenario)


def test_invalid_calls_get_distinct_statuses(tmp_path):
    async def scenario(cluster):
        path = "/render/" + ID.format(1)
        wrong_key = {**CALLER_HEADERS, "Authorization": "Bearer nobody"}
        assert (await cluster.call("n1", "POST", path, job_body(), headers=wrong_key))[0] == 401
        assert (await cluster.call("n1", "POST", "/nowhere/" + ID.format(1), job_body()))[0] == 404
        assert (await cluster.call("n1", "GET", path))[0] == 410
        assert (await cluster.call("n1", "DELETE", path))[0] == 410
        assert (await cluster.call("n1", "PUT", path, job_body()))[0] == 405
        assert (await cluster.call("n1", "POST", path, b"x" * 5_000))[0] == 413
        for bad in (b"", b"{", b"[]", b'{"spec":1,"steps":[]}', b'{"spec":"","steps":[{}]}'):
            assert (await cluster.call("n1", "POST", path, bad))[0] == 400
        late = {"spec": "", "steps": [{"count": 1, "depends_on": [1]}]}
        assert (await cluster.call("n1", "POST", path, late))[0] == 400
        assert starts(cluster.journal, ID.format(1)) == []

    run_scenario(tmp_path, scenario, instances=1)


def test_lookups_and_bytes_from_the_store_are_shown_as_metrics(tmp_path):
    async def scenario(cluster):
        # The cancel is stored; the lookup after it reads its record.
        for method in ("DELETE", "GET"):
            assert (await cluster.call("n1", method, "/render/" + ID.format(1)))[0] == 410
        url = f"http://{HOST}:{cluster.ports_by_name['n1']['metrics']}/metrics"
        async with cluster.session.get(url) as response:
            lines = (await response.text()).splitlines()
        lookups = 'carawayroute_job_lookups_total{evidence="end_reached",outcome="absent"} 2.0'
        assert lookups in lines
        assert "carawayroute_jobs_behind_records 0.0" in lines
        for kind in ("append", "newest", "read"):
            name = f'carawayroute_store_received_bytes_total{{kind="{kind}"}} '
            assert [float(line.split()[1]) for line in lines if line.startswith(name)][0] > 0

    run_scenario(tmp_path, scenario, instances=1)


def test_submission_that_outlasts_its_callers_wait_in_a_frozen_instance_is_not_accepted(tmp_path):
    """UNASKED: the instance accepted it when it woke, and the job ran though nobody waited."""

    async def scenario(cluster):
        planner = await cluster.wait_planner()
        frozen, other = [name for name in cluster.processes_by_name if name != planner]
        cluster.processes_by_name[frozen].send_signal(signal.SIGSTOP)
        path = "/render/" + ID.format(1)
        headers = {**CALLER_HEADERS, "X-Carawayroute-Deadline-Ms": "1500"}
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.5):
                await cluster.call(frozen, "POST", path, job_body(20_000), headers)
        await asyncio.sleep(1)
        cluster.processes_by_name[frozen].send_signal(signal.SIGCONT)
        await asyncio.sleep(2)
        assert (await cluster.call(other, "GET", path))[0] == 410
        assert starts(cluster.journal, ID.format(1)) == []
        # Later submissions are accepted.
        assert (await cluster.call(frozen, "POST", path, job_body(300), headers))[0] == 200
        await cluster.wait_state(other, path, "completed")

    run_scenario(tmp_path, scenario)


def test_work_goes_on_while_the_store_is_away_for_all(tmp_path):
    """The instances confirm the planner's term over their links, beyond the longest lease."""

    async def scenario(cluster):
        planner = await cluster.wait_planner()
        path = "/render/" + ID.format(1)
        assert (await cluster.call("n1", "POST", path, job_body(18_000, count=4)))[0] == 200
        async with asyncio.timeout(5):
            while len(starts(cluster.journal, ID.format(1))) < 4:
                await asyncio.sleep(0.05)
        cluster.store.mode = "silent"
        await asyncio.sleep(13)
        assert await cluster.planner() == planner
        cluster.store.mode = "up"
        await cluster.wait_state("n1", path, "completed")
        assert len(starts(cluster.journal, ID.format(1))) == 4

    run_scenario(tmp_path, scenario)


def test_jobs_complete_after_planner_is_killed(tmp_path):
    async def scenario(cluster):
        for number in range(5):
            path = "/render/" + ID.format(number)
            assert (await cluster.call("n1", "POST", path, job_body(2_000, 3, gang=True)))[0] == 200
        await asyncio.sleep(0.3)
        victim = await cluster.planner()
        cluster.processes_by_name[victim].send_signal(signal.SIGKILL)
        await cluster.processes_by_name[victim].wait()
        other = next(name for name in cluster.ports_by_name if name != victim)
        for number in range(5):
            await cluster.wait_state(other, "/render/" + ID.format(number), "completed")

    run_scenario(tmp_path, scenario)


def test_terminated_process_answers_what_was_asked_and_hands_over(tmp_path):
    async def scenario(cluster):
        victim = await cluster.wait_planner()
        process = cluster.processes_by_name[victim]
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert await cluster.status(victim, "ready", "/v1/readiness") == 503
        path = "/render/" + ID.format(1)
        assert (await cluster.call(victim, "POST", path, job_body()))[0] == 200
        await cluster.wait_state(victim, path, "completed")
        async with asyncio.timeout(6):
            assert await process.wait() == 0
        assert await cluster.planner() not in ("", victim)

    run_scenario(tmp_path, scenario)


def test_rest_of_a_refused_body_does_not_delay_the_stop(tmp_path):
    """An instance ended 7 s after its drain, past its grace, as a client did not send the rest."""

    async def scenario(cluster):
        port = cluster.ports_by_name["n1"]["front"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        lines = ["POST /render/" + ID.format(1) + " HTTP/1.1", "Content-Length: 100000000"]
        lines += [f"{name}: {value}" for name, value in CALLER_HEADERS.items()]
        writer.write("\r\n".join([*lines, "", "{"]).encode())
        assert await reader.readexactly(12) == b"HTTP/1.1 413"
        process = cluster.processes_by_name["n1"]
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(6):
            assert await process.wait() == 0
        writer.close()

    run_scenario(tmp_path, scenario)
