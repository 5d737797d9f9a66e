"""Processing of quick requests, under a claim if they are not idempotent."""

from carawayroute.claims import ClaimService
from carawayroute.dispatch import Dispatcher, QuickRequest
from carawayroute.exceptions import EndpointUncertainError, RefusedError
from carawayroute.types import Answer, request_key
from carawayroute_schema import carawayroute_pb2 as pb


class QuickResult:
    """Result of a quick request for its caller.

    :param answer: the runner's answer, if the outcome is ``DONE``.
    :param retry_after_ms: suggested delay before a retry; 0 for no suggestion.
    """

    __slots__ = ("answer", "outcome", "reason", "retry_after_ms")

    def __init__(
        self,
        outcome: pb.Outcome,
        reason: str = "",
        answer: Answer | None = None,
        retry_after_ms: int = 0,
    ) -> None:
        self.outcome = outcome
        self.reason = reason
        self.answer = answer
        self.retry_after_ms = retry_after_ms


class QuickService:
    """Run quick requests; those that are not idempotent need a claim first."""

    def __init__(self, dispatcher: Dispatcher, claims: ClaimService) -> None:
        self._dispatcher = dispatcher
        self._claims = claims

    async def handle(self, request: QuickRequest) -> QuickResult:
        """Run a request; the outcome is ``DONE``, ``NOT_RUN`` or ``UNKNOWN``."""
        if request.kind.idempotent:
            return await self._run(request)
        return await self._run_claimed(request)

    async def _run(self, request: QuickRequest) -> QuickResult:
        try:
            answer = await self._dispatcher.run(request)
        except RefusedError as error:
            return QuickResult(pb.NOT_RUN, error.reason, retry_after_ms=error.retry_after_ms)
        except EndpointUncertainError as error:
            return QuickResult(pb.UNKNOWN, str(error))
        return QuickResult(pb.DONE, answer=answer)

    async def _run_claimed(self, request: QuickRequest) -> QuickResult:
        key = request_key(request.team, request.request_id)
        try:
            claim = await self._claims.acquire(key, request.deadline_ms)
        except RefusedError as error:
            return QuickResult(pb.NOT_RUN, error.reason, retry_after_ms=1000)
        if claim is None:
            return await self._outcome_of_earlier_claim(key, request.deadline_ms)
        try:
            result = await self._run(request)
        except BaseException:
            # Cancelled by a disconnect or shutdown; the request may still be running.
            self._claims.record_outcome(
                claim, pb.UNKNOWN, "the entry stopped waiting for the answer"
            )
            raise
        answer = result.answer
        if answer is not None:
            self._claims.record_outcome(claim, pb.DONE, "", answer.body, answer.content_type)
        else:
            self._claims.record_outcome(claim, result.outcome, result.reason)
        return result

    async def _outcome_of_earlier_claim(self, key: str, deadline_ms: float) -> QuickResult:
        """Wait for the outcome of the request under an earlier claim and return it."""
        outcome = await self._claims.wait_outcome(key, deadline_ms)
        if outcome is None:
            return QuickResult(pb.UNKNOWN, "an earlier request with this id has not ended")
        if outcome.outcome == pb.DONE and not outcome.reason:
            answer = Answer(200, outcome.answer, outcome.content_type)
            return QuickResult(pb.DONE, answer=answer)
        return QuickResult(outcome.outcome, outcome.reason)
