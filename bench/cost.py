"""Measure the processor time of a request and the resources of an idle daemon in a large fleet."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import time

from bench.tables import Table, median
from carawayroute.types import Instance
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_standins.client import Caller
from carawayroute_standins.cluster import Cluster
from carawayroute_standins.deployments import DEPLOYMENTS_BY_NAME
from carawayroute_standins.relay import Relay

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
REQUESTS = 2_000
IN_FLIGHT = 8
ROUNDS = 5
SETTLE_S = 12
WATCH_S = 20
# Open jobs and workers of the region; the required size is 10,000 and 3,200 over four regions.
SIZES = ((0, 24), (2_500, 200), (5_000, 400), (10_000, 800))
FIRST_WORKER_PORT = 30_000


def cpu_ms(pid: int) -> float:
    """Return the user and system time that a process has used, in ms."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1_000 / TICKS_PER_SECOND


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


async def send_all(send) -> None:
    """Send REQUESTS requests with IN_FLIGHT at a time.

    :param send: coroutine function that sends the request of a given number.
    """
    numbers = iter(range(REQUESTS))

    async def worker() -> None:
        for number in numbers:
            await send(number)

    await asyncio.gather(*(worker() for _ in range(IN_FLIGHT)))


async def request_cost() -> None:
    """Compare the processor time of an entry with that of a bare relay."""
    deployment = DEPLOYMENTS_BY_NAME["deckmali"]
    async with Cluster(deployment, pathlib.Path(tempfile.mkdtemp())) as cluster:
        await publish(cluster)
        entry = cluster.layout.entries[0]
        runner = cluster.layout.runners_by_data_centre[entry.data_centre][0]
        port = cluster.layout.list_port - 1 + 150
        cluster._start_process("relay", "bench.bare_relay", port, f"http://{runner.address}/run")
        await asyncio.sleep(1.5)
        caller = Caller(cluster.session, "storefront")
        body = json.dumps({"request": "x", "run_ms": 0})

        async def through_relay(number: int) -> None:
            url = f"http://127.0.0.1:{port}/"
            async with cluster.session.post(url, data=body) as response:
                await response.read()

        async def through_entry(number: int) -> None:
            response = await caller.quick(entry, "preview", f"p{number}", 0)
            assert response.outcome == "done", response.body

        ratios, entry_us = [], []
        for _ in range(ROUNDS):
            relay_ms = await cpu_ms_used(cluster, "relay", through_relay)
            entry_ms = await cpu_ms_used(cluster, entry.id, through_entry)
            ratios.append(entry_ms / relay_ms)
            entry_us.append(entry_ms / REQUESTS * 1_000)
    table = Table(
        "request_cost",
        f"Processor time of an idempotent request, {ROUNDS} rounds of {REQUESTS}",
        ["", "entry / bare relay", "least", "most", "entry us"],
        values=4,
    )
    table.add("median", median(ratios), min(ratios), max(ratios), median(entry_us))
    table.show()


async def cpu_ms_used(cluster: Cluster, name: str, send) -> float:
    """Return the processor time that a process used for REQUESTS requests, in ms."""
    pid = cluster.process_by_name[name].pid
    before = cpu_ms(pid)
    await send_all(send)
    return cpu_ms(pid) - before


async def publish(cluster: Cluster) -> None:
    """Publish the configuration of the deployment."""
    from carawayctl.cmdline import Commands

    file = str(cluster.layout.deployment.configuration_file)
    commands = Commands(server=cluster.operator_servers)
    await asyncio.to_thread(commands.publish, file, 0)
    await asyncio.sleep(1.5)


