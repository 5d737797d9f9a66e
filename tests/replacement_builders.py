"""Builders of runners whose processes end and are replaced by other ones."""

from carawayroute.fleet.exceptions import RunnerRefusedError
from carawayroute_standins.fleet.judge import starts

OTHER_PROCESS = "boot"


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


def refuse_calls(fleet, runner_id: str, *calls: str) -> None:
    """Answer calls to a runner as another process at its address does, from every instance.

    :param calls: names of methods of the runner client.
    """

    def wrap(send):
        async def refuse(runner, *arguments):
            if runner.id == runner_id:
                await fleet.clock.sleep_ms(1)
                raise RunnerRefusedError(OTHER_PROCESS)
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


def replace(fleet, runner_id: str) -> None:
    """Let another process answer at the address of a crashed runner."""
    refuse_calls(fleet, runner_id, "hold", "start", "stop")
