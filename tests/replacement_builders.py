"""Builders of runners whose processes end and are replaced by other ones."""

import asyncio
import contextlib
import json
from functools import partial

from aiohttp.test_utils import make_mocked_request
from fleet_builders import runner_fields

from carawayroute.fleet.exceptions import (
    RunnerError,
    RunnerRefusedError,
    RunnerUnansweredError,
)
from carawayroute.fleet.jobs import LOST_RUNNERS_KEY, PROGRESS_KEY
from carawayroute.fleet.node import JOBS_TOPIC
from carawayroute.fleet.types import EndedTask, RunnerReport
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.fleet.judge import starts
from carawayrouted.platform.callers import CallerApp

OTHER_PROCESS = "boot"
# Connections to a crashed runner are reset for this time.
RESET_MS = 5
# A crashed runner's address answers again after this time.
REBOOT_MS = 3_000
# After this more its id is no longer listed.
UNLIST_MS = 300


async def wait_start(fleet, job_id: str, count: int = 1) -> None:
    """Wait until the tasks of a job have been started a number of times."""
    await fleet.wait_until(
        lambda: len(starts(fleet.journal, job_id)) >= count, 3_000, f"{count} starts of {job_id}"
    )


def holder_of(fleet, job_id: str) -> str:
    """Return the runner of a job's latest start."""
    started = fleet.journal.all("task_started")
    return str(
        next(e for e in reversed(started) if e.fields["task"].startswith(job_id)).fields["runner"]
    )


def refuse_calls(
    fleet,
    runner_id: str,
    *calls: str,
    address: str = "",
    took_ms: float = 1.0,
    reason: str = OTHER_PROCESS,
) -> None:
    """Answer calls to a runner as another process at its address does, from every instance.

    :param calls: names of methods of the runner client.
    :param address: only calls to this address are refused, by default all.
    :param took_ms: time that a refusal takes.
    :param reason: reason of the refusals.
    """

    def wrap(send):
        async def refuse(runner, *arguments):
            if runner.id == runner_id and address in ("", runner.address):
                await fleet.clock.sleep_ms(took_ms)
                raise RunnerRefusedError(reason)
            return await send(runner, *arguments)

        return refuse

    for client in fleet.runner_clients_by_name.values():
        for call in calls:
            setattr(client, call, wrap(getattr(client, call)))


def crash(fleet, runner_id: str) -> None:
    """End a runner's process with all that it runs; nothing listens at its address."""
    runner = fleet.runners_by_id[runner_id]
    runs = list(runner._runs.values())
    runner.restart_empty()
    for run in runs:
        fleet.gangs.leave(run, "lapsed")
    # Connections of calls that are under way are reset, later ones are refused.
    runner.mode = "resetting"
    runner._ended_event.set()
    asyncio.get_running_loop().call_later(RESET_MS / 1000, setattr, runner, "mode", "gone")


def replace(fleet, runner_id: str) -> None:
    """Let another process answer at the address of a crashed runner."""
    refuse_calls(fleet, runner_id, "hold", "start", "stop")


def delay_reports(fleet, prefix: str, delay_ms: float) -> None:
    """Poll a runner after each start of a task, and deliver reports that show the task late.

    :param prefix: the ids of the tasks begin with this.
    """

    def wrap(client):
        hold, start = client.hold, client.start

        async def start_and_poll(runner, term, task, *arguments):
            answer = await start(runner, term, task, *arguments)
            planner = fleet.nodes_by_name[fleet.planner_name()].planner
            if task.startswith(prefix):
                fleet.tasks.start(planner.links_by_id[runner.id].poll_now(), "poll")
            return answer

        async def hold_late(*arguments):
            report = await hold(*arguments)
            if any(item.task.startswith(prefix) for item in report.running):
                await fleet.clock.sleep_ms(delay_ms)
            return report

        client.hold, client.start = hold_late, start_and_poll

    for client in fleet.runner_clients_by_name.values():
        wrap(client)


def list_with_boot(fleet, runner_id: str) -> None:
    """Write a runner's entry with the start of its process."""
    runner = fleet.runners_by_id[runner_id]
    fields = {**runner_fields(runner.listed), "born": runner.boot_ms}
    fleet.store.put(fleet.formats.runners_topic, runner_id, json.dumps(fields).encode())


def list_at(fleet, runner_id: str, address: str) -> None:
    """Write a runner's entry with another address."""
    fields = {**runner_fields(fleet.runners_by_id[runner_id].listed), "address": address}
    fleet.store.put(fleet.formats.runners_topic, runner_id, json.dumps(fields).encode())


async def crash_and_replace(fleet, runner_id: str, down_ms: float = REBOOT_MS) -> None:
    """Crash a runner; another process listens at its address some seconds later."""
    crash(fleet, runner_id)
    await fleet.clock.sleep_ms(down_ms)
    replace(fleet, runner_id)


