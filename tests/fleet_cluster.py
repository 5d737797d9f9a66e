"""Emulated platform servers and processes of the platform's program on loopback."""

import asyncio
import itertools
import json
import os
import sys

import aiohttp
from aiohttp import web
from fleet_builders import NORMAL, configuration_bytes, runner_fields

from carawayroute.clock import Clock
from carawayroute.fleet.types import Runner
from carawayroute.misc import TaskGroup
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.cluster import free_port_range
from carawayroute_standins.fleet.bandwidth import Network
from carawayroute_standins.fleet.http import RunnerServer, StoreServer
from carawayroute_standins.fleet.pool import RunnerPool
from carawayroute_standins.fleet.taskrunner import GangRegistry, TaskRunner, make_runner
from carawayroute_standins.fleet.taskspec import DEADLY_AFTER_MS, TaskSpec
from carawayroute_standins.fleet.topics import TopicStore
from carawayroute_standins.journal import Journal
from carawayroute_standins.relay import Relay

HOST = "127.0.0.1"
STORE_REGION = "south"
FAR_REGION = "north"
CALLER_HEADERS = {"Authorization": "Bearer key-owner", "Host": "h"}


async def serve_app(app: web.Application, port: int) -> web.AppRunner:
    """Serve an application on a port until the result is cleaned up."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, HOST, port).start()
    return runner


class RunnerSite:
    """Ports of a runner, closed while no process runs there.

    :param relayed: whether processes reach the runner through a relay.
    """

    def __init__(self, runner: TaskRunner, port: int, relayed: bool) -> None:
        self._runner = runner
        self._port = port
        self._server: web.AppRunner | None = None
        self._lock = asyncio.Lock()
        self.relay = Relay(f"{HOST}:{port}") if relayed else None

    @property
    def address(self) -> str:
        """Return the address that the runner lists."""
        return self.relay.address if self.relay is not None else f"{HOST}:{self._port}"

    async def open(self) -> None:
        """Accept connections."""
        async with self._lock:
            self._server = await serve_app(RunnerServer(self._runner).app(), self._port)
            if self.relay is not None:
                await self.relay.start()

    async def close(self) -> None:
        """Break all connections and refuse new ones."""
        async with self._lock:
            server, self._server = self._server, None
            if server is None:
                return
            if self.relay is not None:
                self.relay.close_port()
            await server.cleanup()


class FleetCluster:
    """Emulated platform servers and some processes of the program.

    :param folder: directory of the settings files and logs.
    :ivar network: links to the instances, unlimited by default.
    :ivar use_relays: whether processes reach the store and runners through relays.
    :ivar grace_s: time that the instances have to end after SIGTERM.
    :ivar guarding: whether the runners refuse starts that exceed their capacity.
    :ivar pool: the runners.
    """

    def __init__(self, folder) -> None:
        self.folder = folder
        self._ports = itertools.count(free_port_range())
        self.clock = Clock()
        self.journal = Journal(self.clock)
        self.network = Network(self.clock, STORE_REGION)
        self.store = TopicStore(self.clock, self.network)
        self.gangs = GangRegistry()
        self.runners: list[web.AppRunner] = []
        self.tasks = TaskGroup()
        self.pool = RunnerPool(
            self.store, "keyed.servers", self._entry, self.clock, self.journal, self.tasks
        )
        self.pool.on_crash = self._close_ports
        self.pool.on_restart = self._open_ports
        self.processes_by_name: dict[str, asyncio.subprocess.Process] = {}
        self.ports_by_name: dict[str, dict[str, int]] = {}
        self.session = aiohttp.ClientSession()
        self.program = ("-m", "carawayrouted.platform")
        self.use_relays = False
        self.grace_s = 6
        self.guarding = True
        self._runner_sites: dict[TaskRunner, RunnerSite] = {}
        self.store_relays_by_name: dict[str, Relay] = {}

    @property
    def runner_relays(self) -> list[Relay]:
        """Return the relays to the runners."""
        return [site.relay for site in self._runner_sites.values() if site.relay is not None]

    @staticmethod
    def _entry(listed: Runner) -> bytes:
        return json.dumps(runner_fields(listed)).encode()

    def _close_ports(self, runner: TaskRunner) -> None:
        self.tasks.start(self._runner_sites[runner].close(), f"close {runner.listed.id}")

    def _open_ports(self, runner: TaskRunner) -> None:
        self.tasks.start(self._runner_sites[runner].open(), f"open {runner.listed.id}")

    async def serve(self, app: web.Application) -> int:
        """Serve an application and return its port."""
        port = next(self._ports)
        self.runners.append(await serve_app(app, port))
        return port

    async def start(self, instances: int = 3, runners: int = 4, far: int = 0) -> None:
        """Start the servers and instances and wait until all instances are ready.

        :param far: number of instances that are not in the store's region.
        """
        self.store.put("keyed.op", "config", configuration_bytes(guarding=self.guarding))
        for number in range(runners):
            listed = make_runner(f"w{number}", f"r1-{number // 2}")
            model = TaskRunner(listed, self.clock, self.journal, self.gangs, guarding=self.guarding)
            site = RunnerSite(model, next(self._ports), self.use_relays)
            self._runner_sites[model] = site
            await site.open()
            model.listed.address = site.address
            self.pool.add(model)
        names = [f"n{number}" for number in range(1, instances + 1)]
        self.network.region_by_instance.update(dict.fromkeys(names[instances - far :], FAR_REGION))
        for name in names:
            await self.start_process(name)
        await asyncio.gather(*(self.wait_ready(name) for name in self.processes_by_name))

    async def start_process(self, name: str) -> None:
        """Start a process of the program, on the same ports if it was started before."""
        ports = self.ports_by_name.get(name)
        if ports is None:
            ports = {key: next(self._ports) for key in ("front", "ready", "peer", "metrics")}
            ports["store"] = await self.serve(StoreServer(self.store.client_for(name)).app())
            self.ports_by_name[name] = ports
        region = self.network.region(name)
        store = f"{HOST}:{ports['store']}"
        if name in self.store_relays_by_name:
            store = self.store_relays_by_name[name].address
        elif self.use_relays:
            self.store_relays_by_name[name] = Relay(store)
            await self.store_relays_by_name[name].start()
            store = self.store_relays_by_name[name].address
        settings = {
            "node_name": name,
            "ip": HOST,
            "zone": f"{region}-a",
            "region": region,
            "listen": {
                "front": f"{HOST}:{ports['front']}",
                "ready": f"{HOST}:{ports['ready']}",
            },
            "internal_ports": [ports["peer"], ports["peer"]],
            "platform": {"address": store},
            "bounds": {
                "hold_max_ms": 10_000,
                "stop_timeout_ms": 200,
                "grace_s": self.grace_s,
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
                *self.program,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, name: str) -> None:
        """Wait until an instance reports that it is ready."""
        async with asyncio.timeout(20):
            while await self.status(name, "ready", "/v1/readiness") != 200:
                await asyncio.sleep(0.05)

    async def status(self, name: str, port: str, path: str) -> int:
        """Return the status of a GET request, or 0 if there is no answer."""
        url = f"http://{HOST}:{self.ports_by_name[name][port]}{path}"
        try:
            async with self.session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def call(self, name: str, method: str, path: str, body=None, headers=CALLER_HEADERS):
        """Send a caller's request and return its status and body."""
        url = f"http://{HOST}:{self.ports_by_name[name]['front']}{path}"
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body else None
        async with self.session.request(method, url, data=data, headers=headers) as response:
            return response.status, await response.json()

    async def wait_state(self, name: str, path: str, state: str) -> None:
        """Wait until an instance reports that a job is in a state."""
        async with asyncio.timeout(20):
            while await self.call(name, "GET", path) != (200, {"state": state}):
                await asyncio.sleep(0.05)

    async def wait_pending(self, name: str, path: str, count: int, limit_s: float) -> None:
        """Wait until an instance reports a number of pending jobs.

        :raises TimeoutError: it still reports another number after ``limit_s``.
        """
        async with asyncio.timeout(limit_s):
            while await self.call(name, "GET", path) != (200, {"pending": count}):
                await asyncio.sleep(0.05)

    async def planner(self) -> str:
        """Return the instance whose metrics report a planner's term, or an empty string."""
        for name, ports in self.ports_by_name.items():
            if self.processes_by_name[name].returncode is not None:
                continue
            async with self.session.get(f"http://{HOST}:{ports['metrics']}/metrics") as response:
                text = await response.text()
            if "carawayroute_planner_term 0.0" not in text:
                return name
        return ""

    async def wait_planner(self) -> str:
        """Wait until an instance plans, and return it; instances are ready before the election."""
        async with asyncio.timeout(20):
            while not (name := await self.planner()):
                await asyncio.sleep(0.05)
        return name

    async def close(self) -> None:
        """Stop all processes, relays and servers."""
        for process in self.processes_by_name.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        await self.tasks.cancel()
        await self.session.close()
        for site in self._runner_sites.values():
            await site.close()
        for relay in (*self.runner_relays, *self.store_relays_by_name.values()):
            await relay.stop()
        for runner in self.runners:
            await runner.cleanup()


