"""A planner that is cut off from the store with a runner, while another one takes over."""

import asyncio

import fleet

JOB = "00000000000000b1"
INSTANCES = 4
RUNNERS = 5
WORK_MS = 30_000
CUT_S = 12.0
# `hold_max_ms` of the sheet of cornice-sched-grown.
BOUNDS = {"hold_max_ms": 6_000}


async def scenario(play: fleet.Fleet, trouble: bool) -> list[str]:
    await play.start(instances=INSTANCES, runners=RUNNERS)
    await play.submit(
        "n1", JOB, f"work_ms={WORK_MS}", {"count": 1, "estimate_ms": WORK_MS, "gpu": 8}
    )
    task = f"{JOB}.0.0.0"
    async with asyncio.timeout(10):
        while play.runner_of(task) is None:
            await asyncio.sleep(0.05)
    await asyncio.sleep(3)
    if trouble:
        inside = {play.leader(), play.runner_of(task).name}
        play.cut(inside)
    await asyncio.sleep(CUT_S)
    play.record.write(f"{play.leader()} leads")
    if trouble:
        await play.heal()
    await asyncio.sleep(3)
    broken = fleet.runs_at_once(play.history(), play.record.now_s())
    return [f"TWICE: {line}" for line in broken]


if __name__ == "__main__":
    import sys

    fleet.main(sys.argv[1], scenario, bounds=BOUNDS)