def newest_progress(fleet, job_id: str) -> pb.Progress:
    """Return a job's newest progress record in the store."""
    newest = fleet.store.topic(JOBS_TOPIC).newest_by_key[PROGRESS_KEY + job_id]
    return pb.Progress.FromString(newest.value)


class ScriptedRunner:
    """A runner client whose polls are answered by the test, in any order.

    :ivar polls: for each unanswered poll, the number that it acknowledges and its answer.
    """

    def __init__(self) -> None:
        self.polls: list[tuple[int, asyncio.Future]] = []

    async def hold(self, runner, term, acknowledged, lease_until_ms, wait_ms):
        answer = asyncio.get_running_loop().create_future()
        self.polls.append((acknowledged, answer))
        return await answer


def report_of(clock_ms, boot_ms, *ends):
    """Return a report of ends as done, by number."""
    ended = [EndedTask(number, f"{number:016x}.0.0.0", 1, "done", "") for number in ends]
    return RunnerReport(clock_ms, boot_ms, [], ended)


def lost_runners(fleet) -> list[tuple[str, int]]:
    """Return the lost runners on record, with the starts of their processes."""
    newest = fleet.store.topic(JOBS_TOPIC).newest_by_key.get(LOST_RUNNERS_KEY)
    record = pb.LostRunners.FromString(newest.value if newest is not None else b"")
    return [(lost.id, lost.boot_ms) for lost in record.runners]


async def call_fields(app: CallerApp, path: str) -> dict:
    """Return the fields of the answer to a GET request to an instance's API."""
    headers = {"Host": "h", "Authorization": "Bearer key-owner"}
    response = await app.handle(make_mocked_request("GET", path, headers=headers))
    return json.loads(response.body)


class DeadlyTasks:
    """Crashes each runner that starts one of some tasks; it returns some seconds later.

    :param prefixes: the ids of deadly tasks begin with one of these.
    :param same_id: a runner returns under its id, instead of another one at its address.
    :param lost_answers: starts of deadly tasks are not answered.
    :param late_ms: starts of deadly tasks are carried out that much later.
    :param after_ms: time from the start of a deadly task to the crash.
    :param down_ms: time after which the runner's address answers again.
    :param unlisted_first: the runner's id leaves the list before its address answers again.
    :ivar crashed: the ids of the crashed runners, in order.
    """

    def __init__(
        self,
        fleet,
        *prefixes: str,
        same_id: bool = False,
        lost_answers: bool = False,
        late_ms: float = 0.0,
        after_ms: float = 10.0,
        down_ms: float = REBOOT_MS,
        unlisted_first: bool = False,
    ) -> None:
        self._fleet = fleet
        self._prefixes = prefixes
        self._same_id = same_id
        self._lost_answers = lost_answers
        self._late_ms = late_ms
        self._after_ms = after_ms
        self._down_ms = down_ms
        self._unlisted_first = unlisted_first
        self.crashed: list[str] = []
        for runner in fleet.runners_by_id.values():
            self._watch(runner)

    def _watch(self, runner) -> None:
        start = runner.start
        list_with_boot(self._fleet, runner.listed.id)

        async def start_deadly(term, task, run, *arguments, **options):
            if not task.startswith(self._prefixes):
                return await start(term, task, run, *arguments, **options)
            if self._late_ms:
                self._fleet.tasks.start(
                    self._start_late(
                        runner, partial(start, term, task, run, *arguments, **options)
                    ),
                    "late start",
                )
                raise RunnerUnansweredError("lost")
            answer = await start(term, task, run, *arguments, **options)
            self._fleet.tasks.start(self.crash(runner, self._after_ms), f"crash {runner.listed.id}")
            if self._lost_answers:
                # The poll that is under way breaks before the start times out.
                await self._fleet.clock.sleep_ms(500)
                raise RunnerUnansweredError("lost")
            return answer

        runner.start = start_deadly

    async def _start_late(self, runner, start) -> None:
        await self._fleet.clock.sleep_ms(self._late_ms)
        with contextlib.suppress(RunnerError):
            await start()
            await self.crash(runner)

    async def crash(self, runner, after_ms: float = 10.0) -> None:
        """Crash a runner; it or another process returns at its address."""
        await self._fleet.clock.sleep_ms(after_ms)
        name = runner.listed.id
        if runner.mode != "up":
            return
        self.crashed.append(name)
        crash(self._fleet, name)
        await self._fleet.clock.sleep_ms(self._down_ms - UNLIST_MS)
        if self._unlisted_first:
            self._fleet.unlist(name)
        await self._fleet.clock.sleep_ms(UNLIST_MS)
        if self._same_id:
            runner.mode = "up"
            list_with_boot(self._fleet, name)
            return
        replace(self._fleet, name)
        self._watch(self._fleet.add_runner(f"{name}x", runner.listed.rack))
        await self._fleet.clock.sleep_ms(UNLIST_MS)
        self._fleet.unlist(name)
