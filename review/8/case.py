"""Tasks that have ended are started again, since a runner lists only 500 ends at a time."""

import asyncio
import json
from pathlib import Path

from standins import BOUNDS, Case, config, main

CAPACITY = {"cpu": 32_000, "mem_mb": 65_536, "gpu": 8}
TASKS = 700
RUN_MS = 12_000
ONE_WAY_MS = 8
OUTAGE_S = 3.9


async def play(case: Case) -> str:
    """Play the case and return how the rule was broken, an empty string if it held."""
    tenants = [{"name": "a", "api_keys": ["key-a"], "priority": 1, "guaranteed": {"gpu": 8}}]
    case.put_config(config([{}], tenants))
    for number in range(2):
        # The runners stand in the other region.
        await case.add_runner(
            f"i-{number}", capacity=CAPACITY, labels=["a", "r1-0"], one_way_ms=ONE_WAY_MS
        )
    await case.open()
    await case.wait_ready()
    step = {"count": TASKS, "cpu": 40, "mem_mb": 80, "estimate_ms": RUN_MS}
    job_id = await case.submit("/q0/", {"spec": json.dumps({"run_ms": RUN_MS}), "steps": [step]})
    while not case.starts():
        await asyncio.sleep(0.01)
    # The first tasks end a moment later.
    await asyncio.sleep(RUN_MS / 1000 - 0.5)
    case.record.write("at_work", tasks=[len(runner.tasks) for runner in case.runners])
    if case.trouble:
        case.store.set_mode("busy")
    await asyncio.sleep(OUTAGE_S)
    case.store.set_mode("up")
    calm_s = case.record.now_s() + BOUNDS["contact_ms"] / 1000
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + RUN_MS / 1000 + 5)
    await case.call("front-south-a-1", "GET", f"/q0/{job_id}")
    for runner in case.runners:
        case.record.write(
            "ends", runner=runner.id, noted_through=runner.noted_through, unnoted=len(runner.ends)
        )
    again = []
    for runner in case.runners:
        for name, run, ended_s in runner.done:
            # Without a disturbance near, an end counts as taken note of 100 ms after it was listed.
            noted = runner.is_noted(name, run) or runner.listed_ends.get((name, run), 0) > calm_s
            for other, other_run, started_s in case.starts():
                if noted and other == name and started_s > ended_s:
                    again.append((name, run, other_run))
                    case.record.write(
                        "started_after_done",
                        task=name,
                        run=run,
                        done=f"{ended_s:.3f}",
                        listed_last=f"{runner.listed_ends.get((name, run), 0):.3f}",
                        started_run=other_run,
                        started=f"{started_s:.3f}",
                    )
    if not again:
        return ""
    return f"{len(again)} of {TASKS} tasks were started again after a run had ended done"


if __name__ == "__main__":
    main(play, Path(__file__).parent)
