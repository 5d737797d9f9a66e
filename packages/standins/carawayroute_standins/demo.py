"""Demo: runs a deployment end to end and prints a table of outcomes."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import time

from carawayctl.cmdline import Commands
from carawayctl.show import table
from carawayroute_standins.client import Caller, RequestResult
from carawayroute_standins.cluster import Cluster
from carawayroute_standins.deployments import DEPLOYMENTS_BY_NAME

QUICK_REQUESTS = 120
GUARANTEE_BOUND_MS = 8_000
JOB_WAIT_MS = 30_000


class DemoPlan:
    """The requests and jobs that the demo sends to one deployment.

    :param quick: kind, team, run time in ms and idempotence of each quick request.
    :param gang: the kind of the guaranteed job.
    :param borrower: team and kind of the borrowed jobs that first fill the region.
    :param single: team and kind of a job that runs on one worker within a guarantee.
    """

    __slots__ = ("borrower", "gang", "owner", "quick", "single")

    def __init__(
        self,
        quick: list[tuple[str, str, int, bool]],
        gang: str,
        owner: str,
        borrower: tuple[str, str],
        single: tuple[str, str],
    ) -> None:
        self.single = single
        self.quick = quick
        self.gang = gang
        self.owner = owner
        self.borrower = borrower


PLAN_BY_DEPLOYMENT = {
    "deckmali": DemoPlan(
        [("preview", "storefront", 60, True), ("export", "design-desk", 300, False)],
        "pack-render",
        "storefront",
        ("marketing", "pack-render"),
        ("design-desk", "pack-render"),
    ),
    "cornice": DemoPlan(
        [("quote-check", "counter", 80, True)],
        "mockup",
        "curators",
        ("photographers", "mockup"),
        ("workshop", "cut-plan"),
    ),
}


class Demo:
    """Runs the requests of a plan and checks them against the stand-ins' journals."""

    def __init__(self, cluster: Cluster, plan: DemoPlan) -> None:
        self.cluster = cluster
        self.plan = plan
        self.entries = cluster.layout.entries
        self.results: list[RequestResult] = []
        self.job_rows: list[list[object]] = []
        self.problems: list[str] = []

    def _caller(self, team: str) -> Caller:
        return Caller(self.cluster.session, team)

    async def run(self) -> None:
        """Run all steps of the plan."""
        await asyncio.to_thread(self._publish)
        await asyncio.gather(self._quick_requests(), self._reclaim_guarantee())
        await self._single_job()
        await self._repeat_requests()
        await self._check_runner_journals()

    def _publish(self) -> None:
        commands = Commands(server=self.cluster.operator_servers)
        commands.publish(str(self.cluster.layout.deployment.configuration_file), based_on=0)

    async def _quick_requests(self) -> None:
        await asyncio.sleep(1)
        waiting = []
        for number in range(QUICK_REQUESTS):
            kind, team, run_ms, _ = self.plan.quick[number % len(self.plan.quick)]
            entry = self.entries[number % len(self.entries)]
            request = self._caller(team).quick(entry, kind, f"{kind}-{number}", run_ms)
            waiting.append(asyncio.create_task(request))
            await asyncio.sleep(0.01)
        self.results.extend(await asyncio.gather(*waiting))

    async def _repeat_requests(self) -> None:
        """Repeat the first request of each kind at another entry."""
        for kind, team, run_ms, idempotent in self.plan.quick:
            number = next(i for i, result in enumerate(self.results) if result.kind == kind)
            entry = self.entries[(number + 1) % len(self.entries)]
            again = await self._caller(team).quick(entry, kind, f"{kind}-{number}", run_ms)
            if not idempotent and again.body != self.results[number].body:
                self.problems.append(f"{kind}-{number}: the repeated request got another answer")

    async def _reclaim_guarantee(self) -> None:
        """Fill a region with borrowed jobs, then submit a guaranteed job."""
        team, kind = self.plan.borrower
        region = self.entries[0].region
        shape = {"members": 1, "accelerators": 8, "adjacency": "WORKER"}
        long_run = json.dumps({"run_ms": 300_000})
        borrowed = [
            await self._caller(team).submit(
                self.entries[index % len(self.entries)],
                {"kind": kind, "region": region, "shape": shape, "payload": long_run},
            )
            for index in range(16)
        ]
        await self._wait_started(len(borrowed))
        await self._guaranteed_job(region)
        for job in borrowed:
            await self._caller(team).cancel(self.entries[0], job["job"])
        for job in borrowed:
            ended = await self._caller(team).watch(self.entries[1], job["job"], JOB_WAIT_MS)
            self._record_job_outcome(f"borrowed {kind}", ended, "cancelled", 0)

    async def _wait_started(self, count: int) -> None:
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            journal = await self.cluster.journal("worker")
            if sum(1 for entry in journal if entry["what"] == "start") >= count:
                return
            await asyncio.sleep(0.2)
        self.problems.append("the borrowed jobs did not all start")

    async def _single_job(self) -> None:
        """Run a job on one worker, submitting it twice with the same request id."""
        team, kind = self.plan.single
        job = {
            "kind": kind,
            "region": self.entries[0].region,
            "shape": {"members": 1, "accelerators": 8, "adjacency": "WORKER"},
            "request_id": f"{kind}-1",
            "payload": json.dumps({"run_ms": 800}),
        }
        began = time.monotonic()
        first = await self._caller(team).submit(self.entries[0], job)
        again = await self._caller(team).submit(self.entries[1], job)
        if first["job"] != again["job"]:
            self.problems.append(f"{kind}: the repeated request made another job")
        ended = await self._caller(team).watch(self.entries[2], first["job"], JOB_WAIT_MS)
        wait_ms = (time.monotonic() - began) * 1000
        self._record_job_outcome(f"single {kind}", ended, "done", wait_ms)

    async def _guaranteed_job(self, region: str) -> None:
        shape = {"members": 2, "accelerators": 8, "adjacency": "RACK"}
        caller = self._caller(self.plan.owner)
        began = time.time() * 1000
        job = await caller.submit(
            self.entries[0],
            {
                "kind": self.plan.gang,
                "region": region,
                "shape": shape,
                "payload": json.dumps({"run_ms": 1500}),
            },
        )
        ended = await caller.watch(self.entries[-1], job["job"], JOB_WAIT_MS)
        starts = [
            entry["at_ms"]
            for entry in await self.cluster.journal("worker")
            if entry["what"] == "start" and entry["job"] == job["job"]
        ]
        wait_ms = max(starts, default=float("inf")) - began
        self._record_job_outcome(f"guaranteed {self.plan.gang}", ended, "done", wait_ms)
        if len(starts) != 2 or wait_ms > GUARANTEE_BOUND_MS:
            self.problems.append(f"the guaranteed job started on {len(starts)} workers")

    def _record_job_outcome(self, what: str, ended: dict, outcome: str, wait_ms: float) -> None:
        self.job_rows.append([what, ended.get("outcome"), wait_ms])
        if ended.get("outcome") != outcome:
            self.problems.append(f"{what}: {ended}")

    async def _check_runner_journals(self) -> None:
        journal = await self.cluster.journal("runner")
        ran = [entry["request"] for entry in journal if entry["what"] == "run"]
        idempotent_by_kind = {kind: idempotent for kind, _, _, idempotent in self.plan.quick}
        for result in self.results:
            times = ran.count(result.request_id)
            if result.outcome == "done" and not times:
                self.problems.append(f"{result.request_id}: done, but no runner ran it")
            if result.outcome == "not_run" and times:
                self.problems.append(f"{result.request_id}: refused as not run, but it ran")
            if times > 1 and not idempotent_by_kind[result.kind]:
                self.problems.append(f"{result.request_id}: ran {times} times")
            if result.outcome != "done":
                self.problems.append(f"{result.request_id}: {result.outcome} {result.body}")

    def report(self) -> str:
        """Return the table of outcomes by kind."""
        rows = [
            [result.kind, result.outcome, result.wait_ms] for result in self.results
        ] + self.job_rows
        by_kind: dict[tuple[str, str], list[float]] = {}
        for kind, outcome, wait_ms in rows:
            by_kind.setdefault((kind, outcome), []).append(wait_ms)
        shown = []
        for (kind, outcome), waits in sorted(by_kind.items()):
            waits.sort()
            median = waits[len(waits) // 2]
            shown.append([kind, outcome, len(waits), round(median), round(waits[-1])])
        return table(["KIND", "OUTCOME", "COUNT", "MEDIAN MS", "LONGEST MS"], shown)


async def run_demo(name: str) -> int:
    """Run the demo of a deployment and return the exit status."""
    began = time.monotonic()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="carawayroute-demo-"))
    print(f"starting {name}; the processes log to {folder}", flush=True)
    async with Cluster(DEPLOYMENTS_BY_NAME[name], folder) as cluster:
        demo = Demo(cluster, PLAN_BY_DEPLOYMENT[name])
        await demo.run()
    print(demo.report())
    for problem in demo.problems:
        print(f"wrong: {problem}")
    verdict = "every outcome is right" if not demo.problems else "some outcomes are wrong"
    print(f"{verdict} ({time.monotonic() - began:.0f} s)")
    return 1 if demo.problems else 0


def main() -> None:
    """Run the demo of the deployment that DEPLOYMENT names."""
    name = os.environ.get("DEPLOYMENT", "deckmali")
    if name not in DEPLOYMENTS_BY_NAME:
        print(f"DEPLOYMENT is {name!r}; allowed: {', '.join(DEPLOYMENTS_BY_NAME)}", file=sys.stderr)
        sys.exit(2)
    sys.exit(asyncio.run(run_demo(name)))


if __name__ == "__main__":
    main()
