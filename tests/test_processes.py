"""Daemon processes under signals and outages, and connections that stop answering."""

import asyncio
import json
import pathlib
import signal
import subprocess
import sys
import time

import pytest
from judge import MAX_PARTIAL_RUN_MS
from test_adapters import BODY, AppServer, runner, runner_app

from carawayroute.clock import Clock
from carawayroute.exceptions import EndpointUncertainError
from carawayroute_standins.client import Caller
from carawayroute_standins.cluster import Cluster
from carawayroute_standins.deployments import DEPLOYMENTS_BY_NAME
from carawayroute_standins.journal import Journal
from carawayroute_standins.relay import Relay
from carawayroute_standins.runner import RunnerModel
from carawayrouted.adapters import HttpEndpoints

pytestmark = pytest.mark.slow

DECKMALI = DEPLOYMENTS_BY_NAME["deckmali"]
GANG = {"members": 2, "accelerators": 8, "adjacency": "RACK"}


def ctl(cluster: Cluster, *words: str) -> subprocess.CompletedProcess:
    """Run carawayctl against a cluster."""
    command = [sys.executable, "-m", "carawayctl.cmdline", *words]
    command.append(f"--server={cluster.operator_servers}")
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


async def publish(cluster: Cluster) -> None:
    """Publish the example configuration."""
    file = str(cluster.layout.deployment.configuration_file)
    result = await asyncio.to_thread(ctl, cluster, "publish", file, "--based_on=0")
    assert result.returncode == 0, result.stderr
    await asyncio.sleep(1)


def job(run_ms: int, request_id: str, kind: str = "pack-render") -> dict:
    """Return a gang job of the storefront whose shape is guaranteed."""
    payload = json.dumps({"run_ms": run_ms})
    shape = {**GANG}
    return {
        "kind": kind,
        "region": "south",
        "shape": shape,
        "payload": payload,
        "request_id": request_id,
    }


async def planner_of(cluster: Cluster, region: str) -> str:
    """Return the daemon whose metrics say that it plans for a region, or an empty string."""
    for entry in cluster.layout.entries:
        if entry.region != region or cluster.process_by_name[entry.id].poll() is not None:
            continue
        port = cluster.layout.ports_by_entry[entry.id]["metrics_port"]
        async with cluster.session.get(f"http://127.0.0.1:{port}/metrics") as response:
            if "carawayroute_planner_acting 1.0" in await response.text():
                return entry.id
    return ""


def attempts_of(journal: list[dict], job_id: str, action: str) -> set[tuple[str, str]]:
    """Return the attempt and worker of a job's journal entries for one action."""
    return {
        (entry["attempt"], entry["worker"])
        for entry in journal
        if entry.get("job") == job_id and entry["what"] == action
    }


def run(folder: pathlib.Path, scenario, **settings: object) -> None:
    """Run a scenario with a cluster of processes."""

    async def main() -> None:
        async with Cluster(DECKMALI, folder, settings) as cluster:
            await publish(cluster)
            await scenario(cluster)

    asyncio.run(main())


def test_killed_planner_leaves_its_gang_running(tmp_path) -> None:
    async def scenario(cluster: Cluster) -> None:
        entries = cluster.layout.entries
        caller = Caller(cluster.session, "storefront")
        accepted = await caller.submit(entries[0], job(12_000, "gang"))
        await asyncio.sleep(2)
        planner = await planner_of(cluster, "south")
        cluster.signal(planner, signal.SIGKILL)
        survivor = next(entry for entry in entries if entry.id != planner)
        later = await caller.submit(
            survivor, {**job(500, "later"), "shape": {**GANG, "members": 1}}
        )
        began = time.monotonic()
        ended = await caller.watch(survivor, later["job"], 20_000)
        assert ended["outcome"] == "done"
        assert time.monotonic() - began < 10
        ended = await caller.watch(survivor, accepted["job"], 25_000)
        assert ended["outcome"] == "done"
        journal = await cluster.journal("worker")
        assert len(attempts_of(journal, accepted["job"], "start")) == 2
        assert not attempts_of(journal, accepted["job"], "stop")

    run(tmp_path, scenario)


