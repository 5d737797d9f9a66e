"""Runners on the platform: decoding of their store entries and a client of their HTTP API."""

import json
from collections.abc import Callable
from typing import TypeVar

from carawayroute.fleet.exceptions import (
    FormatError,
    RunnerNotListeningError,
    RunnerNotSentError,
    RunnerRefusedError,
    RunnerUnansweredError,
)
from carawayroute.fleet.types import Capacity, EndedTask, Runner, RunnerReport, RunningTask
from carawayrouted.platform import wire_names
from carawayrouted.platform.decoding import (
    MAX_TIME_MS,
    MAX_UINT32,
    Fields,
    check_header_safe,
    check_list,
    check_number,
    check_text,
    check_unicast,
    check_whole,
    decode_object,
)
from carawayrouted.platform.http import HttpPool, NotListeningError, RequestNotSentError

# A runner accepts 64 connections and keeps an abandoned one for another 4 s. With this pool size
# and calls abandoned after ORDER_TIMEOUT_MS, a slow runner has connections left for new calls.
RUNNER_CONNECTIONS = 6
# About ten times the usual response time of the far region, as a planner under load reads answers
# late.
ORDER_TIMEOUT_MS = 800
POLL_TIMEOUT_MS = 800
RACK_LABEL_SEPARATOR = "-"
DRAINING = "draining"
STATES = ("ready", DRAINING)
# Far above those of any machine; the sums over all runners fit the fields of records.
MAX_CPU_MILLIS = 10_000_000
MAX_MEMORY_MB = 1_000_000_000
MAX_ACCELERATORS = 10_000
# Runners have two.
MAX_LABELS = 64
MAX_CHECKPOINT_BYTES = 16_384
MAX_END_NUMBER = 2**53
# A runner lists this many ends at a time; the others follow once these are acknowledged.
MAX_LISTED_ENDS = 500

Decoded = TypeVar("Decoded")


def decode_runner(runner_id: str, value: bytes) -> Runner:
    """Decode a runner from its store entry.

    :raises FormatError: the entry is malformed, has a value out of range, or another program wrote
        it.
    """
    check_header_safe(runner_id, "the runner's id")
    fields = decode_object(value)
    state = fields.text("state")
    if state not in STATES:
        raise FormatError("state is not one of " + ", ".join(STATES))
    host, port = fields.address("address")
    check_unicast(host, "address")
    capacity = fields.object("capacity")
    labels = [check_text(label, "a label") for label in fields.items("labels", most=MAX_LABELS)]
    return Runner(
        runner_id,
        fields.text("service", least_bytes=1),
        f"{host}:{port}",
        fields.text("zone"),
        Capacity(
            capacity.whole("cpu", 0, MAX_CPU_MILLIS),
            capacity.whole("mem_mb", 0, MAX_MEMORY_MB),
            capacity.whole("gpu", 0, MAX_ACCELERATORS),
        ),
        frozenset(labels),
        _rack(labels),
        state == DRAINING,
        fields.whole("born", 0, MAX_TIME_MS, default=0),
    )


def _rack(labels: list[str]) -> str:
    """Return the rack label, the one with a separator; the other label is the kind of runner."""
    return next((label for label in labels if RACK_LABEL_SEPARATOR in label), "")


def decode_report(body: bytes) -> RunnerReport:
    """Decode a runner's answer to a status poll.

    :raises FormatError: it is malformed or has a value out of range.
    """
    fields = decode_object(body)
    ended = [_ended_task(row) for row in fields.items("finished")]
    return RunnerReport(
        _clock_ms(fields),
        fields.whole("born", 0, MAX_TIME_MS, default=0),
        [_running_task(row) for row in fields.items("running")],
        ended,
        lists_all_ends=len(ended) < MAX_LISTED_ENDS,
    )


def _running_task(row: object) -> RunningTask:
    task, run, checkpoint, percent = check_list(row, "a running task", least=4)[:4]
    return RunningTask(
        check_text(task, "task"),
        check_whole(run, "run", 0, MAX_UINT32),
        check_text(checkpoint, "checkpoint", MAX_CHECKPOINT_BYTES),
        _percent(percent),
    )


