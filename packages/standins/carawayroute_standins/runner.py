"""Stand-in for a runner: an endpoint that runs quick requests in a fixed number of slots."""

import asyncio
import hashlib
import json

from carawayroute.clock import Clock
from carawayroute.types import Instance
from carawayroute_standins.journal import Journal

MODES = ("up", "fail", "silent", "truncate", "cross", "late", "leaving", "duplicate")


class RunnerResponse:
    """A response as sent on the wire; `digest` and `length` describe the complete body."""

    __slots__ = ("attempt_id", "body", "digest", "length", "status")

    def __init__(self, status: int, attempt_id: str, body: bytes) -> None:
        self.status = status
        self.attempt_id = attempt_id
        self.body = body
        self.digest = hashlib.sha256(body).hexdigest()
        self.length = len(body)


class RunnerModel:
    """Runs requests in slots; further requests wait in FIFO order.

    :ivar mode: ``up`` or one of the faults in `MODES`.
    :ivar speed: factor on the execution speed; below 1 for a slow runner.
    """

    def __init__(self, instance: Instance, journal: Journal, clock: Clock) -> None:
        self.instance = instance
        self.journal = journal
        self.clock = clock
        self.mode = "up"
        self.speed = 1.0
        self.late_ms = 2000
        self._slots = asyncio.Semaphore(instance.capacity)
        self._previous: RunnerResponse | None = None

    async def run(self, attempt_id: str, kind: str, body: bytes) -> RunnerResponse:
        """Run one request and return its response."""
        if self.mode == "leaving":
            return RunnerResponse(503, attempt_id, b"leaving")
        work = json.loads(body)
        fields = {"runner": self.instance.id, "attempt": attempt_id, "kind": kind}
        fields["request"] = work.get("request", "")
        async with self._slots:
            self.journal.record("run", **fields)
            if self.mode == "fail":
                return RunnerResponse(500, attempt_id, b"failed")
            if self.mode == "silent":
                await asyncio.Event().wait()
            await self.clock.sleep_ms(work.get("run_ms", 50) / self.speed)
            if self.mode == "late":
                await self.clock.sleep_ms(self.late_ms)
            self.journal.record("ran", **fields)
        answer = self._answer(attempt_id, work)
        if self.mode == "cross" and self._previous is not None:
            answer, self._previous = self._previous, answer
            return answer
        self._previous = answer
        if self.mode == "truncate":
            answer = self._answer(attempt_id, work)
            answer.body = answer.body[: len(answer.body) // 2]
        return answer

    def _answer(self, attempt_id: str, work: dict[str, object]) -> RunnerResponse:
        size = int(work.get("answer_bytes", 64))
        text = json.dumps({"request": work.get("request", ""), "pad": "x" * size})
        return RunnerResponse(200, attempt_id, text.encode())
