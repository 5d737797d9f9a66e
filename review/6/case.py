"""Work that waits for one runner that has left keeps all other work of the fleet from starting."""

import asyncio
import json
import time
from pathlib import Path

from standins import BOUNDS, Case, config, main

CAPACITY = {"cpu": 32_000, "mem_mb": 65_536, "gpu": 8}
RUNNERS = 12
# The last runner is the only one of its rack.
LABEL = "r1-1"
URGENT_JOBS = 18
TIMES = 8
INTERVAL_MS = 3_000
SMALL_JOBS = 6


def body(run_ms: int, steps: int, **fields) -> dict:
    """Return a job whose steps have one task each."""
    step = {"count": 1, "cpu": 1_000, "mem_mb": 2_000, "estimate_ms": run_ms}
    label = fields.pop("label", "")
    if label:
        step["constraints"] = label
    return {"spec": json.dumps({"run_ms": run_ms}), "steps": [step] * steps, **fields}


async def play(case: Case) -> str:
    """Play the case and return how the rule was broken, an empty string if it held."""
    urgent = {"priority": 0, "stretch": 1.5, "target_latency_ms": 300, "max_attempts": 2}
    tenants = [
        {"name": "a", "api_keys": ["key-a"], "priority": 1, "guaranteed": {"gpu": 24}},
        {"name": "b", "api_keys": ["key-b"], "priority": 1, "guaranteed": {"gpu": 8}},
    ]
    case.put_config(config([{"path_prefix": "/q0/", **urgent}, {"path_prefix": "/q1/"}], tenants))
    for number in range(RUNNERS):
        rack = LABEL if number == RUNNERS - 1 else "r1-0"
        await case.add_runner(f"i-{number}", capacity=CAPACITY, labels=["a", rack])
    await case.open()
    await case.wait_ready()
    nodes = list(case.processes)
    if case.trouble:
        await case.runners[-1].leave(BOUNDS["drain_ms"] + 500)
    start_ms = int(time.time() * 1000) + 1_000
    for number in range(URGENT_JOBS):
        timed = {"repeat_count": TIMES, "start_at_ms": start_ms, "interval_ms": INTERVAL_MS}
        await case.submit("/q0/", body(300, 3, label=LABEL, **timed), nodes[number % 3])
    await asyncio.sleep((TIMES * INTERVAL_MS + 2_000) / 1000)
    jobs = []
    for number in range(SMALL_JOBS):
        jobs.append(await case.submit("/q1/", body(500, 1), nodes[number % 3], "key-b"))
    case.record.write("traffic_ends")
    await asyncio.sleep(BOUNDS["finish_s"])
    queued = await states(case, jobs)
    used = sum(len(runner.tasks) for runner in case.runners if runner.up)
    case.record.write("fleet", runners_up=sum(one.up for one in case.runners), tasks_running=used)
    # The rule allows a job to have nothing running for 3 s.
    await asyncio.sleep(4)
    queued = [job_id for job_id in await states(case, jobs) if job_id in queued]
    started = {name.split(".")[0] for name, _, _ in case.starts()}
    standing = [job_id for job_id in queued if job_id not in started]
    if not standing:
        return ""
    return (
        f"{len(standing)} of {SMALL_JOBS} accepted jobs had nothing running "
        f"{BOUNDS['finish_s']} s and {BOUNDS['finish_s'] + 4} s after the end of the traffic, "
        f"while {used} tasks ran on {RUNNERS - 1} runners"
    )


async def states(case: Case, jobs: list[str]) -> list[str]:
    """Return the jobs that are still shown as queued."""
    queued = []
    for job_id in jobs:
        _, answer = await case.call("front-south-a-1", "GET", f"/q1/{job_id}", None, "key-b")
        if answer.get("state") == "queued":
            queued.append(job_id)
    return queued


if __name__ == "__main__":
    main(play, Path(__file__).parent)
