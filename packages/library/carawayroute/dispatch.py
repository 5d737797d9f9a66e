"""Dispatch of quick requests to runners: queueing, slot choice, hedged attempts and retries."""

import asyncio
from typing import Protocol

from carawayroute.clock import Clock
from carawayroute.estimates import RunTimeEstimator
from carawayroute.exceptions import (
    EndpointLeavingError,
    EndpointNotReachedError,
    EndpointUncertainError,
    RefusedError,
)
from carawayroute.fair_queue import FairQueue, Path
from carawayroute.health import HealthTracker
from carawayroute.membership import Membership
from carawayroute.misc import new_id
from carawayroute.platform import Endpoints
from carawayroute.retries import RetryBudget
from carawayroute.routing import Router, Slot
from carawayroute.types import Answer
from carawayroute_schema import carawayroute_pb2 as pb

# An idempotent attempt is hedged after this many times its expected run time.
HEDGE_DELAY_FACTOR = 5
MIN_HEDGE_DELAY_MS = 500


class QuickRequest:
    """A request that one runner answers.

    :param deadline_ms: time on the dispatcher's clock at which the caller stops waiting.
    """

    __slots__ = ("body", "caller", "deadline_ms", "kind", "request_id", "team")

    def __init__(
        self,
        team: str,
        caller: str,
        kind: pb.Kind,
        request_id: str,
        body: bytes,
        deadline_ms: float,
    ) -> None:
        self.team = team
        self.caller = caller
        self.kind = kind
        self.request_id = request_id
        self.body = body
        self.deadline_ms = deadline_ms

    @property
    def path(self) -> Path:
        """Return the request's keys in the fair queue: kind, team and caller."""
        return (self.kind.id, self.team, self.caller)


class ConfigurationSource(Protocol):
    """Look up teams and kinds in the configuration in force."""

    def team(self, team_id: str) -> pb.Team | None:
        """Return a team, or ``None`` if the configuration has none with this id."""

    def kind(self, kind_id: str) -> pb.Kind | None:
        """Return a kind, or ``None`` if the configuration has none with this id."""


class _QueuedRequest:
    """A request that waits for a slot.

    :param avoid: ids of runners on which earlier attempts of the request were made.
    :param slot: future that receives the slot or the refusal.
    :param queued_ms: time at which the request was queued.
    """

    __slots__ = ("avoid", "queued_ms", "request", "slot")

    def __init__(
        self,
        request: QuickRequest,
        avoid: set[str],
        slot: asyncio.Future[Slot],
        queued_ms: float,
    ) -> None:
        self.queued_ms = queued_ms
        self.request = request
        self.avoid = avoid
        self.slot = slot


