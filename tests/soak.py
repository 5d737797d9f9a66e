"""A fault soak: real processes under seeded faults, judged by what callers and runners saw.

``python tests/soak.py --seeds 1,2,3 --seconds 20`` plays each seed; ``--mutant NAME`` plays with a
broken mechanism (see soak_mutants). Logs of a failed seed stay in ``out/soak/``.

The checker knows only what callers were told and what runners did: no task twice, nothing of a
refused job, every accepted job known at every instance and ended after the faults, no state that
goes back. Clocks of processes cannot be stepped without privileges; runners' clocks are slow.
"""

import asyncio
import pathlib
import random
import shutil
import signal
import sys
import time

import aiohttp
import fire
import structlog
from fleet_cluster import CALLER_HEADERS, FleetCluster, job_body

from carawayroute_standins.fleet.judge import find_violations

OUT = pathlib.Path(__file__).resolve().parent.parent / "out" / "soak"
# Most work ends between two faults; some outlasts the time after which a silent runner is noticed.
MOST_RUN_MS = 1_800
LONG_RUN_MS = 6_000
LONG_SHARE = 0.2
# All faults are healed by then; leases of 10 s lapse and everything runs once more.
FINISH_S = 45.0
CALL_TIMEOUT_S = 4.0
FAULT_PAUSE_S = (0.1, 1.5)
FAULT_LENGTH_S = (0.2, 4.0)
FINAL = ("completed", "failed", "cancelled")


