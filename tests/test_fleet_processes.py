"""Real processes of the platform's program over the emulator on loopback."""

import asyncio
import itertools
import json
import os
import signal
import sys

import aiohttp
import pytest
from aiohttp import web
from fleet_builders import configuration_bytes, runner_fields

from carawayroute.clock import Clock
from carawayroute_standins.cluster import free_port_range
from carawayroute_standins.fleet.http import RunnerServer, StoreServer
from carawayroute_standins.fleet.judge import problems, starts
from carawayroute_standins.fleet.taskrunner import GangBoard, TaskRunner, Work, make_runner
from carawayroute_standins.fleet.topics import TopicStore
from carawayroute_standins.journal import Journal

pytestmark = pytest.mark.slow
HOST = "127.0.0.1"
ID = "00000000000000{:02x}"
KEY = {"Authorization": "Bearer key-owner", "Host": "h"}


class Site:
    """The emulator's servers and some processes of the program."""

    def __init__(self, folder) -> None:
        self.folder = folder
        self._ports = itertools.count(free_port_range())
        self.clock = Clock()
        self.journal = Journal(self.clock)
        self.store = TopicStore(self.clock)
        self.gangs = GangBoard()
        self.runners: list[web.AppRunner] = []
        self.tasks: list[asyncio.Task] = []
        self.processes_by_name: dict[str, asyncio.subprocess.Process] = {}
        self.ports_by_name: dict[str, dict[str, int]] = {}
        self.session = aiohttp.ClientSession()

    async def serve(self, app: web.Application) -> int:
        """Serve an application and return its port."""
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        port = next(self._ports)
        await web.TCPSite(runner, HOST, port).start()
        self.runners.append(runner)
        return port

    async def start(self, instances: int = 3, runners: int = 4) -> None:
        """Start everything and wait until all instances are ready."""
        self.store.put("keyed.op", "config", configuration_bytes())
        for number in range(runners):
            listed = make_runner(f"w{number}", f"r1-{number // 2}")
            model = TaskRunner(listed, self.clock, self.journal, self.gangs)
            self.tasks.append(asyncio.create_task(model.run()))
            port = await self.serve(RunnerServer(model).app())
            fields = {**runner_fields(listed), "address": f"{HOST}:{port}"}
            self.store.put("keyed.servers", listed.id, json.dumps(fields).encode())
        self.store_port = await self.serve(StoreServer(self.store.view("any")).app())
        for number in range(1, instances + 1):
            await self.start_process(f"n{number}")
        await asyncio.gather(*(self.wait_ready(name) for name in self.processes_by_name))

    async def start_process(self, name: str) -> None:
        """Start one process of the program."""
        ports = {key: next(self._ports) for key in ("front", "ready", "peer", "metrics")}
        self.ports_by_name[name] = ports
        settings = {
            "node_name": name,
            "ip": HOST,
            "zone": "south-a",
            "region": "south",
            "listen": {
                "front": f"{HOST}:{ports['front']}",
                "ready": f"{HOST}:{ports['ready']}",
            },
            "internal_ports": [ports["peer"], ports["peer"]],
            "platform": {"address": f"{HOST}:{self.store_port}"},
            "bounds": {
                "hold_max_ms": 10_000,
                "stop_timeout_ms": 200,
                "grace_s": 6,
                "status_s": 120,
            },
            "unknown_field": {"is": "ignored"},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            **os.environ,
            "CARAWAYROUTE_CONFIG": str(path),
            "CARAWAYROUTED_METRICS_PORT": str(ports["metrics"]),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes_by_name[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "carawayrouted.platform",
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, name: str) -> None:
        """Wait until an instance asks for connections."""
        async with asyncio.timeout(20):
            while await self.status(name, "ready", "/v1/readiness") != 200:
                await asyncio.sleep(0.05)

    async def status(self, name: str, port: str, path: str) -> int:
        """Return the status of a plain GET, 0 without an answer."""
        url = f"http://{HOST}:{self.ports_by_name[name][port]}{path}"
        try:
            async with self.session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def call(self, name: str, method: str, path: str, body=None, headers=KEY):
        """Make a caller's call and return its status and body."""
        url = f"http://{HOST}:{self.ports_by_name[name]['front']}{path}"
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body else None
        async with self.session.request(method, url, data=data, headers=headers) as response:
            return response.status, await response.json()

    async def wait_state(self, name: str, path: str, state: str) -> None:
        """Wait until an instance shows a job in a state."""
        async with asyncio.timeout(20):
            while await self.call(name, "GET", path) != (200, {"state": state}):
                await asyncio.sleep(0.05)

    async def planner(self) -> str:
        """Return the instance that plans by its own metrics."""
        for name, ports in self.ports_by_name.items():
            if self.processes_by_name[name].returncode is not None:
                continue
            async with self.session.get(f"http://{HOST}:{ports['metrics']}/metrics") as response:
                text = await response.text()
            if "carawayroute_planner_term 0.0" not in text:
                return name
        return ""

    async def close(self) -> None:
        """End what was started."""
        for process in self.processes_by_name.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for task in self.tasks:
            task.cancel()
        await self.session.close()
        for runner in self.runners:
            await runner.cleanup()


def body(run_ms: int = 300, count: int = 1, gang: bool = False) -> dict:
    """Return a job as a caller sends it."""
    one = {"count": count, "cpu": 1_000, "mem_mb": 1_000, "gpu": 1, "estimate_ms": run_ms}
    if gang:
        one["gang"] = True
    return {"spec": Work.spec(run_ms, count if gang else 0), "steps": [one]}


def play(folder, scenario, **options):
    """Run a scenario over real processes and judge what the runners did."""

    async def run():
        site = Site(folder)
        try:
            await site.start(**options)
            await scenario(site)
        finally:
            await site.close()
        assert problems(site.journal) == []

    asyncio.run(run())


def test_callers_are_served_end_to_end(tmp_path):
    async def scenario(site):
        path = "/render/" + ID.format(1)
        assert (await site.call("n1", "POST", path, body(count=4, gang=True)))[0] == 200
        assert (await site.call("n2", "POST", path, body(count=4, gang=True)))[0] == 200
        await site.wait_state("n2", path, "completed")
        assert len(starts(site.journal, ID.format(1))) == 4
        assert await site.call("n3", "GET", "/render/") == (200, {"pending": 0})
        assert (await site.call("n3", "DELETE", path))[0] == 200

    play(tmp_path, scenario)


def test_wrong_calls_get_their_own_status(tmp_path):
    async def scenario(site):
        path = "/render/" + ID.format(1)
        wrong_key = {**KEY, "Authorization": "Bearer nobody"}
        assert (await site.call("n1", "POST", path, body(), headers=wrong_key))[0] == 401
        assert (await site.call("n1", "POST", "/nowhere/" + ID.format(1), body()))[0] == 404
        assert (await site.call("n1", "GET", path))[0] == 410
        assert (await site.call("n1", "DELETE", path))[0] == 410
        assert (await site.call("n1", "PUT", path, body()))[0] == 405
        assert (await site.call("n1", "POST", path, b"x" * 5_000))[0] == 413
        for bad in (b"", b"{", b"[]", b'{"spec":1,"steps":[]}', b'{"spec":"","steps":[{}]}'):
            assert (await site.call("n1", "POST", path, bad))[0] == 400
        late = {"spec": "", "steps": [{"count": 1, "depends_on": [1]}]}
        assert (await site.call("n1", "POST", path, late))[0] == 400
        assert starts(site.journal, ID.format(1)) == []

    play(tmp_path, scenario, instances=1)


def test_planner_killed_while_work_runs(tmp_path):
    async def scenario(site):
        for number in range(5):
            path = "/render/" + ID.format(number)
            assert (await site.call("n1", "POST", path, body(2_000, 3, gang=True)))[0] == 200
        await asyncio.sleep(0.3)
        victim = await site.planner()
        site.processes_by_name[victim].send_signal(signal.SIGKILL)
        await site.processes_by_name[victim].wait()
        other = next(name for name in site.ports_by_name if name != victim)
        for number in range(5):
            await site.wait_state(other, "/render/" + ID.format(number), "completed")

    play(tmp_path, scenario)


def test_terminated_process_answers_what_was_asked_and_hands_over(tmp_path):
    async def scenario(site):
        victim = await site.planner()
        process = site.processes_by_name[victim]
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert await site.status(victim, "ready", "/v1/readiness") == 503
        path = "/render/" + ID.format(1)
        assert (await site.call(victim, "POST", path, body()))[0] == 200
        await site.wait_state(victim, path, "completed")
        async with asyncio.timeout(6):
            assert await process.wait() == 0
        assert await site.planner() not in ("", victim)

    play(tmp_path, scenario)
