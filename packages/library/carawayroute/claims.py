"""Claims: log records that make non-idempotent requests run at most once."""

from carawayroute.clock import Clock
from carawayroute.exceptions import LogError, LogUncertainError, RefusedError
from carawayroute.log import LogFollower
from carawayroute.misc import TaskGroup, new_id
from carawayroute.state import ClaimEntry
from carawayroute_schema import carawayroute_pb2 as pb

APPEND_TIMEOUT_MS = 5_000
# Answers above this size are not stored in the log, so a repeated request does not get them.
MAX_KEPT_ANSWER_BYTES = 16 * 1024


class ClaimService:
    """Acquire claims, record their outcomes and wait for them.

    :param tasks: runs the outcome appends in the background.
    :ivar unrecorded_outcomes: number of outcomes that the log has not yet confirmed.
    """

    def __init__(
        self, follower: LogFollower, clock: Clock, instance: str, tasks: TaskGroup
    ) -> None:
        self._follower = follower
        self._clock = clock
        self._instance = instance
        self._tasks = tasks
        self.unrecorded_outcomes = 0

    def _entry(self, key: str) -> ClaimEntry | None:
        return self._follower.state.claims_by_key.get(key)

    async def acquire(self, key: str, deadline_ms: float) -> pb.Claim | None:
        """Claim a request; return ``None`` if another claim holds it.

        A request whose previous claim ended as ``NOT_RUN`` can be claimed again, in the next round.

        :param deadline_ms: time limit by the monotonic clock.
        :raises RefusedError: the claim was not confirmed, so the request is not dispatched.
        """
        entry = self._entry(key)
        ended_not_run = _ended_not_run(entry)
        if entry is not None and not ended_not_run:
            return None
        claim_round = entry.claim.round + 1 if entry is not None else 1
        claim_id = new_id("c")
        claim = pb.Claim(key=key, claim_id=claim_id, instance=self._instance, round=claim_round)
        record = self._follower.make_record(claim=claim)
        try:
            await self._follower.append(record, deadline_ms - self._clock.now_ms())
        except LogUncertainError as error:
            # The claim may still reach the log, so a NOT_RUN outcome releases the request.
            self.record_outcome(claim, pb.NOT_RUN, "the claim was not confirmed in time")
            raise RefusedError("the log did not confirm the claim in time") from error
        except LogError as error:
            raise RefusedError("the log cannot be reached, so no claim can be made") from error
        entry = self._entry(key)
        if entry is None or entry.claim.claim_id != claim_id:
            return None
        return claim

    async def wait_outcome(self, key: str, deadline_ms: float) -> pb.ClaimOutcome | None:
        """Return the outcome of the current claim, or ``None`` if the deadline passes first."""
        while True:
            entry = self._entry(key)
            if entry is not None and entry.outcome is not None:
                return entry.outcome
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0 or not await self._follower.wait_change(remaining_ms):
                return None

    def record_outcome(
        self,
        claim: pb.Claim,
        outcome: pb.Outcome,
        reason: str = "",
        answer: bytes = b"",
        content_type: str = "",
    ) -> None:
        """Append the outcome of a claim in the background, retrying until the log confirms it.

        :param answer: runner's answer, omitted above `MAX_KEPT_ANSWER_BYTES`.
        """
        if len(answer) > MAX_KEPT_ANSWER_BYTES:
            reason, answer = "the answer was too large to be kept", b""
        record = self._follower.make_record(
            claim_outcome=pb.ClaimOutcome(
                key=claim.key,
                claim_id=claim.claim_id,
                outcome=outcome,
                reason=reason,
                answer=answer,
                content_type=content_type,
            )
        )
        self._tasks.start(self._append_until_confirmed(record), f"outcome {claim.key}")

    async def _append_until_confirmed(self, record: pb.LogRecord) -> None:
        self.unrecorded_outcomes += 1
        try:
            while True:
                try:
                    await self._follower.append(record, APPEND_TIMEOUT_MS)
                    return
                except LogError:
                    continue
        finally:
            self.unrecorded_outcomes -= 1

    def close_orphans(self, max_age_ms: int) -> None:
        """Record ``UNKNOWN`` for claims left without an outcome, as when their instance crashed.

        :param max_age_ms: age, in log time, after which a claim counts as orphaned.
        """
        state = self._follower.state
        for entry in list(state.claims_by_key.values()):
            if entry.outcome is None and state.log_ms - entry.claimed_ms > max_age_ms:
                self.record_outcome(
                    entry.claim, pb.UNKNOWN, "the instance that held the claim is gone"
                )


def _ended_not_run(entry: ClaimEntry | None) -> bool:
    return entry is not None and entry.outcome is not None and entry.outcome.outcome == pb.NOT_RUN
