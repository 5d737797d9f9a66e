"""Runners on the platform: decoding of their store entries and a client of their HTTP API."""

import json

from carawayroute.fleet.exceptions import (
    FormatError,
    RunnerNotListeningError,
    RunnerNotSentError,
    RunnerRefusedError,
    RunnerUnansweredError,
)
from carawayroute.fleet.types import Capacity, EndedTask, Runner, RunnerReport, RunningTask
from carawayrouted.platform import wire_names
from carawayrouted.platform.http import HttpPool, NotListeningError, RequestNotSentError

# A runner accepts 64 connections and keeps an abandoned one for another 4 s. With this pool size
# and calls abandoned after ORDER_TIMEOUT_MS, a slow runner has connections left for new calls.
RUNNER_CONNECTIONS = 6
# About ten times the usual response time of the far region, as a planner under load reads answers
# late.
ORDER_TIMEOUT_MS = 800
POLL_TIMEOUT_MS = 800
RACK_LABEL_SEPARATOR = "-"


def decode_runner(runner_id: str, value: bytes) -> Runner:
    """Decode a runner from its store entry.

    :raises FormatError: the entry is malformed, or another program wrote it.
    """
    try:
        fields = json.loads(value)
        capacity = fields["capacity"]
        labels = [label for label in fields["labels"] if isinstance(label, str)]
        if fields["state"] not in ("ready", "draining"):
            raise FormatError(f"unknown state {fields['state']!r}")
        address = fields["address"]
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise FormatError(f"address {address!r} is not host:port")
        return Runner(
            runner_id,
            _text(fields["service"]),
            address,
            _text(fields["zone"]),
            Capacity(
                _integer(capacity["cpu"]), _integer(capacity["mem_mb"]), _integer(capacity["gpu"])
            ),
            frozenset(labels),
            _rack(labels),
            fields["state"] == "draining",
            _integer(fields.get("born", 0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise FormatError(f"{type(error).__name__}: {error}") from error


def _rack(labels: list[str]) -> str:
    """Return the rack label, the one with a separator; the other label is the kind of runner."""
    return next((label for label in labels if RACK_LABEL_SEPARATOR in label), "")


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not text")
    return value


def _integer(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not a whole number")
    return value


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
        self, runner: Runner, path: str, fields: dict, timeout_ms: float = ORDER_TIMEOUT_MS
    ) -> dict:
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
            found = json.loads(reply.body)
            if reply.status == 409:
                raise RunnerRefusedError(str(found.get("reason")))
            if reply.status != 200:
                raise RunnerUnansweredError(f"the runner answered with status {reply.status}")
            return found
        except (ValueError, AttributeError) as error:
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
        found = await self._post(runner, "hold", fields, POLL_TIMEOUT_MS + wait_ms)
        try:
            return RunnerReport(
                _integer(found["clock_ms"]),
                found.get("born", 0),
                [RunningTask(row[0], row[1], row[2], row[3]) for row in found["running"]],
                [EndedTask(row[0], row[1], row[2], row[3], row[4]) for row in found["finished"]],
            )
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise RunnerUnansweredError(f"the report cannot be read: {error!r}") from error

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
        return self._clock(await self._post(runner, "run-start", fields))

    async def stop(self, runner: Runner, term: int, task: str, run: int) -> int:
        """Stop a run and return the runner's clock in ms."""
        fields = {"task": task, "run_id": run, "fencing_token": term}
        return self._clock(await self._post(runner, "run-stop", fields))

    @staticmethod
    def _clock(found: dict) -> int:
        clock_ms = found.get("clock_ms")
        if not isinstance(clock_ms, int):
            raise RunnerUnansweredError("the answer lacks clock_ms")
        return clock_ms
