"""Builders of runners whose processes end and are replaced by other ones."""

import asyncio
import json

from fleet_builders import runner_fields

from carawayroute.fleet.exceptions import RunnerRefusedError
from carawayroute.fleet.types import EndedTask, RunnerReport
from carawayroute_standins.fleet.judge import starts

OTHER_PROCESS = "boot"
# A crashed runner's address answers again after this time.
REBOOT_MS = 3_000


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
    runner.restart_empty()
    runner.mode = "gone"
    # Breaks the connection of a poll that is under way.
    runner._ended_event.set()


def end_other_runs(fleet, runner_id: str) -> None:
    """End the runs of another runner, as if they had been stopped there."""
    runners = [one for one in fleet.runners_by_id.values() if one.listed.id != runner_id]
    busy = next(one for one in runners if one.free() < one.listed.capacity.accelerators)
    for run in list(busy._runs.values()):
        busy.end(run, "stopped")


def replace(fleet, runner_id: str) -> None:
    """Let another process answer at the address of a crashed runner."""
    refuse_calls(fleet, runner_id, "hold", "start", "stop")


def list_at(fleet, runner_id: str, address: str) -> None:
    """Write a runner's entry with another address."""
    fields = {**runner_fields(fleet.runners_by_id[runner_id].listed), "address": address}
    fleet.store.put(fleet.formats.runners_topic, runner_id, json.dumps(fields).encode())


async def crash_and_replace(fleet, runner_id: str, down_ms: float = REBOOT_MS) -> None:
    """Crash a runner; another process listens at its address some seconds later."""
    crash(fleet, runner_id)
    await fleet.clock.sleep_ms(down_ms)
    replace(fleet, runner_id)


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