def job_body(
    run_ms: int = 300,
    count: int = 1,
    gang: bool = False,
    deadly: tuple[int, ...] = (),
    deadly_after_ms: int = DEADLY_AFTER_MS,
) -> dict:
    """Return the body of a request that submits a job.

    :param deadly: indices of the tasks that crash their runner.
    :param deadly_after_ms: time from the start of such a task to the crash.
    """
    one = {"count": count, "cpu": 1_000, "mem_mb": 1_000, "gpu": 1, "estimate_ms": run_ms}
    if gang:
        one["gang"] = True
    demand = (one["cpu"], one["mem_mb"], one["gpu"])
    members = count if gang else 0
    spec = TaskSpec.encode(run_ms, members, 0, 1, deadly, deadly_after_ms, [demand])
    return {"spec": spec, "steps": [one]}


def job_record(job_id: str, body: dict) -> pb.Job:
    """Return the job that a request on the queue of normal priority submits."""
    steps = [
        pb.Step(
            count=fields["count"],
            cpu_millis=fields["cpu"],
            memory_mb=fields["mem_mb"],
            accelerators=fields["gpu"],
            gang=fields.get("gang", False),
        )
        for fields in body["steps"]
    ]
    return pb.Job(id=job_id, service=NORMAL.service, max_attempts=NORMAL.max_attempts, steps=steps)