def test_resumed_planner_does_not_restart_gang(tmp_path) -> None:
    async def scenario(cluster: Cluster) -> None:
        entries = cluster.layout.entries
        caller = Caller(cluster.session, "storefront")
        planner = await planner_of(cluster, "south")
        survivor = next(entry for entry in entries if entry.id != planner)
        accepted = await caller.submit(survivor, job(20_000, "gang"))
        await asyncio.sleep(2)
        cluster.signal(planner, signal.SIGSTOP)
        await asyncio.sleep(10)
        cluster.signal(planner, signal.SIGCONT)
        ended = await caller.watch(survivor, accepted["job"], 30_000)
        assert ended["outcome"] == "done"
        journal = await cluster.journal("worker")
        assert len(attempts_of(journal, accepted["job"], "start")) == 2
        assert not attempts_of(journal, accepted["job"], "stop")
        assert await planner_of(cluster, "south") != ""

    run(tmp_path, scenario)


def test_rolling_restart_cuts_off_no_request(tmp_path) -> None:
    async def scenario(cluster: Cluster) -> None:
        caller = Caller(cluster.session, "storefront")
        requests = []
        stop = asyncio.Event()

        async def load() -> None:
            number = 0
            while not stop.is_set():
                number += 1
                entry = ready[number % len(ready)]
                request = caller.quick(entry, "preview", f"p-{number}", 300)
                requests.append(asyncio.create_task(request))
                await asyncio.sleep(0.02)

        ready = list(cluster.layout.entries)
        loading = asyncio.create_task(load())
        for entry in cluster.layout.entries[:3]:
            ready.remove(entry)
            cluster.signal(entry.id, signal.SIGTERM)
            assert await cluster.wait_exited(entry.id) == 0
            cluster.start_entry(entry)
            await cluster.wait_ready(entry)
            ready.append(entry)
        stop.set()
        await loading
        outcomes = [answer.outcome for answer in await asyncio.gather(*requests)]
        assert set(outcomes) == {"done"}, {name: outcomes.count(name) for name in set(outcomes)}

    run(tmp_path, scenario)


def test_request_with_an_incomplete_body_is_answered_and_does_not_hold_up_the_stop(
    tmp_path,
) -> None:
    """A daemon ended a minute after its drain, without an answer to the request."""

    async def scenario(cluster: Cluster) -> None:
        entry = cluster.layout.entries[0]
        host, port = entry.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = ["POST /v1/kinds/preview/requests HTTP/1.1", f"Host: {host}", "Content-Length: 9"]
        lines += ["Authorization: Bearer storefront-key", "Carawayroute-Team: storefront"]
        writer.write("\r\n".join([*lines, "", "{"]).encode())
        await asyncio.sleep(0.5)
        cluster.signal(entry.id, signal.SIGTERM)
        assert await cluster.wait_exited(entry.id, 10) == 0
        assert (await reader.read()).startswith(b"HTTP/1.1 504")
        writer.close()

    run(tmp_path, scenario, drain_ms=1_000)


def test_store_outage_and_operators(tmp_path) -> None:
    async def scenario(cluster: Cluster) -> None:
        entries = cluster.layout.entries
        caller = Caller(cluster.session, "design-desk")
        await cluster.control("log", mode="down")
        export = await caller.quick(entries[0], "export", "x", 200, wait_ms=1500)
        assert export.outcome == "not_run"
        preview = await Caller(cluster.session, "storefront").quick(entries[0], "preview", "p", 50)
        assert preview.outcome == "done"
        refused = await asyncio.to_thread(
            ctl, cluster, "publish", str(DECKMALI.configuration_file), "--based_on=1"
        )
        assert refused.returncode == 1
        assert "nothing was changed" in refused.stderr
        assert len(refused.stderr.splitlines()) == 1
        await cluster.control("log", mode="up")
        await asyncio.sleep(2)
        again = await caller.quick(entries[1], "export", "x", 200)
        assert again.outcome == "done"
        journal = await cluster.journal("runner")
        ran = [entry["request"] for entry in journal if entry["what"] == "run"]
        assert ran.count("x") == 1
        await operators(cluster)

    run(tmp_path, scenario)


