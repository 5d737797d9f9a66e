"""Interpreter of the scenario files: YAML tests that run against the simulated platform.

A file holds these keys:

- ``requirement``: the number of the requirement that the file tests. 1: guaranteed capacity is
  available within 8 s; 2: accepted jobs end, and gangs run whole; 3: answers are complete and
  belong to their request; 4: work that is reported as not run did not run; 5: requests that are
  not idempotent run at most once; 6: leaving instances get no new work; 7: a rolling restart
  interrupts no request; 8: all entries agree on the configuration, which survives restarts.
- ``description``: the situation and the expected result.
- ``world``: optional arguments of :func:`builders.small_world`.
- ``steps``: a list of ``verb: arguments``, run in order in virtual time.
- ``expect``: a list of ``verb: arguments``, checked after the last step.

Expectations about several jobs or requests select them by the prefix of their names. Where an
expectation takes an outcome, several outcomes separated by spaces are alternatives. An entry is
given by its name or as ``planner REGION``. Durations are in ms.
"""

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

SCENARIO_DIR = pathlib.Path(__file__).parent / "scenarios"
ADJACENCY_BY_NAME = {"any": pb.ANY, "rack": pb.RACK, "worker": pb.WORKER}
IDEMPOTENT_KINDS = ("preview", "render")


def scenario_files() -> list[pathlib.Path]:
    """Return the paths of all scenario files, sorted by name."""
    return sorted(SCENARIO_DIR.glob("*.yaml"))


