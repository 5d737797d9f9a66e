"""Runs the platform's program with one mechanism broken, to test that the soak detects it."""

import asyncio
import importlib
import sys

from carawayroute.fleet import entry, follower, jobs, links, planner, shared_reader, writer
from carawayroute.fleet.exceptions import FormatError, StoreUnansweredError
from carawayrouted.platform import __main__ as program
from carawayrouted.platform import formats


def acknowledge_before_stored() -> None:
    """Acknowledge ends of tasks to the runner before storing them, and never store them."""

    async def store_ends(self, link, last, report):
        link.acknowledge_through(last)
        await asyncio.sleep(1.0)

    planner.Planner._store_ends = store_ends


def no_wait_for_leases() -> None:
    """Treat the lease of every runner as expired, so that its tasks may run elsewhere at once."""
    links.RunnerLink.lease_expired = lambda self: True


def lost_answer_is_a_failure() -> None:
    """Report a job as refused when the store's answer was lost, though it may be stored."""
    original = writer.LogWriter._send_once

    async def send_once(self, records, uncertain):
        error = await original(self, records, False)
        if isinstance(error, StoreUnansweredError) and not self._retry_until_stored:
            self._sequence += 1
            return writer.StoreRefusedError("no answer")
        return error

    writer.LogWriter._send_once = send_once


def jobs_are_forgotten() -> None:
    """Accept a job 0.5 s before it is written to the store."""

    async def write(self, key, value, job_id, wait_ms, late_limit_ms=0.0):
        asyncio.get_running_loop().call_later(
            0.5, lambda: asyncio.ensure_future(self._writer.write([(key, value)]))
        )

    entry.EntryService._write = write


def runs_count_as_gone() -> None:
    """Drop every run that a runner's report does not list, even while its start is in progress."""
    original = planner.Planner._apply_report

    def apply_report(self, link, report, sent_ms):
        for run in self.runs_by_key.values():
            if run.runner == link.runner.id:
                run.acknowledged_ms = -1.0
        original(self, link, report, sent_ms)

    planner.Planner._apply_report = apply_report


def absence_is_proof() -> None:
    """Take a job that this instance does not know for one that does not exist."""

    async def find(self, job_id, wait_ms):
        job = self._job_table.jobs_by_id.get(job_id)
        if job is None:
            raise entry.NoSuchJobError(job_id)
        return entry.JobStatus(job.reported_state, bool(job.stored_end))

    entry.EntryService._find = find


def pages_count_as_new() -> None:
    """Serve peers pages whose end was told earlier as if the store had just told it."""
    original = shared_reader.SharedReadServer.serve

    async def serve(self, call):
        answer = await original(self, call)
        answer.age_ms = 0
        return answer

    shared_reader.SharedReadServer.serve = serve


def crashes_are_not_counted() -> None:
    """Count no crashes of runners for the tasks that ran there."""
    crashes = importlib.import_module("carawayroute.fleet.crashes")
    crashes.CrashLedger.process_crashed = lambda self, *crash: None


def crashes_are_not_stored() -> None:
    """Leave the crashes out of the records, so that the next planner counts from the start."""
    original = jobs.Stage.to_record

    def to_record(self):
        record = original(self)
        del record.crashes[:], record.start_crashes[:]
        return record

    jobs.Stage.to_record = to_record


def shrunk_capacity_is_ignored() -> None:
    """Place tasks by the capacity that a runner had when it was first listed."""
    original = planner.Planner.set_runner

    def set_runner(self, runner):
        link = self.links_by_id.get(runner.id)
        if link is not None:
            runner.capacity = link.runner.capacity
        original(self, runner)

    planner.Planner.set_runner = set_runner


def odd_entry_stops_the_follower() -> None:
    """Read a record again and again that cannot be handled, instead of going on."""
    original = formats.StoreFormat.decode_runner

    def decode_runner(self, runner_id, value):
        try:
            return original(self, runner_id, value)
        except FormatError as error:
            raise RuntimeError(str(error)) from error

    def note_failure(self, record, error):
        raise error

    formats.StoreFormat.decode_runner = decode_runner
    follower.TopicFollower._note_failure = note_failure


MUTANTS = {
    mutant.__name__: mutant
    for mutant in (
        acknowledge_before_stored,
        no_wait_for_leases,
        lost_answer_is_a_failure,
        jobs_are_forgotten,
        runs_count_as_gone,
        absence_is_proof,
        pages_count_as_new,
        crashes_are_not_counted,
        crashes_are_not_stored,
        shrunk_capacity_is_ignored,
        odd_entry_stops_the_follower,
    )
}

if __name__ == "__main__":
    MUTANTS[sys.argv.pop(1)]()
    program.main()
