"""A small test language: one YAML file a scenario, each step a verb with its arguments."""

import asyncio
import copy
import json
import pathlib

import yaml
from builders import configuration_dict, job, shape, small_world, team_dict
from judge import check_gangs, check_job_outcome, check_quick_requests, check_start_time

from carawayroute.exceptions import CarawayrouteError
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_standins.world import World

FOLDER = pathlib.Path(__file__).parent / "scenarios"
ADJACENCY_BY_NAME = {"any": pb.ANY, "rack": pb.RACK, "worker": pb.WORKER}
IDEMPOTENT_KINDS = ("preview", "render")


def scenario_files() -> list[pathlib.Path]:
    """Return the scenario files."""
    return sorted(FOLDER.glob("*.yaml"))


class Scenario:
    """Run the steps of one file and collect what is wrong.

    A step ``verb: arguments`` calls the method ``do_verb``; an expectation calls ``expect_verb``.
    """

    def __init__(self, tree: dict) -> None:
        self.tree = tree
        self.world: World
        self.problems: list[str] = []
        self.job_by_name: dict[str, str] = {}
        self.submitted_ms: dict[str, float] = {}
        self.told_by_name: dict[str, dict] = {}
        self.lost: set[str] = set()
        self.winners = 0
        self._tasks: list[asyncio.Task] = []

    async def run(self) -> list[str]:
        """Run everything and return what is wrong."""
        self.world = await small_world(**self.tree.get("world", {}))
        for step in self.tree["steps"]:
            for verb, arguments in step.items():
                await getattr(self, f"do_{verb}")(arguments)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=120)
        for expectation in self.tree["expect"]:
            for verb, arguments in expectation.items():
                getattr(self, f"expect_{verb}")(arguments)
        self._judge()
        return self.problems

    def _judge(self) -> None:
        """Judge what must hold in every scenario."""
        journal = self.world.journal
        idempotent = {told["request"] for told in self.told_by_name.values() if told["idempotent"]}
        self.problems += [
            problem
            for problem in check_quick_requests(journal, idempotent=False)
            if not (problem.split()[0] in idempotent and problem.endswith("times"))
        ]
        self.problems += check_gangs(journal, self.lost, self.world.clock.wall_ms())

    def _entry(self, name: str) -> str:
        """Return an entry by name; ``planner REGION`` means whoever plans there."""
        if name.startswith("planner "):
            return self.world.planner_of(name.split()[1])
        return name

    # ------------------------------------------------------------------ steps

    async def do_settle(self, duration_ms: int) -> None:
        await self.world.run_for(duration_ms)

    async def do_submit(self, given: dict) -> None:
        """Submit one job, or several with ``times``."""
        for index in range(given.get("times", 1)):
            suffix = f"-{index}" if given.get("times") else ""
            await self._submit(given["name"] + suffix, given)

    async def _submit(self, name: str, given: dict) -> None:
        members, accelerators, where = given.get("shape", [2, 8, "rack"])
        accepted = job(
            team=given.get("team", "other"),
            kind=given.get("kind", "render"),
            request_id=given.get("request", name),
            run_ms=given.get("run_ms", 3_000),
            region=given.get("region", "south"),
            fails=given.get("fails", False),
            gang=shape(members, accelerators, ADJACENCY_BY_NAME[where]),
        )
        self.submitted_ms[name] = self.world.clock.wall_ms()
        try:
            self.job_by_name[name] = await self.world.submit(given.get("at", "a"), accepted)
        except CarawayrouteError as error:
            self.job_by_name[name] = f"refused: {error}"

    async def do_quick(self, given: dict) -> None:
        """Send quick requests without waiting for their answers."""
        times = given.get("times", 1)
        for index in range(times):
            name = given["name"] + (f"-{index}" if times > 1 else "")
            self._tasks.append(asyncio.ensure_future(self._quick(name, given)))
            if given.get("every_ms"):
                await self.world.run_for(given["every_ms"])

    async def _quick(self, name: str, given: dict) -> None:
        entries = given.get("at", "a").split()
        at = entries[sum(map(ord, name)) % len(entries)]
        if self.world.nodes_by_id[at].not_ready() or not self.world.hosts_by_id[at].alive:
            # The balancer sends nothing to an entry that is not ready.
            at = self._ready_entry()
        kind = given.get("kind", "preview")
        told = await self.world.quick(
            at,
            kind,
            given.get("team", "owner"),
            given.get("request", name),
            given.get("run_ms", 100),
            given.get("wait_ms", 5_000),
        )
        self.told_by_name[name] = {**told, "idempotent": kind in IDEMPOTENT_KINDS}

    def _ready_entry(self) -> str:
        for name, node in self.world.nodes_by_id.items():
            if self.world.hosts_by_id[name].alive and not node.not_ready():
                return name
        raise LookupError("no entry is ready")

    async def do_kill(self, name: str) -> None:
        self.world.kill(self._entry(name))

    async def do_start(self, name: str) -> None:
        self.world.start_node(name)

    async def do_restart(self, name: str) -> None:
        self.world.restart(self._entry(name))

    async def do_drain(self, name: str) -> None:
        """Shut an entry down gracefully and start its replacement."""
        name = self._entry(name)
        await self.world.nodes_by_id[name].drain()
        self.world.kill(name)
        await self.world.run_for(500)
        self.world.start_node(name)

    async def do_pause(self, given: dict) -> None:
        self.world.pause(self._entry(given["entry"]), given["ms"])

    async def do_cut(self, regions: list[str]) -> None:
        self.world.cut(*regions)

    async def do_heal(self, _: object) -> None:
        self.world.heal()

    async def do_log(self, mode: str) -> None:
        self.world.log.mode = mode

    async def do_runner(self, given: dict) -> None:
        model = self.world.runners_by_id[given.pop("id")]
        for name, value in given.items():
            setattr(model, name, value)

    async def do_silent_runner(self, name: str) -> None:
        self.world.silent_runners.add(name)

    async def do_worker(self, given: dict) -> None:
        model = self.world.workers_by_id[given.pop("id")]
        for name, value in given.items():
            setattr(model, name, value)

    async def do_lose(self, name: str) -> None:
        """Lose a worker for good."""
        self.lost.add(name)
        self.world.unreachable_instances.add(name)

    async def do_unlist(self, name: str) -> None:
        self.world.instances.remove(name)

    async def do_leaving(self, name: str) -> None:
        """Let the instance list say that a machine is leaving."""
        models = {**self.world.workers_by_id, **self.world.runners_by_id}
        instance = copy.copy(models[name].instance)
        instance.leaving = True
        self.world.instances.set(instance)

    async def do_list_lag(self, lag_ms: int) -> None:
        self.world.instances.lag_ms = lag_ms

    async def do_cancel(self, given: dict) -> None:
        for name, job_id in self.job_by_name.items():
            if name.startswith(given["prefix"]):
                await self.world.live_node().jobs.cancel(job_id, "caller")

    async def do_publish(self, given: dict) -> None:
        """Publish a configuration; ``racing`` entries all base theirs on the same version."""
        tree = configuration_dict(given.get("owner_count", 1))
        tree["teams"] += [team_dict(name) for name in given.get("more_teams", [])]
        nodes = [self.world.nodes_by_id[name] for name in given.get("racing", ["a"])]
        publishing = (self._publish(tree, node) for node in nodes)
        results = await asyncio.gather(*publishing, return_exceptions=True)
        self.winners = sum(1 for result in results if result is None)

    async def _publish(self, tree: dict, node) -> None:
        tree = json.loads(json.dumps(tree))
        tree["teams"].append(team_dict(f"from-{node.settings.instance}"))
        await self.world.publish(tree, node)

    # ------------------------------------------------------------------ expectations

    def _expect(self, right: bool, problem: str) -> None:
        if not right:
            self.problems.append(problem)

    def _job_outcome(self, job_id: str) -> str:
        known = self.world.live_node().follower.state.jobs_by_id.get(job_id)
        if known is None or known.finished is None:
            return ""
        return pb.Outcome.Name(known.finished.outcome).lower()

    def expect_job(self, given: dict) -> None:
        """Expect an outcome of the jobs whose names begin alike."""
        names = [name for name in self.job_by_name if name.startswith(given["name"])]
        self._expect(bool(names), f"no job {given['name']}")
        for name in names:
            job_id = self.job_by_name[name]
            outcome = self._job_outcome(job_id)
            wanted = given["is"].split()
            self._expect(
                (outcome or "open") in wanted, f"{name} is {outcome or 'open'}, not {wanted}"
            )
            if outcome:
                idempotent = given.get("kind", "render") in IDEMPOTENT_KINDS
                self.problems += check_job_outcome(
                    self.world.journal, job_id, outcome, idempotent, self.lost
                )

    def expect_refused(self, name: str) -> None:
        self._expect(self.job_by_name[name].startswith("refused"), f"{name} was not refused")

    def expect_started_within(self, given: dict) -> None:
        name = given["job"]
        self.problems += check_start_time(
            self.world.journal, self.job_by_name[name], self.submitted_ms[name], given["ms"]
        )

    def expect_never_stopped(self, name: str) -> None:
        """Expect that no part of a job was stopped or lapsed."""
        stopped = [
            entry.what
            for entry in self.world.journal.entries
            if entry.what in ("stop", "lapse") and entry.fields["job"] == self.job_by_name[name]
        ]
        self._expect(not stopped, f"{name}: {stopped}")

    def expect_stopped(self, name: str) -> None:
        stops = [
            entry
            for entry in self.world.journal.all("stop")
            if entry.fields["job"] == self.job_by_name[name]
        ]
        self._expect(bool(stops), f"{name} was not stopped")

    def expect_resumed(self, prefix: str) -> None:
        """Expect that one of some jobs was started again from a checkpoint."""
        job_ids = [self.job_by_name[name] for name in self.job_by_name if name.startswith(prefix)]
        kept = [
            entry.fields["progress_ms"]
            for entry in self.world.journal.all("start")
            if entry.fields["job"] in job_ids and entry.fields["progress_ms"] > 1_000
        ]
        self._expect(bool(kept), f"none of {prefix} was resumed from a checkpoint")

    def expect_told(self, given: dict) -> None:
        """Expect what callers were told, all of them or at least a number."""
        names = [name for name in self.told_by_name if name.startswith(given["name"])]
        wanted = given["is"].split()
        right = [name for name in names if self.told_by_name[name]["outcome"] in wanted]
        least = given.get("at_least", len(names))
        outcomes = {name: self.told_by_name[name]["outcome"] for name in names if name not in right}
        self._expect(bool(names) and len(right) >= least, f"{len(right)} of {names}: {outcomes}")

    def expect_same_answer(self, names: list[str]) -> None:
        bodies = {self.told_by_name[name]["body"] for name in names}
        self._expect(len(bodies) == 1, f"{names} got different answers")

    def expect_runs(self, given: dict) -> None:
        """Expect how often the runners ran a request."""
        times = sum(
            1
            for entry in self.world.journal.all("run")
            if entry.fields["request"] == given["request"]
        )
        self._expect(times == given["times"], f"{given['request']} ran {times} times")

    def expect_no_run_on(self, given: dict) -> None:
        """Expect that a runner or worker started nothing after a time since the beginning."""
        late = [
            entry.at_ms
            for entry in self.world.journal.entries
            if entry.what in ("run", "start")
            and given["machine"] in (entry.fields.get("runner"), entry.fields.get("worker"))
            and entry.at_ms - 1_000_000 > given["after_ms"]
        ]
        self._expect(not late, f"{given['machine']} got new work at {late}")

    def expect_same_version(self, version: int) -> None:
        """Expect one version of the configuration, from one operator, on every live entry."""
        seen = {
            (node.follower.state.change.version, node.follower.state.change_record_id)
            for name, node in self.world.nodes_by_id.items()
            if self.world.hosts_by_id[name].alive
        }
        self._expect(len(seen) == 1 and min(seen)[0] == version, f"versions in force: {seen}")

    def expect_winners(self, count: int) -> None:
        """Expect how many of the operators who published last were told that they won."""
        self._expect(self.winners == count, f"{self.winners} operators were told that they won")

    def expect_planner(self, region: str) -> None:
        self._expect(bool(self.world.planner_of(region)), f"nobody plans for {region}")


def load(path: pathlib.Path) -> Scenario:
    """Read a scenario file."""
    return Scenario(yaml.safe_load(path.read_text()))
