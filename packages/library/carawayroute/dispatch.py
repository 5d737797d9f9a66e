"""Bringing quick requests to runners: queue, slot, attempt, retry."""

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
from carawayroute.health import HealthTracker
from carawayroute.limits import FairQueue, Path
from carawayroute.membership import Membership
from carawayroute.misc import new_id
from carawayroute.platform import Endpoints
from carawayroute.retries import RetryBudget
from carawayroute.routing import Router, Slot
from carawayroute.types import Answer
from carawayroute_schema import carawayroute_pb2 as pb

# An idempotent attempt that takes this many times its expected run time gets a second beside it.
SILENCE_FACTOR = 5
MIN_PATIENCE_MS = 500


class QuickRequest:
    """A request that a runner answers.

    :param deadline_ms: time of the loop's clock at which the caller stops waiting.
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
        """Return the request's place in the fair queue."""
        return (self.kind.id, self.team, self.caller)


class ConfigurationSource(Protocol):
    """Look up teams and kinds in the configuration in force."""

    def team(self, team_id: str) -> pb.Team | None:
        """Return a team."""

    def kind(self, kind_id: str) -> pb.Kind | None:
        """Return a kind."""


class _Ticket:
    """A request that waits for a slot."""

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

    :ivar attention: set when requests begin to wait here or at another entry.
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
        self.budget = RetryBudget(clock)
        self.queue: FairQueue[_Ticket] = FairQueue(self._weights)
        self.running = 0
        self.attention = asyncio.Event()

    def _weights(self, path: Path) -> tuple[float, float, float]:
        kind = self._configuration.kind(path[0])
        team = self._configuration.team(path[1])
        return (kind.weight if kind else 1, team.weight if team else 1, 1)

    def expected_ms(self, kind: pb.Kind) -> float:
        """Return the expected run time of a kind."""
        return self.run_times.expect_ms(kind.id, kind.expected_run_ms)

    async def run(self, request: QuickRequest) -> Answer:
        """Return the whole answer to a request.

        :raises RefusedError: the request certainly did not run.
        :raises EndpointUncertainError: it may have run.
        """
        self.budget.deposit()
        avoid: set[str] = set()
        uncertain: EndpointUncertainError | None = None
        while True:
            try:
                slot = await self._acquire(request, avoid)
                return await self._attempt_hedged(request, slot, avoid)
            except EndpointLeavingError:
                continue
            except EndpointNotReachedError as error:
                if not self.budget.try_withdraw():
                    refusal = RefusedError(f"no runner could be reached: {error}", 1000)
                    raise uncertain or refusal from None
            except RefusedError as error:
                raise uncertain or error from None
            except EndpointUncertainError as error:
                uncertain = error
                if not request.kind.idempotent or not self.budget.try_withdraw():
                    raise

    async def _attempt_hedged(self, request: QuickRequest, slot: Slot, avoid: set[str]) -> Answer:
        """Make an attempt; an idempotent one that stays silent for long gets a second beside it.

        The first attempt goes on, since the expected run time may be wrong.
        """
        avoid.add(slot.runner)
        first = asyncio.ensure_future(self._attempt(request, slot))
        attempts = {first}
        try:
            if request.kind.idempotent:
                await asyncio.wait(attempts, timeout=self._patience_ms(request.kind) / 1000)
                if not first.done():
                    attempts |= self._hedge(request, avoid)
            return await self._first_answer(attempts)
        finally:
            for attempt in attempts:
                attempt.cancel()

    def _patience_ms(self, kind: pb.Kind) -> float:
        return max(MIN_PATIENCE_MS, SILENCE_FACTOR * self.expected_ms(kind))

    def _hedge(self, request: QuickRequest, avoid: set[str]) -> set[asyncio.Task[Answer]]:
        """Start a second attempt if a slot is idle and the budget allows it."""
        slot = self.router.acquire(avoid | self._unusable())
        if slot is None:
            return set()
        if not self.budget.try_withdraw():
            self.router.release(slot)
            return set()
        avoid.add(slot.runner)
        return {asyncio.ensure_future(self._attempt(request, slot))}

    @staticmethod
    async def _first_answer(attempts: set[asyncio.Task[Answer]]) -> Answer:
        """Return the first whole answer, or raise the failure that says most.

        When one attempt may have run, the request may have, whatever the other one met.
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
        """Wait for a slot within the time that leaves room to run the request."""
        cost_ms = self.expected_ms(request.kind)
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            raise RefusedError("the deadline passed before the request could run")
        if not self.queue:
            slot = self.router.acquire(avoid | self._unusable())
            if slot is not None:
                return slot
        servers = max(1.0, float(self.running))
        self.queue.check(request.path, cost_ms, servers, remaining_ms)
        future: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        ticket = _Ticket(request, avoid, future, self._clock.now_ms())
        self.queue.push(request.path, ticket)
        self.attention.set()
        try:
            return await asyncio.wait_for(ticket.slot, remaining_ms / 1000)
        except TimeoutError:
            self.queue.remove(request.path, ticket)
            raise RefusedError("no slot became free within the caller's wait", 1000) from None
        except asyncio.CancelledError:
            self._give_up(ticket)
            raise

    def _give_up(self, ticket: _Ticket) -> None:
        """Take a ticket whose caller went away out of the queue, or hand its slot on."""
        self.queue.remove(ticket.request.path, ticket)
        slot = ticket.slot
        if slot.done() and not slot.cancelled() and slot.exception() is None:
            self.router.release(slot.result())
            self.pump()

    def _unusable(self) -> set[str]:
        return {
            runner.id
            for runner in self._membership.listed("runner")
            if self._membership.is_leaving(runner.id) or self.health.is_quarantined(runner.id)
        }

    def oldest_ms(self) -> float:
        """Return how long the first request of the queue has waited."""
        queued = min((ticket.queued_ms for ticket in self.queue.items()), default=None)
        return 0.0 if queued is None else self._clock.now_ms() - queued

    def pump(self) -> None:
        """Give idle slots to the requests that wait."""
        unusable = self._unusable() if self.queue else set()
        while self.queue:
            slot = self.router.acquire(unusable)
            if slot is None:
                return
            ticket = self._next_ticket()
            if ticket is None:
                self.router.release(slot)
                return
            ticket.slot.set_result(self._other_runner(slot, ticket, unusable))

    def _other_runner(self, slot: Slot, ticket: _Ticket, unusable: set[str]) -> Slot:
        """Swap the slot of a runner that failed this request for another one, if there is one."""
        if slot.runner not in ticket.avoid:
            return slot
        other = self.router.acquire(unusable | ticket.avoid)
        if other is None:
            return slot
        self.router.release(slot)
        return other

    def _next_ticket(self) -> _Ticket | None:
        """Return the next request that still has time to run."""
        while self.queue:
            ticket = self.queue.pop(lambda item: self.expected_ms(item.request.kind))
            if ticket is None or ticket.slot.done():
                continue
            request = ticket.request
            bound_ms = self.run_times.bound_ms(request.kind.id, request.kind.expected_run_ms)
            if self._clock.now_ms() + bound_ms > request.deadline_ms:
                # Started now, it would use a slot and still be answered too late.
                ticket.slot.set_exception(RefusedError("too little time was left to run", 1000))
                continue
            return ticket
        return None

    async def _attempt(self, request: QuickRequest, slot: Slot) -> Answer:
        """Send a request to the runner of a slot."""
        began_ms = self._clock.now_ms()
        timeout_ms = min(request.deadline_ms - began_ms, self._runner_timeout_ms)
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
            # Another attempt was answered first although this one began earlier.
            self.health.record_failure(slot.runner)
            raise
        finally:
            self.running -= 1
            self.router.release(slot)
            self.pump()
        self.health.record_success(slot.runner)
        self.run_times.observe(request.kind.id, self._clock.now_ms() - began_ms)
        return answer