class LargeFleet(Cluster):
    """A cluster whose northern region has many workers and open jobs."""

    def __init__(self, jobs: int, workers: int) -> None:
        super().__init__(DEPLOYMENTS_BY_NAME["deckmali"], pathlib.Path(tempfile.mkdtemp()))
        self.jobs = jobs
        self.relay: Relay | None = None
        self.layout.workers_by_data_centre["n1"] = [
            Instance(
                f"worker-n1-{n}",
                "worker",
                "north",
                f"127.0.0.1:{FIRST_WORKER_PORT + n}",
                "n1",
                f"rack-{n // 16}",
                8 if n < workers / 6.56 else 3,
            )
            for n in range(workers)
        ]
        # The entries of s2 are not measured and would only add processes.
        self.layout.entries = [e for e in self.layout.entries if e.data_centre != "s2"]

    async def start(self) -> None:
        """Start the cluster and a relay that counts the log traffic of entry-n1-0."""
        self.relay = Relay(f"127.0.0.1:{self.layout.log_port}")
        await self.relay.start()
        await super().start()

    def start_entry(self, entry: Instance) -> None:
        """Start one daemon, with entry-n1-0 connected to the log through the relay."""
        counts_log_bytes = entry.id == "entry-n1-0"
        self.settings = {"log_url": f"http://{self.relay.address}"} if counts_log_bytes else {}
        super().start_entry(entry)

    async def append_open_jobs(self) -> None:
        """Append a record of each open job to the log."""
        url = f"http://127.0.0.1:{self.layout.log_port}/records"
        payload = json.dumps({"run_ms": 3_600_000})
        for number in range(self.jobs):
            accepted = pb.JobAccepted(
                job_id=f"j-{number:016x}",
                team="marketing",
                caller="caller",
                kind="pack-render",
                region="north" if number % 4 == 0 else "south-2",
                shape=pb.Shape(members=1, accelerators=1),
                request_id=f"q-{number:016x}",
                accepted_ms=int(time.time() * 1_000),
                payload=payload,
            )
            record = pb.LogRecord(record_id=f"r-{number:016x}", writer="w", job_accepted=accepted)
            async with self.session.post(url, data=record.SerializeToString()) as response:
                await response.read()


async def idle_cost() -> None:
    """Measure idle daemons in fleets of increasing size."""
    table = Table(
        "idle_cost",
        f"Daemons at rest for {WATCH_S} s, by open jobs and workers of the region",
        ["jobs", "workers", "role", "core %", "resident MB", "log B/s", "peer payload B/s"],
        values=4,
    )
    for jobs, workers in SIZES:
        async with LargeFleet(jobs, workers) as cluster:
            await publish(cluster)
            await cluster.append_open_jobs()
            await asyncio.sleep(SETTLE_S + jobs / 500)
            await measure_at_rest(cluster, table, jobs, workers)
    table.show()


async def measure_at_rest(cluster: LargeFleet, table: Table, jobs: int, workers: int) -> None:
    """Measure the northern daemons for WATCH_S and add a table row for each of them."""
    names = [entry.id for entry in cluster.layout.entries if entry.region == "north"]
    before = {name: await read_metrics(cluster, name) for name in names}
    log_before = cluster.relay.forwarded_bytes
    await asyncio.sleep(WATCH_S)
    log_rate = (cluster.relay.forwarded_bytes - log_before) / WATCH_S
    for name in names:
        cpu, peer, acting = await read_metrics(cluster, name)
        pid = cluster.process_by_name[name].pid
        table.add(
            jobs,
            workers,
            "planner" if acting else "entry",
            (cpu - before[name][0]) / WATCH_S / 10,
            resident_mb(pid),
            log_rate if name == "entry-n1-0" else float("nan"),
            (peer - before[name][1]) / WATCH_S,
        )


async def read_metrics(cluster: Cluster, name: str) -> tuple[float, float, bool]:
    """Return a daemon's processor time in ms, bytes exchanged with peers and whether it plans."""
    port = cluster.layout.ports_by_entry[name]["metrics_port"]
    async with cluster.session.get(f"http://127.0.0.1:{port}/metrics") as response:
        lines = (await response.text()).splitlines()
    values = dict(line.rsplit(" ", 1) for line in lines if line and not line.startswith("#"))
    peer = sum(float(v) for k, v in values.items() if k.startswith("carawayroute_peer_bytes_total"))
    acting = float(values["carawayroute_planner_acting"]) == 1.0
    return cpu_ms(cluster.process_by_name[name].pid), peer, acting


def main() -> None:
    """Print the tables; the argument `idle` or `request` selects one of them."""
    if "idle" not in sys.argv:
        asyncio.run(request_cost())
    if "request" not in sys.argv:
        asyncio.run(idle_cost())


if __name__ == "__main__":
    main()