class Dispatcher:
    """Queue requests fairly and run each on a runner's slot.

    :param runner_timeout_ms: longest time to wait for a runner's answer.
    :ivar demand_event: set when requests begin to queue at this entry or at another one.
    :ivar running: number of attempts in progress.
    """

    def __init__(
        self,
        clock: Clock,
        membership: Membership,
        router: Router,
        endpoints: Endpoints,
        configuration: ConfigurationSource,
        runner_timeout_ms: float,
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._endpoints = endpoints
        self._configuration = configuration
        self._runner_timeout_ms = runner_timeout_ms
        self.router = router
        self.health = HealthTracker(clock)
        self.run_times = RunTimeEstimator()
        self.retry_budget = RetryBudget(clock)
        self.queue: FairQueue[_QueuedRequest] = FairQueue(self._weights)
        self.running = 0
        self.demand_event = asyncio.Event()

    def _weights(self, path: Path) -> tuple[float, float, float]:
        kind = self._configuration.kind(path[0])
        team = self._configuration.team(path[1])
        return (kind.weight if kind else 1, team.weight if team else 1, 1)

    def expected_ms(self, kind: pb.Kind) -> float:
        """Return the expected run time of a kind, in ms."""
        return self.run_times.expect_ms(kind.id, kind.expected_run_ms)

    async def run(self, request: QuickRequest) -> Answer:
        """Run a request and return the complete answer.

        :raises RefusedError: the request certainly did not run.
        :raises EndpointUncertainError: the request may have run.
        """
        self.retry_budget.deposit()
        avoid: set[str] = set()
        uncertain: EndpointUncertainError | None = None
        while True:
            try:
                slot = await self._acquire(request, avoid)
                return await self._attempt_hedged(request, slot, avoid)
            except EndpointLeavingError:
                continue
            except EndpointNotReachedError as error:
                if not self.retry_budget.try_withdraw():
                    refusal = RefusedError(f"no runner could be reached: {error}", 1000)
                    raise uncertain or refusal from None
            except RefusedError as error:
                raise uncertain or error from None
            except EndpointUncertainError as error:
                uncertain = error
                if not request.kind.idempotent or not self.retry_budget.try_withdraw():
                    raise

    async def _attempt_hedged(self, request: QuickRequest, slot: Slot, avoid: set[str]) -> Answer:
        """Make an attempt and, if the request is idempotent and it takes too long, a second one.

        The first attempt continues, since the expected run time may be wrong.
        """
        avoid.add(slot.runner)
        first = asyncio.ensure_future(self._attempt(request, slot))
        attempts = {first}
        try:
            if request.kind.idempotent:
                await asyncio.wait(attempts, timeout=self._hedge_delay_ms(request.kind) / 1000)
                if not first.done():
                    attempts |= self._hedge(request, avoid)
            return await self._first_answer(attempts)
        finally:
            for attempt in attempts:
                attempt.cancel()

    def _hedge_delay_ms(self, kind: pb.Kind) -> float:
        return max(MIN_HEDGE_DELAY_MS, HEDGE_DELAY_FACTOR * self.expected_ms(kind))

    def _hedge(self, request: QuickRequest, avoid: set[str]) -> set[asyncio.Task[Answer]]:
        """Start a second attempt if a slot is idle and the retry budget allows it."""
        slot = self.router.acquire(avoid | self._unusable())
        if slot is None:
            return set()
        if not self.retry_budget.try_withdraw():
            self.router.release(slot)
            return set()
        avoid.add(slot.runner)
        return {asyncio.ensure_future(self._attempt(request, slot))}

    @staticmethod
    async def _first_answer(attempts: set[asyncio.Task[Answer]]) -> Answer:
        """Return the first complete answer, or raise an error once all attempts failed.

        An uncertain error takes precedence: if one attempt may have run, so may the request.
        """
        waiting = set(attempts)
        failures: list[Exception] = []
        while waiting:
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for attempt in done:
                error = attempt.exception()
                if error is None:
                    return attempt.result()
                failures.append(error)
        failures.sort(key=lambda error: isinstance(error, EndpointUncertainError))
        raise failures[-1]

    async def _acquire(self, request: QuickRequest, avoid: set[str]) -> Slot:
        """Return a slot, queueing the request until one is free or its deadline passes.

        :raises RefusedError: the deadline passed, or the queue is too long to meet it.
        """
        cost_ms = self.expected_ms(request.kind)
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            raise RefusedError("the deadline passed before the request could run")
        if not self.queue:
            slot = self.router.acquire(avoid | self._unusable())
            if slot is not None:
                return slot
        slots = max(1.0, float(self.running))
        self.queue.check(request.path, cost_ms, slots, remaining_ms)
        future: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        queued_request = _QueuedRequest(request, avoid, future, self._clock.now_ms())
        self.queue.push(request.path, queued_request)
        self.demand_event.set()
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                return await queued_request.slot
        except TimeoutError:
            self._abandon(queued_request)
            raise RefusedError("no slot became free within the caller's wait", 1000) from None
        except asyncio.CancelledError:
            self._abandon(queued_request)
            raise

    def _abandon(self, queued_request: _QueuedRequest) -> None:
        """Remove a request from the queue; pass on a slot that it already received."""
        self.queue.remove(queued_request.request.path, queued_request)
        slot = queued_request.slot
        if slot.done() and not slot.cancelled() and slot.exception() is None:
            self.router.release(slot.result())
            self.dispatch_queued()

    def _unusable(self) -> set[str]:
        return {
            runner.id
            for runner in self._membership.listed("runner")
            if self._membership.is_leaving(runner.id) or self.health.is_quarantined(runner.id)
        }

    def oldest_ms(self) -> float:
        """Return how long the oldest queued request has waited, in ms; 0 if none is queued."""
        queued = min(
            (queued_request.queued_ms for queued_request in self.queue.items()), default=None
        )
        return 0.0 if queued is None else self._clock.now_ms() - queued

    def dispatch_queued(self) -> None:
        """Assign idle slots to queued requests, in fair order."""
        unusable = self._unusable() if self.queue else set()
        while self.queue:
            slot = self.router.acquire(unusable)
            if slot is None:
                return
            queued_request = self._pop_runnable()
            if queued_request is None:
                self.router.release(slot)
                return
            queued_request.slot.set_result(self._swap_failed_runner(slot, queued_request, unusable))

    def _swap_failed_runner(
        self, slot: Slot, queued_request: _QueuedRequest, unusable: set[str]
    ) -> Slot:
        """Return a slot on a runner without an earlier attempt of this request, if one is idle."""
        if slot.runner not in queued_request.avoid:
            return slot
        other = self.router.acquire(unusable | queued_request.avoid)
        if other is None:
            return slot
        self.router.release(slot)
        return other

    def _pop_runnable(self) -> _QueuedRequest | None:
        """Remove and return the next request that has enough time left to run.

        Requests with too little time left are refused.
        """
        while self.queue:
            queued_request = self.queue.pop(lambda item: self.expected_ms(item.request.kind))
            if queued_request is None or queued_request.slot.done():
                continue
            request = queued_request.request
            bound_ms = self.run_times.bound_ms(request.kind.id, request.kind.expected_run_ms)
            if self._clock.now_ms() + bound_ms > request.deadline_ms:
                # The answer would come too late, so running it would only waste a slot.
                queued_request.slot.set_exception(
                    RefusedError("too little time was left to run", 1000)
                )
                continue
            return queued_request
        return None

    async def _attempt(self, request: QuickRequest, slot: Slot) -> Answer:
        """Send a request to the runner of a slot and release the slot afterwards."""
        started_ms = self._clock.now_ms()
        timeout_ms = min(request.deadline_ms - started_ms, self._runner_timeout_ms)
        runner = self._membership.by_id.get(slot.runner)
        self.running += 1
        try:
            if timeout_ms <= 0:
                raise RefusedError("the deadline passed before the request could run")
            if runner is None:
                raise EndpointNotReachedError("the runner is no longer listed")
            answer = await self._endpoints.run(
                runner, new_id("a"), request.kind.id, request.body, timeout_ms
            )
        except EndpointLeavingError:
            self._membership.observe_leaving(slot.runner)
            raise
        except (EndpointNotReachedError, EndpointUncertainError):
            self.health.record_failure(slot.runner)
            raise
        except asyncio.CancelledError:
            # Cancelled because another attempt was answered first, although this one began earlier.
            self.health.record_failure(slot.runner)
            raise
        finally:
            self.running -= 1
            self.router.release(slot)
            self.dispatch_queued()
        self.health.record_success(slot.runner)
        self.run_times.observe(request.kind.id, self._clock.now_ms() - started_ms)
        return answer
