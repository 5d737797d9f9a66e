"""Runs a deployment as separate processes on the loopback interface."""

import asyncio
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import aiohttp

from carawayroute.types import Instance
from carawayroute_standins.deployments import Deployment, Layout

READY_TIMEOUT_S = 25
STOP_TIMEOUT_S = 10
FIRST_PORT = 21000
LAST_PORT = 29000
PORT_RANGE_SIZE = 200


def free_port_range() -> int:
    """Return the first port of a range in which no port is in use.

    :raises RuntimeError: there is no such range.
    """
    start = FIRST_PORT + (os.getpid() * PORT_RANGE_SIZE) % (LAST_PORT - FIRST_PORT)
    for step in range(0, LAST_PORT - FIRST_PORT, PORT_RANGE_SIZE):
        first = FIRST_PORT + (start - FIRST_PORT + step) % (LAST_PORT - FIRST_PORT)
        if all(_is_free(first + index) for index in range(PORT_RANGE_SIZE)):
            return first
    raise RuntimeError("no free port range")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Cluster:
    """Starts, stops and injects faults into the processes of a deployment.

    :param folder: directory in which each process writes its log.
    :param settings: daemon settings in addition to addresses and retention.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: pathlib.Path,
        settings: dict[str, object] | None = None,
        retention_ms: int = 600_000,
    ) -> None:
        self.layout = Layout(deployment, free_port_range())
        self.folder = folder
        self.settings = settings or {}
        self.retention_ms = retention_ms
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Cluster":
        self.folder.mkdir(parents=True, exist_ok=True)
        self.session = aiohttp.ClientSession()
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.stop()

    # ------------------------------------------------------------------ processes

    def _start_process(self, name: str, *command: object) -> None:
        output = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        arguments = [sys.executable, "-m", *(str(word) for word in command)]
        self.process_by_name[name] = subprocess.Popen(
            arguments, stdout=output, stderr=output, stdin=subprocess.DEVNULL
        )
        output.close()

    def _start_stand_in(self, name: str, kind: str, **flags: object) -> None:
        arguments = [f"--{flag}={value}" for flag, value in flags.items()]
        self._start_process(name, "carawayroute_standins.servers", kind, *arguments)

    def start_entry(self, entry: Instance) -> None:
        """Start one daemon."""
        base = "http://127.0.0.1:"
        flags = {
            "instance": entry.id,
            "region": entry.region,
            "data_centre": entry.data_centre,
            "log_url": f"{base}{self.layout.log_port}",
            "list_url": f"{base}{self.layout.list_port}",
            "retention_ms": self.retention_ms,
            **self.layout.ports_by_entry[entry.id],
            **self.settings,
        }
        arguments = [f"--{name}={value}" for name, value in flags.items()]
        self._start_process(entry.id, "carawayrouted.cmdline", *arguments)

    async def start(self) -> None:
        """Start all processes and wait until every daemon is ready."""
        layout = self.layout
        self._start_stand_in("log", "log", port=layout.log_port, retention_ms=self.retention_ms)
        self._start_stand_in("instances", "instances", port=layout.list_port, lag_ms=500)
        for data_centre, instances in layout.runners_by_data_centre.items():
            self._start_instances("runners", f"runner-{data_centre}", instances)
        for data_centre, instances in layout.workers_by_data_centre.items():
            self._start_instances("workers", f"worker-{data_centre}", instances)
        await self._register(layout.all())
        for entry in layout.entries:
            self.start_entry(entry)
        await asyncio.gather(*(self.wait_ready(entry) for entry in layout.entries))

    def _start_instances(self, kind: str, prefix: str, instances: list[Instance]) -> None:
        port = instances[0].address.partition(":")[2]
        self._start_stand_in(prefix, kind, port=port, prefix=prefix, count=len(instances))

    async def _register(self, instances: list[Instance]) -> None:
        items = [
            {name: getattr(instance, name) for name in Instance.__slots__} for instance in instances
        ]
        url = f"http://127.0.0.1:{self.layout.list_port}/instances"
        await self._wait_until_ok(lambda: self.session.put(url, json=items))

    async def _wait_until_ok(self, make_request) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            try:
                async with make_request() as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            if time.monotonic() > deadline:
                raise TimeoutError("a process did not become ready")
            await asyncio.sleep(0.1)

    async def wait_ready(self, entry: Instance) -> None:
        """Wait until a daemon reports ready."""
        port = self.layout.ports_by_entry[entry.id]["metrics_port"]
        await self._wait_until_ok(lambda: self.session.get(f"http://127.0.0.1:{port}/ready"))

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this cluster."""
        self.process_by_name[name].send_signal(number)

    async def wait_exited(self, name: str, timeout_s: float = 40) -> int:
        """Wait until a process exits and return its exit status."""
        return await asyncio.to_thread(self.process_by_name[name].wait, timeout_s)

    async def stop(self) -> None:
        """Kill every process of this cluster."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
        if self.session is not None:
            await self.session.close()

    # ------------------------------------------------------------------ control

    async def control(self, instance: Instance | str, **values: object) -> None:
        """Set attributes of a stand-in over HTTP, such as the mode of ``log``."""
        if isinstance(instance, Instance):
            address = instance.address
        else:
            ports = {"log": self.layout.log_port, "instances": self.layout.list_port}
            address = f"127.0.0.1:{ports[instance]}"
        async with self.session.post(f"http://{address}/control", json=values) as response:
            response.raise_for_status()

    async def journal(self, role: str) -> list[dict]:
        """Return the journal entries of all runners or workers, ordered by time."""
        by_data_centre = {
            "runner": self.layout.runners_by_data_centre,
            "worker": self.layout.workers_by_data_centre,
        }[role]
        entries: list[dict] = []
        for instances in by_data_centre.values():
            async with self.session.get(f"http://{instances[0].address}/journal") as response:
                entries.extend(await response.json())
        return sorted(entries, key=lambda entry: entry["at_ms"])

    @property
    def operator_servers(self) -> str:
        """Return the operator addresses of all daemons, separated by commas."""
        ports = self.layout.ports_by_entry.values()
        return ",".join(f"127.0.0.1:{item['operator_port']}" for item in ports)