def _ended_task(row: object) -> EndedTask:
    number, task, run, outcome, checkpoint = check_list(row, "an ended task", least=5)[:5]
    return EndedTask(
        check_whole(number, "number", 0, MAX_END_NUMBER),
        check_text(task, "task"),
        check_whole(run, "run", 0, MAX_UINT32),
        check_text(outcome, "outcome"),
        check_text(checkpoint, "checkpoint", MAX_CHECKPOINT_BYTES),
    )


def _percent(value: object) -> int:
    percent = check_number(value, "percent", -MAX_UINT32, MAX_UINT32)
    return round(min(100.0, max(0.0, percent)))


def decode_clock(body: bytes) -> int:
    """Decode the runner's clock in ms from its answer to an order.

    :raises FormatError: the answer is malformed, or the clock is missing or out of range.
    """
    return _clock_ms(decode_object(body))


def _clock_ms(fields: Fields) -> int:
    return fields.whole("clock_ms", 0, MAX_TIME_MS)


def decode_refusal(body: bytes) -> str:
    """Decode the reason of a refusal.

    :raises FormatError: the answer is malformed or names no reason.
    """
    return decode_object(body).text("reason", least_bytes=1)


class HttpRunners:
    """Client of the runners' HTTP API.

    Every call raises ``RunnerRefusedError`` if the runner refuses it, ``RunnerNotListeningError``
    if no process listens at its address, and ``RunnerUnansweredError`` if it fails otherwise.

    :ivar polls: number of calls to :meth:`hold`.
    """

    def __init__(self, pool: HttpPool) -> None:
        self._pool = pool
        self.polls = 0

    async def _post(
        self,
        runner: Runner,
        path: str,
        fields: dict,
        decode: Callable[[bytes], Decoded],
        timeout_ms: float = ORDER_TIMEOUT_MS,
    ) -> Decoded:
        headers = {"Content-Type": "application/json", wire_names.INSTANCE_HEADER: runner.id}
        body = json.dumps(fields, separators=(",", ":")).encode()
        url = f"http://{runner.address}/v1/{path}"
        try:
            reply = await self._pool.call("POST", url, timeout_ms, body, headers)
        except NotListeningError as error:
            raise RunnerNotListeningError(str(error)) from error
        except RequestNotSentError as error:
            raise RunnerNotSentError(f"cannot connect: {error}") from error
        except TimeoutError as error:
            raise RunnerUnansweredError(str(error)) from error
        if reply.status == 421:
            raise RunnerRefusedError("boot")
        if reply.status in (429, 503):
            raise RunnerRefusedError("unhealthy")
        if reply.status == 400:
            raise RunnerRefusedError("invalid")
        try:
            if reply.status == 409:
                raise RunnerRefusedError(decode_refusal(reply.body))
            if reply.status != 200:
                raise RunnerUnansweredError(f"the runner answered with status {reply.status}")
            return decode(reply.body)
        except FormatError as error:
            raise RunnerUnansweredError(f"the answer cannot be read: {error}") from error

    async def hold(
        self, runner: Runner, term: int, acknowledged: int, lease_until_ms: int, wait_ms: int
    ) -> RunnerReport:
        """Extend the lease, acknowledge ended tasks, and return running and ended ones."""
        self.polls += 1
        fields: dict = {"fencing_token": term, "last_seen": acknowledged}
        if lease_until_ms:
            fields["deadline_ms"] = lease_until_ms
        if wait_ms:
            fields["wait_ms"] = wait_ms
        return await self._post(runner, "hold", fields, decode_report, POLL_TIMEOUT_MS + wait_ms)

    async def start(
        self,
        runner: Runner,
        term: int,
        task: str,
        run: int,
        spec: str,
        checkpoint: str,
        lease_until_ms: int,
        ticket: str = "",
    ) -> int:
        """Start a task and return the runner's clock in ms."""
        fields = {
            "task": task,
            "run_id": run,
            "spec": spec,
            "deadline_ms": lease_until_ms,
            "fencing_token": term,
        }
        if checkpoint:
            fields["last_checkpoint"] = checkpoint
        if ticket:
            fields["ticket"] = ticket
        return await self._post(runner, "run-start", fields, decode_clock)

    async def stop(self, runner: Runner, term: int, task: str, run: int) -> int:
        """Stop a run and return the runner's clock in ms."""
        fields = {"task": task, "run_id": run, "fencing_token": term}
        return await self._post(runner, "run-stop", fields, decode_clock)
