"""A small test language: one YAML file a scenario, each step a verb with its arguments."""

import asyncio
import copy
import json
import pathlib

import yaml
from builders import configuration_dict, job, shape, small_world, team_dict
from judge import judge_gangs, judge_job, judge_quick, judge_start

from carawayroute.exceptions import CarawayrouteError
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_standins.world import World

SCENARIO_DIR = pathlib.Path(__file__).parent / "scenarios"
ADJACENCY_BY_NAME = {"any": pb.ANY, "rack": pb.RACK, "worker": pb.WORKER}
IDEMPOTENT_KINDS = ("preview", "render")


def scenario_files() -> list[pathlib.Path]:
    """Return the scenario files."""
    return sorted(SCENARIO_DIR.glob("*.yaml"))


class Scenario:
    """Run the steps of one file and collect what is wrong.

    A step ``verb: arguments`` calls the method ``do_verb``; an expectation calls ``expect_verb``.
    """

    def __init__(self, document: dict) -> None:
        self.document = document
        self.world: World
        self.problems: list[str] = []
        self.job_id_by_name: dict[str, str] = {}
        self.submitted_ms: dict[str, float] = {}
        self.result_by_name: dict[str, dict] = {}
        self.lost: set[str] = set()
        self.successful_publishes = 0
        self._quick_tasks: list[asyncio.Task] = []

    async def run(self) -> list[str]:
        """Run everything and return what is wrong."""
        self.world = await small_world(**self.document.get("world", {}))
        for step in self.document["steps"]:
            for verb, arguments in step.items():
                await getattr(self, f"do_{verb}")(arguments)
        if self._quick_tasks:
            await asyncio.wait(self._quick_tasks, timeout=120)
        for expectation in self.document["expect"]:
            for verb, arguments in expectation.items():
                getattr(self, f"expect_{verb}")(arguments)
        self._check_invariants()
        return self.problems

    def _check_invariants(self) -> None:
        """Judge what must hold in every scenario."""
        journal = self.world.journal
        idempotent_ids = {
            result["request"] for result in self.result_by_name.values() if result["idempotent"]
        }
        self.problems += [
            problem
            for problem in judge_quick(journal, idempotent=False)
            if not (problem.split()[0] in idempotent_ids and problem.endswith("times"))
        ]
        self.problems += judge_gangs(journal, self.lost, self.world.clock.wall_ms())

    def _entry(self, name: str) -> str:
        """Return an entry by name; ``planner REGION`` means whoever plans there."""
        if name.startswith("planner "):
            return self.world.planner_of(name.split()[1])
        return name

    # ------------------------------------------------------------------ steps

    async def do_run_for_ms(self, duration_ms: int) -> None:
        await self.world.settle(duration_ms)

    async def do_submit(self, arguments: dict) -> None:
        """Submit one job, or several with ``times``."""
        for index in range(arguments.get("times", 1)):
            suffix = f"-{index}" if arguments.get("times") else ""
            await self._submit(arguments["name"] + suffix, arguments)

    async def _submit(self, name: str, arguments: dict) -> None:
        members, accelerators, adjacency = arguments.get("shape", [2, 8, "rack"])
        new_job = job(
            team=arguments.get("team", "other"),
            kind=arguments.get("kind", "render"),
            request_id=arguments.get("request", name),
            run_ms=arguments.get("run_ms", 3_000),
            region=arguments.get("region", "south"),
            fails=arguments.get("fails", False),
            gang=shape(members, accelerators, ADJACENCY_BY_NAME[adjacency]),
        )
        self.submitted_ms[name] = self.world.clock.wall_ms()
        try:
            self.job_id_by_name[name] = await self.world.submit(arguments.get("at", "a"), new_job)
        except CarawayrouteError as error:
            self.job_id_by_name[name] = f"refused: {error}"

    async def do_quick_request(self, arguments: dict) -> None:
        """Send quick requests without waiting for their answers."""
        times = arguments.get("times", 1)
        for index in range(times):
            name = arguments["name"] + (f"-{index}" if times > 1 else "")
            self._quick_tasks.append(
                asyncio.ensure_future(self._send_quick_request(name, arguments))
            )
            if arguments.get("interval_ms"):
                await self.world.settle(arguments["interval_ms"])

    async def _send_quick_request(self, name: str, arguments: dict) -> None:
        entries = arguments.get("at", "a").split()
        at = entries[sum(map(ord, name)) % len(entries)]
        if self.world.nodes_by_id[at].not_ready() or not self.world.hosts_by_id[at].alive:
            # The balancer sends nothing to an entry that is not ready.
            at = self._ready_entry()
        kind = arguments.get("kind", "preview")
        result = await self.world.quick(
            at,
            kind,
            arguments.get("team", "owner"),
            arguments.get("request", name),
            arguments.get("run_ms", 100),
            arguments.get("wait_ms", 5_000),
        )
        self.result_by_name[name] = {**result, "idempotent": kind in IDEMPOTENT_KINDS}

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
        await self.world.settle(500)
        self.world.start_node(name)

    async def do_pause(self, arguments: dict) -> None:
        self.world.pause(self._entry(arguments["entry"]), arguments["ms"])

    async def do_cut(self, regions: list[str]) -> None:
        self.world.cut(*regions)

    async def do_heal(self, _: object) -> None:
        self.world.heal()

    async def do_log(self, mode: str) -> None:
        self.world.log.mode = mode

    async def do_runner(self, arguments: dict) -> None:
        model = self.world.runners_by_id[arguments.pop("id")]
        for name, value in arguments.items():
            setattr(model, name, value)

    async def do_silence_runner(self, name: str) -> None:
        self.world.silent_runners.add(name)

    async def do_worker(self, arguments: dict) -> None:
        model = self.world.workers_by_id[arguments.pop("id")]
        for name, value in arguments.items():
            setattr(model, name, value)

    async def do_lose_worker(self, name: str) -> None:
        """Lose a worker for good."""
        self.lost.add(name)
        self.world.lost_machines.add(name)

    async def do_remove_from_list(self, name: str) -> None:
        self.world.instances.remove(name)

    async def do_leaving(self, name: str) -> None:
        """Let the instance list say that a machine is leaving."""
        models = {**self.world.workers_by_id, **self.world.runners_by_id}
        instance = copy.copy(models[name].instance)
        instance.leaving = True
        self.world.instances.set(instance)

    async def do_list_lag_ms(self, lag_ms: int) -> None:
        self.world.instances.lag_ms = lag_ms

    async def do_cancel(self, arguments: dict) -> None:
        for name, job_id in self.job_id_by_name.items():
            if name.startswith(arguments["prefix"]):
                await self.world.live_node().jobs.cancel(job_id, "caller")

    async def do_publish(self, arguments: dict) -> None:
        """Publish a configuration; ``racing`` entries all base theirs on the same version."""
        configuration = configuration_dict(arguments.get("owner_count", 1))
        configuration["teams"] += [team_dict(name) for name in arguments.get("more_teams", [])]
        nodes = [self.world.nodes_by_id[name] for name in arguments.get("entries", ["a"])]
        publishing = (self._publish(configuration, node) for node in nodes)
        results = await asyncio.gather(*publishing, return_exceptions=True)
        self.successful_publishes = sum(1 for result in results if result is None)

    async def _publish(self, configuration: dict, node) -> None:
        configuration = json.loads(json.dumps(configuration))
        configuration["teams"].append(team_dict(f"from-{node.settings.instance}"))
        await self.world.publish(configuration, node)

    # ------------------------------------------------------------------ expectations

    def _check(self, condition: bool, problem: str) -> None:
        if not condition:
            self.problems.append(problem)

    def _job_outcome(self, job_id: str) -> str:
        job_state = self.world.live_node().follower.state.jobs_by_id.get(job_id)
        if job_state is None or job_state.finished is None:
            return ""
        return pb.Outcome.Name(job_state.finished.outcome).lower()

    def expect_job(self, arguments: dict) -> None:
        """Expect an outcome of the jobs whose names begin alike."""
        names = [name for name in self.job_id_by_name if name.startswith(arguments["name"])]
        self._check(bool(names), f"no job {arguments['name']}")
        for name in names:
            job_id = self.job_id_by_name[name]
            outcome = self._job_outcome(job_id)
            expected = arguments["outcome"].split()
            self._check(
                (outcome or "open") in expected, f"{name} is {outcome or 'open'}, not {expected}"
            )
            if outcome:
                idempotent = arguments.get("kind", "render") in IDEMPOTENT_KINDS
                self.problems += judge_job(
                    self.world.journal, job_id, outcome, idempotent, self.lost
                )

    def expect_refused(self, name: str) -> None:
        self._check(self.job_id_by_name[name].startswith("refused"), f"{name} was not refused")

    def expect_started_within(self, arguments: dict) -> None:
        name = arguments["job"]
        self.problems += judge_start(
            self.world.journal, self.job_id_by_name[name], self.submitted_ms[name], arguments["ms"]
        )

    def expect_never_stopped(self, name: str) -> None:
        """Expect that no part of a job was stopped or lapsed."""
        stopped = [
            entry.what
            for entry in self.world.journal.entries
            if entry.what in ("stop", "lapse") and entry.fields["job"] == self.job_id_by_name[name]
        ]
        self._check(not stopped, f"{name}: {stopped}")

    def expect_stopped(self, name: str) -> None:
        stops = [
            entry
            for entry in self.world.journal.all("stop")
            if entry.fields["job"] == self.job_id_by_name[name]
        ]
        self._check(bool(stops), f"{name} was not stopped")

    def expect_resumed(self, prefix: str) -> None:
        """Expect that one of some jobs was started again from a checkpoint."""
        job_ids = [
            self.job_id_by_name[name] for name in self.job_id_by_name if name.startswith(prefix)
        ]
        resumed_from_ms = [
            entry.fields["progress_ms"]
            for entry in self.world.journal.all("start")
            if entry.fields["job"] in job_ids and entry.fields["progress_ms"] > 1_000
        ]
        self._check(bool(resumed_from_ms), f"none of {prefix} was resumed from a checkpoint")

    def expect_told(self, arguments: dict) -> None:
        """Expect what callers were told, all of them or at least a number."""
        names = [name for name in self.result_by_name if name.startswith(arguments["name"])]
        expected = arguments["outcome"].split()
        matching = [name for name in names if self.result_by_name[name]["outcome"] in expected]
        minimum = arguments.get("at_least", len(names))
        outcomes = {
            name: self.result_by_name[name]["outcome"] for name in names if name not in matching
        }
        self._check(
            bool(names) and len(matching) >= minimum, f"{len(matching)} of {names}: {outcomes}"
        )

    def expect_same_answer(self, names: list[str]) -> None:
        bodies = {self.result_by_name[name]["body"] for name in names}
        self._check(len(bodies) == 1, f"{names} got different answers")

    def expect_runs(self, arguments: dict) -> None:
        """Expect how often the runners ran a request."""
        run_count = sum(
            1
            for entry in self.world.journal.all("run")
            if entry.fields["request"] == arguments["request"]
        )
        self._check(
            run_count == arguments["times"], f"{arguments['request']} ran {run_count} times"
        )

    def expect_no_run_on(self, arguments: dict) -> None:
        """Expect that a runner or worker started nothing after a time since the beginning."""
        late_starts_ms = [
            entry.at_ms
            for entry in self.world.journal.entries
            if entry.what in ("run", "start")
            and arguments["instance"] in (entry.fields.get("runner"), entry.fields.get("worker"))
            and entry.at_ms - 1_000_000 > arguments["after_ms"]
        ]
        self._check(not late_starts_ms, f"{arguments['instance']} got new work at {late_starts_ms}")

    def expect_same_version(self, version: int) -> None:
        """Expect one version of the configuration, from one operator, on every live entry."""
        versions = {
            (node.follower.state.change.version, node.follower.state.change_record_id)
            for name, node in self.world.nodes_by_id.items()
            if self.world.hosts_by_id[name].alive
        }
        self._check(
            len(versions) == 1 and min(versions)[0] == version, f"versions in force: {versions}"
        )

    def expect_successful_publishes(self, count: int) -> None:
        """Expect how many of the operators who published last were told that they won."""
        self._check(
            self.successful_publishes == count,
            f"{self.successful_publishes} operators were told that they won",
        )

    def expect_planner(self, region: str) -> None:
        self._check(bool(self.world.planner_of(region)), f"nobody plans for {region}")


def load_scenario(path: pathlib.Path) -> Scenario:
    """Read a scenario file."""
    return Scenario(yaml.safe_load(path.read_text()))
