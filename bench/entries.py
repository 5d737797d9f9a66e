"""Simulated entries, which use the real dispatcher and gossip, with fake runners.

Time is virtual. The benchmarks of routing and of floods run on these entries.
"""

import asyncio
import random
from collections.abc import Callable

from carawayroute.clock import Clock
from carawayroute.dispatch import Dispatcher, QuickRequest
from carawayroute.exceptions import EndpointUncertainError, RefusedError
from carawayroute.gossip import Gossip
from carawayroute.log import LogFollower
from carawayroute.membership import Membership
from carawayroute.pacing import Pacer
from carawayroute.routing import Router, SlotLeaseRouter
from carawayroute.terms import LeaderElection
from carawayroute.types import Answer, Instance
from carawayroute_schema import carawayroute_pb2 as pb

GOSSIP_MS = 1_000.0
URGENT_PER_SECOND = 10.0
LOCAL_LATENCY_MS = 1.0
SLOTS = 8

RouterFactory = Callable[[Clock, str], Router]


class FakeRunner:
    """A runner with a number of slots; further requests queue first in, first out."""

    def __init__(self, slots: int, speed: float = 1.0) -> None:
        self.slots = asyncio.Semaphore(slots)
        self.speed = speed
        self.fails = False


class FakeRunners:
    """The runners as the dispatcher calls them.

    The body of a request is its run time in ms as text, and the body of an answer the start of the
    run in ms.
    """

    def __init__(self, clock: Clock, count: int) -> None:
        self._clock = clock
        self.runner_by_id = {f"runner-{index}": FakeRunner(SLOTS) for index in range(count)}
        self.busy_ms = 0.0
        self.started = 0

    async def run(
        self, runner: Instance, attempt_id: str, kind: str, body: bytes, timeout_ms: float
    ) -> Answer:
        """Run one request.

        :raises EndpointUncertainError: if the runner fails or does not answer in time.
        """
        try:
            return await asyncio.wait_for(self._run(runner.id, float(body)), timeout_ms / 1000)
        except TimeoutError:
            raise EndpointUncertainError("no answer in time") from None

    async def _run(self, name: str, run_ms: float) -> Answer:
        runner = self.runner_by_id[name]
        await self._clock.sleep_ms(LOCAL_LATENCY_MS)
        async with runner.slots:
            started_ms = self._clock.now_ms()
            self.started += 1
            if runner.fails:
                raise EndpointUncertainError("failed")
            await self._clock.sleep_ms(run_ms / runner.speed)
            self.busy_ms += run_ms
        await self._clock.sleep_ms(LOCAL_LATENCY_MS)
        return Answer(200, str(started_ms).encode(), "text/plain")


class UnusedLog:
    """A log for followers that never run."""


class StaticConfiguration:
    """A fixed set of teams and kinds, with the lookups that the dispatcher needs."""

    def __init__(self, kinds: list[pb.Kind], teams: list[pb.Team]) -> None:
        self._kinds = {kind.id: kind for kind in kinds}
        self._teams = {team.id: team for team in teams}

    def kind(self, kind_id: str) -> pb.Kind | None:
        """Return a kind, or None if the id is unknown."""
        return self._kinds.get(kind_id)

    def team(self, team_id: str) -> pb.Team | None:
        """Return a team, or None if the id is unknown."""
        return self._teams.get(team_id)


class RequestRecord:
    """One request of a benchmark with its times and outcome."""

    __slots__ = ("arrived_ms", "caller", "ended_ms", "kind", "outcome", "run_ms", "started_ms")

    def __init__(self, kind: str, caller: str, run_ms: float, arrived_ms: float) -> None:
        self.kind = kind
        self.caller = caller
        self.run_ms = run_ms
        self.arrived_ms = arrived_ms
        self.started_ms = 0.0
        self.ended_ms = 0.0
        self.outcome = "open"

    @property
    def wait_ms(self) -> float:
        """Return the time from the arrival of the request to the start of its run."""
        return self.started_ms - self.arrived_ms


