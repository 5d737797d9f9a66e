"""Short seeded soak runs over real processes; ``make soak`` starts longer ones."""

import asyncio
import time

import pytest
import soak
import structlog

pytestmark = pytest.mark.slow

# Seeds that once failed, each with a comment on its cause.
REGRESSION_SEEDS: tuple[int, ...] = (
    # With 12 instances: the check took the state told by an instance that had been paused, to a
    # request that may have been under way when the job ended, for a changed final state.
    1872853718,
)


@pytest.mark.parametrize("seed", (1, 2, *REGRESSION_SEEDS))
def test_no_violations_under_overlapping_faults(seed):
    assert soak.run_seed(seed, seconds=10.0).violations == []


def test_soak_detects_ends_acknowledged_before_they_are_stored():
    assert soak.run_seed(1, seconds=10.0, mutant="acknowledge_before_stored").violations


def test_soak_detects_absence_taken_for_proof():
    found = soak.run_seed(1, seconds=5.0, instances=6, far=3, mutant="absence_is_proof")
    assert any("is unknown at instance" in text for text in found.violations)


def test_soak_detects_crashes_that_are_not_counted():
    faults = ("deadly_jobs", "crash_runner")
    found = soak.run_seed(1, 10.0, mutant="crashes_are_not_counted", runner_faults=faults)
    assert any("after it had crashed" in text for text in found.violations)


async def never_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read until the client gives up."""
    await reader.read()
    writer.close()


class RunWithoutProcesses(soak.SoakRun):
    """A run whose only instance never answers, and whose faults end as calls time out."""

    async def run_callers(self) -> None:
        """Run the callers."""
        server = await asyncio.start_server(never_answer, "127.0.0.1", 0)
        self.cluster.ports_by_name["n1"] = {"front": server.sockets[0].getsockname()[1]}
        try:
            async with asyncio.timeout(10):
                await self.run()
        finally:
            server.close()
            await self.cluster.session.close()

    async def _wait_for_jobs(self) -> None:
        pass

    async def _inject_faults(self) -> None:
        await asyncio.sleep(0.1)
        time.sleep(2 * soak.CALL_TIMEOUT_S)
        # The calls time out in the first turn of the loop and notice it in the third.
        await asyncio.sleep(0)
        await asyncio.sleep(0)


def test_run_ends_when_calls_time_out_as_the_faults_end(monkeypatch, tmp_path):
    """A run of seed 2 beside load went on for 10 minutes."""
    monkeypatch.setattr(soak, "CALL_TIMEOUT_S", 0.3)

    async def main():
        run = RunWithoutProcesses(1, 0.0, tmp_path, 1)
        monkeypatch.setattr(run.cluster, "start", lambda **options: asyncio.sleep(0))
        await run.run_callers()

    asyncio.run(main())


def test_fault_that_does_not_end_is_a_violation(monkeypatch, tmp_path):
    monkeypatch.setattr(soak, "FAULT_END_TIMEOUT_S", 0.1, raising=False)

    async def never_end():
        await asyncio.get_running_loop().create_future()

    async def main():
        run = soak.SoakRun(1, 0.0, tmp_path, 1)
        run._fault_tasks.add(asyncio.create_task(never_end(), name="_kill"))
        try:
            async with asyncio.timeout(5):
                await run._inject_faults()
        finally:
            await run.cluster.session.close()
        assert [text.split(" ", 1)[1] for text in run.violations] == ["fault _kill has not ended"]

    asyncio.run(main())


class AnswersInTurn(soak.SoakRun):
    """A run whose calls return the given states, each after a delay in s."""

    async def check(self, *delays_and_states: tuple[float, str]) -> list[str]:
        """Ask for one job at the same time once for each state, and return the violations."""
        self.accepted["j"] = 1
        self._answers = list(delays_and_states)
        await asyncio.gather(*(self._check_job(None, "j", "n1") for _ in delays_and_states))
        return [text.split(" ", 1)[1] for text in self.violations]

    async def _call(self, session, method: str, job_id: str, name: str, job=None) -> tuple:
        delay_s, state = self._answers.pop(0)
        await asyncio.sleep(delay_s)
        return 200, {"state": state}


def test_state_is_compared_with_the_ends_told_before_it_was_asked_for(tmp_path):
    """Seeds 1 and 1872853718: a request under way told the state from before the job's end."""

    async def main():
        run = AnswersInTurn(1, 0.0, tmp_path, 1)
        await run.cluster.session.close()
        assert await run.check((0.05, "queued"), (0, "cancelled")) == []
        changed = "job j changed from final state cancelled to {} at instance n1"
        assert await run.check((0, "running")) == [changed.format("running")]
        run.violations.clear()
        run.final_by_id.clear()
        assert await run.check((0.05, "completed"), (0, "cancelled")) == [
            changed.format("completed")
        ]

    asyncio.run(main())


def test_run_leaves_the_log_settings_as_they_were(monkeypatch, tmp_path):
    """Tests of log lines that ran after a soak in the same process saw none."""

    async def run_seed(seed, seconds, instances, mutant, folder, far, runner_faults):
        return soak.SoakRun(seed, seconds, folder, instances)

    monkeypatch.setattr(soak, "_run_seed", run_seed)
    monkeypatch.setattr(soak, "OUTPUT_DIR", tmp_path)
    before = dict(structlog.get_config())
    soak.run_seed(1)
    assert structlog.get_config() == before