class Scenario:
    """Runs one scenario file and collects the problems that it finds.

    A step ``verb: arguments`` calls the method ``do_verb``; an expectation calls ``expect_verb``.

    :param document: parsed content of the file.
    :ivar problems: one line for each expectation or invariant that does not hold.
    :ivar job_id_by_name: job id, or the text of the refusal, by the job's name in the scenario.
    :ivar result_by_name: outcome and body of each quick request by its name in the scenario.
    :ivar lost: workers that were lost for good.
    :ivar successful_publishes: publications that succeeded in the last ``publish`` step.
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
        """Run all steps, check all expectations and return the problems found."""
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
        """Check what must hold in every scenario: correct answers, and gangs that run whole."""
        journal = self.world.journal
        idempotent_ids = {
            result["request"] for result in self.result_by_name.values() if result["idempotent"]
        }
        self.problems += [
            problem
            for problem in check_quick_requests(journal, idempotent=False)
            if not (problem.split()[0] in idempotent_ids and problem.endswith("times"))
        ]
        self.problems += check_gangs(journal, self.lost, self.world.clock.wall_ms())

    def _entry(self, name: str) -> str:
        """Return the name of an entry; ``planner REGION`` selects the region's current planner."""
        if name.startswith("planner "):
            return self.world.planner_of(name.split()[1])
        return name

    # ------------------------------------------------------------------ steps

    async def do_run_for_ms(self, duration_ms: int) -> None:
        """Let the simulation run for a time."""
        await self.world.run_for(duration_ms)

    async def do_submit(self, arguments: dict) -> None:
        """Submit a job, or ``times`` jobs named ``NAME-0``, ``NAME-1`` and so on."""
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
        """Send ``times`` quick requests, ``interval_ms`` apart, without waiting for the answers."""
        times = arguments.get("times", 1)
        for index in range(times):
            name = arguments["name"] + (f"-{index}" if times > 1 else "")
            self._quick_tasks.append(
                asyncio.ensure_future(self._send_quick_request(name, arguments))
            )
            if arguments.get("interval_ms"):
                await self.world.run_for(arguments["interval_ms"])

    async def _send_quick_request(self, name: str, arguments: dict) -> None:
        entries = arguments.get("at", "a").split()
        at = entries[sum(map(ord, name)) % len(entries)]
        if self.world.nodes_by_id[at].not_ready() or not self.world.hosts_by_id[at].alive:
            # The load balancer sends no request to an entry that is not ready.
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
        raise LookupError("no live entry is ready")

    async def do_kill(self, name: str) -> None:
        """End an entry's process without a graceful shutdown."""
        self.world.kill(self._entry(name))

    async def do_start(self, name: str) -> None:
        """Start an entry that was killed."""
        self.world.start_node(name)

    async def do_restart(self, name: str) -> None:
        """Kill an entry and start it again at once, without its state."""
        self.world.restart(self._entry(name))

    async def do_drain(self, name: str) -> None:
        """Shut an entry down gracefully and start its replacement."""
        name = self._entry(name)
        await self.world.nodes_by_id[name].drain()
        self.world.kill(name)
        await self.world.run_for(500)
        self.world.start_node(name)

    async def do_pause(self, arguments: dict) -> None:
        """Freeze the process of ``entry`` for ``ms``."""
        self.world.pause(self._entry(arguments["entry"]), arguments["ms"])

    async def do_cut(self, regions: list[str]) -> None:
        """Cut the network between two regions."""
        self.world.cut(*regions)

    async def do_heal(self, _: object) -> None:
        """End all network cuts; the argument is ignored."""
        self.world.heal()

    async def do_log(self, mode: str) -> None:
        """Set the mode of the log store, such as ``up``, ``down`` or ``lose_answers``."""
        self.world.log.mode = mode

    async def do_runner(self, arguments: dict) -> None:
        """Set attributes of the simulated runner ``id``."""
        model = self.world.runners_by_id[arguments.pop("id")]
        for name, value in arguments.items():
            setattr(model, name, value)

    async def do_silence_runner(self, name: str) -> None:
        """Make a runner accept connections and never answer on them."""
        self.world.silent_runners.add(name)

    async def do_worker(self, arguments: dict) -> None:
        """Set attributes of the simulated worker ``id``."""
        model = self.world.workers_by_id[arguments.pop("id")]
        for name, value in arguments.items():
            setattr(model, name, value)

    async def do_lose_worker(self, name: str) -> None:
        """Make a worker unreachable for the rest of the scenario."""
        self.lost.add(name)
        self.world.unreachable_instances.add(name)

    async def do_remove_from_list(self, name: str) -> None:
        """Remove an instance from the instance list."""
        self.world.instances.remove(name)

    async def do_leaving(self, name: str) -> None:
        """Mark a worker or runner as leaving in the instance list."""
        models = {**self.world.workers_by_id, **self.world.runners_by_id}
        instance = copy.copy(models[name].instance)
        instance.leaving = True
        self.world.instances.set(instance)

    async def do_list_lag_ms(self, lag_ms: int) -> None:
        """Set how long a change of the instance list takes to become visible."""
        self.world.instances.lag_ms = lag_ms

    async def do_cancel(self, arguments: dict) -> None:
        """Cancel all jobs whose names begin with ``prefix``."""
        for name, job_id in self.job_id_by_name.items():
            if name.startswith(arguments["prefix"]):
                await self.world.live_node().jobs.cancel(job_id, "caller")

    async def do_publish(self, arguments: dict) -> None:
        """Publish a configuration at each of ``entries`` at once, all based on the same version."""
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
        """Expect an outcome of all jobs whose names begin with ``name``; ``open`` is not ended."""
        names = [name for name in self.job_id_by_name if name.startswith(arguments["name"])]
        self._check(bool(names), f"no job has a name that begins with {arguments['name']}")
        for name in names:
            job_id = self.job_id_by_name[name]
            outcome = self._job_outcome(job_id)
            expected = arguments["outcome"].split()
            self._check(
                (outcome or "open") in expected,
                f"job {name} is {outcome or 'open'}, expected one of {expected}",
            )
            if outcome:
                idempotent = arguments.get("kind", "render") in IDEMPOTENT_KINDS
                self.problems += check_job_outcome(
                    self.world.journal, job_id, outcome, idempotent, self.lost
                )

    def expect_refused(self, name: str) -> None:
        """Expect that the submission of a job was refused."""
        self._check(self.job_id_by_name[name].startswith("refused"), f"job {name} was not refused")

    def expect_started_within(self, arguments: dict) -> None:
        """Expect that ``job`` ran on all its workers within ``ms`` of its submission."""
        name = arguments["job"]
        self.problems += check_start_time(
            self.world.journal, self.job_id_by_name[name], self.submitted_ms[name], arguments["ms"]
        )

    def expect_never_stopped(self, name: str) -> None:
        """Expect that no task of a job was stopped or ended because its lease expired."""
        stopped = [
            entry.what
            for entry in self.world.journal.entries
            if entry.what in ("stop", "lapse") and entry.fields["job"] == self.job_id_by_name[name]
        ]
        self._check(not stopped, f"job {name} was interrupted: {stopped}")

    def expect_stopped(self, name: str) -> None:
        """Expect that at least one task of a job was stopped."""
        stops = [
            entry
            for entry in self.world.journal.all("stop")
            if entry.fields["job"] == self.job_id_by_name[name]
        ]
        self._check(bool(stops), f"job {name} was not stopped")

    def expect_resumed(self, prefix: str) -> None:
        """Expect that at least one job with the prefix resumed with more than 1 s of progress."""
        job_ids = [
            self.job_id_by_name[name] for name in self.job_id_by_name if name.startswith(prefix)
        ]
        resumed_from_ms = [
            entry.fields["progress_ms"]
            for entry in self.world.journal.all("start")
            if entry.fields["job"] in job_ids and entry.fields["progress_ms"] > 1_000
        ]
        self._check(
            bool(resumed_from_ms), f"no job with the prefix {prefix} resumed from a checkpoint"
        )

    def expect_told(self, arguments: dict) -> None:
        """Expect an outcome of all quick requests with the prefix ``name``, or of ``at_least``."""
        names = [name for name in self.result_by_name if name.startswith(arguments["name"])]
        expected = arguments["outcome"].split()
        matching = [name for name in names if self.result_by_name[name]["outcome"] in expected]
        minimum = arguments.get("at_least", len(names))
        outcomes = {
            name: self.result_by_name[name]["outcome"] for name in names if name not in matching
        }
        self._check(
            bool(names) and len(matching) >= minimum,
            f"{len(matching)} of {names} have an expected outcome, the others: {outcomes}",
        )

    def expect_same_answer(self, names: list[str]) -> None:
        """Expect that several quick requests got the same body."""
        bodies = {self.result_by_name[name]["body"] for name in names}
        self._check(len(bodies) == 1, f"requests {names} got different answers")

    def expect_runs(self, arguments: dict) -> None:
        """Expect that runners started a request exactly ``times`` times."""
        run_count = sum(
            1
            for entry in self.world.journal.all("run")
            if entry.fields["request"] == arguments["request"]
        )
        self._check(
            run_count == arguments["times"],
            f"request {arguments['request']} ran {run_count} times",
        )

    def expect_no_run_on(self, arguments: dict) -> None:
        """Expect that a runner or worker started nothing later than ``after_ms`` into the run."""
        late_starts_ms = [
            entry.at_ms
            for entry in self.world.journal.entries
            if entry.what in ("run", "start")
            and arguments["instance"] in (entry.fields.get("runner"), entry.fields.get("worker"))
            and entry.at_ms - 1_000_000 > arguments["after_ms"]
        ]
        self._check(
            not late_starts_ms, f"{arguments['instance']} started work at {late_starts_ms} ms"
        )

    def expect_same_version(self, version: int) -> None:
        """Expect that every live entry has the same configuration record, with this version."""
        versions = {
            (node.follower.state.change.version, node.follower.state.change_record_id)
            for name, node in self.world.nodes_by_id.items()
            if self.world.hosts_by_id[name].alive
        }
        self._check(
            len(versions) == 1 and min(versions)[0] == version,
            f"live entries have the wrong (version, record id): {versions}",
        )

    def expect_successful_publishes(self, count: int) -> None:
        """Expect the number of publications that succeeded in the last ``publish`` step."""
        self._check(
            self.successful_publishes == count,
            f"{self.successful_publishes} operators were told that theirs succeeded",
        )

    def expect_planner(self, region: str) -> None:
        """Expect that a region has an active planner."""
        self._check(bool(self.world.planner_of(region)), f"region {region} has no active planner")


def load_scenario(path: pathlib.Path) -> Scenario:
    """Read a scenario file.

    :raises yaml.YAMLError: when the file is not valid YAML.
    """
    return Scenario(yaml.safe_load(path.read_text()))