class EntryFleet:
    """Entries that share runners and exchange gossip messages."""

    def __init__(
        self,
        make_router: RouterFactory,
        entries: int,
        runners: int,
        kinds: list[pb.Kind],
        teams: list[pb.Team] | None = None,
    ) -> None:
        self.clock = Clock(0.0)
        self.runners = FakeRunners(self.clock, runners)
        self.requests: list[RequestRecord] = []
        self.messages = 0
        self.message_bytes = 0
        self.disconnected: set[str] = set()
        names = [f"entry-{index}" for index in range(entries)]
        configured = StaticConfiguration(kinds, teams or [])
        listed = [
            Instance(name, "runner", "south", name, capacity=SLOTS)
            for name in self.runners.runner_by_id
        ]
        self.dispatchers: dict[str, Dispatcher] = {}
        self.gossips: dict[str, Gossip] = {}
        self.pacers: dict[str, Pacer] = {}
        for name in names:
            membership = Membership(self.clock)
            membership.update(listed)
            router = make_router(self.clock, name)
            router.update(listed, names)
            self.dispatchers[name] = Dispatcher(
                self.clock, membership, router, self.runners, configured, 600_000.0
            )
            self._add_gossip(name, membership)
        self._tasks = [
            asyncio.ensure_future(self.pacers[name].run())
            for name in names
            if isinstance(self.dispatchers[name].router, SlotLeaseRouter)
        ]
        self._tasks += [
            asyncio.ensure_future(self._gossip_with(name, peer))
            for name in names
            for peer in names
            if peer != name
        ]

    def _add_gossip(self, name: str, membership: Membership) -> None:
        dispatcher = self.dispatchers[name]
        router = dispatcher.router
        follower = LogFollower(UnusedLog(), self.clock, name, 600_000, 300_000)
        watch = LeaderElection(self.clock, name, "south", 4_000)
        self.gossips[name] = Gossip(
            name, "south", follower, membership, watch, dispatcher, router, list
        )
        self.pacers[name] = Pacer(
            self.clock, dispatcher, router, GOSSIP_MS, GOSSIP_MS, URGENT_PER_SECOND
        )

    async def _gossip_with(self, name: str, peer: str) -> None:
        """Exchange messages with another entry whenever the pacer allows it."""
        await self.clock.sleep_ms(random.uniform(0, GOSSIP_MS))
        while True:
            if not {name, peer} & self.disconnected:
                await self._exchange(name, peer)
            await self.pacers[name].wait_to_send(peer, same_region=True)

    async def _exchange(self, name: str, peer: str) -> None:
        own = self.dispatchers[name]
        self.messages += 1
        if not isinstance(own.router, SlotLeaseRouter):
            await self.clock.sleep_ms(LOCAL_LATENCY_MS)
            own.router.observe_shared(self._load_of_others(own))
            return
        gossip, peer_gossip = self.gossips[name], self.gossips[peer]
        request = gossip.make_request(peer, True)
        await self.clock.sleep_ms(LOCAL_LATENCY_MS)
        reply = peer_gossip.handle_request(request)
        self.message_bytes += request.ByteSize() + reply.ByteSize()
        await self.clock.sleep_ms(LOCAL_LATENCY_MS)
        gossip.handle_reply(reply)

    def _load_of_others(self, own: Dispatcher) -> dict[str, int]:
        """Return the number of requests that the other entries have in flight on each runner."""
        shared: dict[str, int] = {}
        for dispatcher in self.dispatchers.values():
            if dispatcher is own:
                continue
            for runner in self.runners.runner_by_id:
                in_flight = dispatcher.router.in_flight(runner)
                shared[runner] = shared.get(runner, 0) + in_flight
        return shared

    def send(
        self, entry: str, kind: pb.Kind, team: str, caller: str, run_ms: float, wait_ms: float
    ) -> RequestRecord:
        """Send a request and record its outcome in the background."""
        record = RequestRecord(kind.id, caller, run_ms, self.clock.now_ms())
        self.requests.append(record)
        request = QuickRequest(
            team, caller, kind, "", str(run_ms).encode(), record.arrived_ms + wait_ms
        )
        self._tasks.append(asyncio.ensure_future(self._await_outcome(entry, request, record)))
        return record

    async def _await_outcome(
        self, entry: str, request: QuickRequest, record: RequestRecord
    ) -> None:
        try:
            answer = await self.dispatchers[entry].run(request)
        except RefusedError:
            record.outcome = "refused"
        except EndpointUncertainError:
            record.outcome = "unknown"
        else:
            record.outcome = "done"
            record.started_ms = float(answer.body)
        record.ended_ms = self.clock.now_ms()

    def stop(self) -> None:
        """Cancel the tasks that still run."""
        for task in self._tasks:
            task.cancel()


def quick_kind(name: str, expected_ms: int, urgency: int = pb.ORDINARY, weight: int = 1) -> pb.Kind:
    """Return an idempotent kind with the service QUICK."""
    return pb.Kind(
        id=name, urgency=urgency, idempotent=True, weight=weight, expected_run_ms=expected_ms
    )