async def operators(cluster: Cluster) -> None:
    """Run the operators' commands and check their output."""
    caller = Caller(cluster.session, "storefront")
    accepted = await caller.submit(cluster.layout.entries[0], job(30_000, "shown"))
    await asyncio.sleep(2)
    for words, shown in (
        (["teams"], "storefront"),
        (["guarantees"], "storefront/packs"),
        (["workers"], "worker-"),
        (["jobs", accepted["job"]], "running"),
        (["read"], "# version 1"),
    ):
        result = await asyncio.to_thread(ctl, cluster, *words)
        assert result.returncode == 0, result.stderr
        assert shown in result.stdout
        as_json = await asyncio.to_thread(ctl, cluster, *words, "--json")
        json.loads(as_json.stdout)
    stale = str(cluster.layout.deployment.configuration_file)
    lost = await asyncio.to_thread(ctl, cluster, "publish", stale, "--based_on=0")
    assert lost.returncode == 1
    assert "version 1 is in force" in lost.stderr
    cancelled = await asyncio.to_thread(ctl, cluster, "cancel", accepted["job"])
    assert cancelled.returncode == 0
    ended = await caller.watch(cluster.layout.entries[0], accepted["job"], 10_000)
    assert ended["outcome"] == "cancelled"


def test_export_of_killed_entry_stays_unknown_and_is_not_repeated(tmp_path) -> None:
    async def scenario(cluster: Cluster) -> None:
        first, second = cluster.layout.entries[:2]
        caller = Caller(cluster.session, "design-desk")
        task = asyncio.create_task(caller.quick(first, "export", "x", 3_000))
        await asyncio.sleep(1)
        cluster.signal(first.id, signal.SIGKILL)
        assert (await task).outcome == "unknown"
        again = await caller.quick(second, "export", "x", 3_000, wait_ms=4_000)
        assert again.outcome == "unknown"
        journal = await cluster.journal("runner")
        assert [entry["request"] for entry in journal if entry["what"] == "run"] == ["x"]

    run(tmp_path, scenario)


def test_silent_connections_are_replaced() -> None:
    async def main() -> None:
        model = RunnerModel(runner("r"), Journal(Clock()), Clock())
        async with AppServer(runner_app(model)) as site:
            relay = Relay(site.address)
            await relay.start()
            target = runner("r")
            target.address = relay.address
            endpoints = HttpEndpoints()
            await asyncio.gather(
                *(endpoints.run(target, f"a{i}", "k", BODY, 500) for i in range(8))
            )
            relay.silence()
            with pytest.raises(EndpointUncertainError):
                await endpoints.run(target, "b", "k", BODY, 200)
            answers = [await endpoints.run(target, f"c{i}", "k", BODY, 500) for i in range(8)]
            assert all(answer.status == 200 for answer in answers)
            await endpoints.close()
            await relay.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("flags", "named"),
    [
        (["--region=x"], "--instance"),
        (["--instance=a", "--region=No Region"], "--region"),
        (["--instance=a", "--region=x", "--data_centre=d", "--caller_port=99999"], "--caller-port"),
        (["--colour=red"], "--colour"),
        (["stray"], "stray"),
    ],
)
def test_invalid_setting_exits_with_status_2(flags: list[str], named: str) -> None:
    command = [sys.executable, "-m", "carawayrouted.cmdline", *flags]
    result = subprocess.run(command, capture_output=True, text=True, timeout=20)
    assert result.returncode == 2
    assert named in result.stderr
    assert len(result.stderr.splitlines()) == 1


def test_partial_bound_covers_lease_and_adoption() -> None:
    assert MAX_PARTIAL_RUN_MS == 40_000
