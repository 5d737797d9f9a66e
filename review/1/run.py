"""A runner that drains while the network resets its connections, and works on."""

import asyncio

import fleet

JOB = "00000000000000d1"
TASK = f"{JOB}.0.0.0"
WORK_MS = 30_000
CUT_S = 5.5
# The runner serves on for `drain_ms` and a little longer, "at times many seconds".
DRAIN_S = 8.0


async def scenario(play: fleet.Fleet, trouble: bool) -> list[str]:
    await play.start(instances=3, runners=6)
    await play.submit("n1", JOB, f"work_ms={WORK_MS}", {"count": 1, "estimate_ms": WORK_MS})
    async with asyncio.timeout(10):
        while play.runner_of(TASK) is None:
            await asyncio.sleep(0.05)
    await asyncio.sleep(2)
    runner = play.runner_of(TASK)
    runner.draining = True
    play.record.write(f"runner {runner.id} reports that it is draining")
    await asyncio.sleep(0.5)
    if trouble:
        await play.refuse(runner.name)
    await asyncio.sleep(CUT_S)
    if trouble:
        await play.heal()
    await asyncio.sleep(DRAIN_S - 0.5 - CUT_S)
    await runner.end("leaves")
    broken = fleet.runs_at_once(play.history(), play.record.now_s())
    return [f"TWICE: {line}" for line in broken]


if __name__ == "__main__":
    import sys

    fleet.main(sys.argv[1], scenario)
