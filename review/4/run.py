"""A job whose caller has cancelled it after its submission went unanswered."""

import asyncio
import signal

import fleet

JOB = "00000000000000c1"
TASK = f"{JOB}.0.0.0"
WORK_MS = 60_000
FREEZE_S = 4.0
# The caller's deadline for an answer.
DEADLINE_S = 3.0
CONTACT_S = fleet.BOUNDS["contact_ms"] / 1000
CANCEL_S = fleet.BOUNDS["cancel_ms"] / 1000
STOP_S = fleet.BOUNDS["stop_timeout_ms"] / 1000


async def scenario(play: fleet.Fleet, trouble: bool) -> list[str]:
    await play.start(instances=3, runners=3)
    leader = play.leader()
    frozen, other = [name for name in play.processes if name != leader]
    if trouble:
        play.signal(frozen, signal.SIGSTOP)
    began_s = play.record.now_s()
    body = {
        "spec": f"work_ms={WORK_MS}",
        "steps": [{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": WORK_MS}],
    }
    await play.call(frozen, "POST", JOB, body, timeout_s=DEADLINE_S)
    cancelled_s = None
    for _ in range(fleet.RETRIES):
        status, _ = await play.call(other, "DELETE", JOB)
        if 200 <= status < 300 or status == 410:
            cancelled_s = play.record.now_s()
            break
        await asyncio.sleep(0.2)
    if cancelled_s is None:
        raise RuntimeError("the cancellation was not acknowledged")
    await asyncio.sleep(max(0.0, began_s + FREEZE_S - play.record.now_s()))
    if trouble:
        play.signal(frozen, signal.SIGCONT)
    calm_s = play.record.now_s() + CONTACT_S
    gone_s = max(cancelled_s, calm_s) + CANCEL_S + STOP_S
    await asyncio.sleep(gone_s + 1 - play.record.now_s())
    status, fields = await play.call(other, "GET", JOB)
    broken = []
    for run in play.history():
        if run.get("end", play.record.now_s()) > gone_s:
            began_s = run["start"] - cancelled_s
            seen_s = play.record.now_s() - cancelled_s
            broken.append(
                f"UNASKED: {run['task']} run {run['run']} started {began_s:.1f} s after the "
                f"cancellation was acknowledged, and still runs {seen_s:.1f} s after it; the job "
                f"is shown as {fields}"
            )
    return broken


if __name__ == "__main__":
    import sys

    fleet.main(sys.argv[1], scenario)