class Soak:
    """One seed: callers, faults and the checker over one site.

    :param folder: where the processes' logs and settings go.
    """

    def __init__(self, seed: int, seconds: float, folder: pathlib.Path, instances: int) -> None:
        self.dice = random.Random(seed)
        self.seconds = seconds
        self.site = FleetCluster(folder)
        self.site.use_relays = True
        self.instances = instances
        self.accepted: dict[str, bool] = {}
        self.refused: set[str] = set()
        self.final_by_id: dict[str, str] = {}
        self.found: list[str] = []
        self.faults: list[str] = []
        self._started_s = 0.0
        self._healing: set[asyncio.Task] = set()
        self._starting = asyncio.Lock()

    async def run(self) -> list[str]:
        """Play and return what was broken, each with the second at which it was seen."""
        await self.site.start(instances=self.instances, runners=6)
        self._started_s = time.monotonic()
        callers = [asyncio.create_task(self._call_on()) for _ in range(4)]
        await self._harm()
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await self._finish()
        return self.found

    def _report(self, text: str) -> None:
        if text not in (line.split(" ", 1)[1] for line in self.found):
            self.found.append(f"{time.monotonic() - self._started_s:.1f} {text}")

    # ------------------------------------------------------------------ callers

    async def _call_on(self) -> None:
        """Hand jobs in, ask for their states and cancel some, on connections that stay open."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        ) as session:
            while True:
                await self._submit(session)
                for job_id in self.dice.sample(list(self.accepted), min(2, len(self.accepted))):
                    await self._watch(session, job_id, self._any())
                if self.dice.random() < 0.1 and self.accepted:
                    job_id = self.dice.choice(list(self.accepted))
                    status, _ = await self._ask(session, "DELETE", job_id, self._any())
                    if status not in (410, 429, 503):
                        # Without an answer the cancel may still count.
                        self.accepted[job_id] = True
                self._judge()
                await asyncio.sleep(self.dice.uniform(0.05, 0.4))

    def _any(self) -> str:
        return self.dice.choice(list(self.site.ports_by_name))

    async def _ask(self, session, method: str, job_id: str, name: str, job=None) -> tuple:
        url = f"http://127.0.0.1:{self.site.ports_by_name[name]['front']}/render/{job_id}"
        try:
            async with session.request(method, url, json=job, headers=CALLER_HEADERS) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return 0, None

    async def _submit(self, session) -> None:
        job_id = f"{self.dice.getrandbits(64):016x}"
        count = self.dice.choice((1, 1, 2, 4))
        run_ms = self.dice.randint(100, MOST_RUN_MS)
        if self.dice.random() < LONG_SHARE:
            run_ms = LONG_RUN_MS
        job = job_body(run_ms, count, gang=count > 1)
        statuses = []
        for _ in range(self.dice.choice((1, 3))):
            status, _ = await self._ask(session, "POST", job_id, self._any(), job)
            statuses.append(status)
            if status in (200, 429):
                break
            await asyncio.sleep(0.2)
        if 200 in statuses:
            self.accepted.setdefault(job_id, False)
        elif all(status in (429, 503) for status in statuses):
            self.refused.add(job_id)

    async def _watch(self, session, job_id: str, name: str) -> str:
        status, answer = await self._ask(session, "GET", job_id, name)
        if status == 410:
            self._report(f"{job_id} was accepted and is not known at {name}")
        if status != 200:
            return ""
        state = answer["state"]
        before = self.final_by_id.get(job_id)
        if before and state != before:
            self._report(f"{job_id} was {before} and is {state} at {name}")
        if state in FINAL:
            self.final_by_id[job_id] = state
            if state == "failed" or (state == "cancelled" and not self.accepted[job_id]):
                self._report(f"{job_id} is {state} without a cause")
        return state

    def _judge(self) -> None:
        journal = self.site.journal
        for text in find_violations(journal):
            # A member that waits in vain is allowed while orders get lost.
            if "waited in vain" not in text:
                self._report(text)
        started = {str(entry.fields["task"]).split(".")[0] for entry in journal.all("task_started")}
        for job_id in self.refused & started:
            self._report(f"{job_id} was refused at every try and has run")

    # ------------------------------------------------------------------ faults

    async def _harm(self) -> None:
        """Begin a fault every now and then; they overlap and end by themselves."""
        kinds = (
            self._kill,
            self._kill,
            self._kill_all,
            self._pause,
            self._stop,
            self._harm_store,
            self._harm_link,
            self._harm_link,
            self._lose_runner,
        )
        until_s = time.monotonic() + self.seconds
        while time.monotonic() < until_s:
            kind = self.dice.choice(kinds)
            self.faults.append(f"{time.monotonic() - self._started_s:.1f} {kind.__name__}")
            task = asyncio.create_task(kind(self.dice.uniform(*FAULT_LENGTH_S)))
            self._healing.add(task)
            await asyncio.sleep(self.dice.uniform(*FAULT_PAUSE_S))
        await asyncio.gather(*self._healing)

    async def _end(self, name: str, sign: signal.Signals) -> None:
        process = self.site.processes_by_name[name]
        if process.returncode is None:
            process.send_signal(sign)
            await process.wait()

    async def _again(self, name: str) -> None:
        # Two faults may have ended the same process.
        async with self._starting:
            if self.site.processes_by_name[name].returncode is not None:
                await self.site.start_process(name)

    async def _kill(self, length_s: float) -> None:
        name = self._any()
        await self._end(name, signal.SIGKILL)
        await asyncio.sleep(length_s / 2)
        await self._again(name)

    async def _kill_all(self, length_s: float) -> None:
        names = list(self.site.ports_by_name)
        await asyncio.gather(*(self._end(name, signal.SIGKILL) for name in names))
        await asyncio.sleep(length_s / 4)
        for name in names:
            await self._again(name)

    async def _stop(self, length_s: float) -> None:
        name = self._any()
        try:
            async with asyncio.timeout(8):
                await self._end(name, signal.SIGTERM)
        except TimeoutError:
            # It may be paused by another fault; the platform ends such processes too.
            await self._end(name, signal.SIGKILL)
        await self._again(name)

    async def _pause(self, length_s: float) -> None:
        process = self.site.processes_by_name[self._any()]
        if process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(length_s)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def _harm_store(self, length_s: float) -> None:
        store = self.site.store
        how = self.dice.choice(("down", "slow", "lost"))
        if how == "down":
            store.mode = "down"
        elif how == "slow":
            store.answer_ms = 300
        else:
            store.lost_answer_ratio, store.late_ms = 0.3, 1_500
        await asyncio.sleep(length_s)
        store.mode, store.answer_ms = "up", 4
        store.lost_answer_ratio, store.late_ms = 0.0, 0

    async def _harm_link(self, length_s: float) -> None:
        relays = [*self.site.store_relays_by_name.values()]
        relays += [*self.site.runner_relays_by_id.values()] * 2
        relay = self.dice.choice(relays)
        how = self.dice.choice(("delay", "reset", "silence", "towards", "back", "refuse"))
        if how == "delay":
            relay.delay_ms = self.dice.uniform(20, 600)
        elif how == "reset":
            relay.reset()
        elif how == "silence":
            relay.silence()
        elif how == "refuse":
            relay.refusing = True
        elif how == "towards":
            relay.hold_to_target = True
        else:
            relay.hold_from_target = True
        await asyncio.sleep(length_s)
        relay.heal()

    async def _lose_runner(self, length_s: float) -> None:
        model = self.dice.choice(list(self.site.models_by_id.values()))
        model.restart_empty()
        model.mode = "dead"
        await asyncio.sleep(length_s)
        model.mode = "up"

    # ------------------------------------------------------------------ end

    async def _finish(self) -> None:
        """Heal everything and wait until every accepted job has ended."""
        for name in list(self.site.ports_by_name):
            await self._again(name)
            await self.site.wait_ready(name)
        until_s = time.monotonic() + FINISH_S
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            left = set(self.accepted)
            while left and time.monotonic() < until_s:
                for job_id in sorted(left):
                    if await self._watch(session, job_id, self._any()) in FINAL:
                        left.discard(job_id)
                self._judge()
                await asyncio.sleep(0.2)
            for job_id in sorted(left):
                self._report(f"{job_id} was accepted and has not ended")


async def _play(seed: int, seconds: float, instances: int, mutant: str, folder) -> Soak:
    soak = Soak(seed, seconds, folder, instances)
    if mutant:
        soak.site.program = (str(pathlib.Path(__file__).with_name("soak_mutants.py")), mutant)
    try:
        await soak.run()
    finally:
        await soak.site.close()
    return soak


def play(seed: int, seconds: float = 20.0, instances: int = 3, mutant: str = "") -> Soak:
    """Play one seed and return it; its logs are kept if something was broken."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    folder = OUT / f"{mutant or 'seed'}-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    soak = asyncio.run(_play(seed, seconds, instances, mutant, folder))
    if soak.found:
        (folder / "found.txt").write_text("\n".join([*soak.found, "", *soak.faults]))
    else:
        shutil.rmtree(folder)
    return soak


def main(seeds: object = 0, seconds: float = 20.0, instances: int = 3, mutant: str = "") -> None:
    """Play seeds one after the other.

    :param seeds: numbers, or 0 for a fresh one.
    """
    numbers = seeds if isinstance(seeds, tuple) else (seeds or random.randrange(1, 1 << 31),)
    bad = 0
    for seed in numbers:
        soak = play(int(seed), seconds, instances, mutant)
        bad += bool(soak.found)
        print(
            f"seed {seed}: {len(soak.accepted)} jobs, {len(soak.faults)} faults, "
            f"{len(soak.found)} broken",
            *soak.found[:5],
            sep="\n  ",
            flush=True,
        )
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    fire.Fire(main)
