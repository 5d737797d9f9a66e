"""Builders of a data centre whose instances follow a topic through one reader."""

import asyncio
import random
from collections import Counter

from carawayroute.clock import Clock
from carawayroute.fleet.follower import TopicFollower
from carawayroute.fleet.ports import RecordPage
from carawayroute.fleet.relay import PeerError
from carawayroute.fleet.shared_reader import ReaderChoice, SharedReader, SharedReadServer
from carawayroute.misc import TaskGroup
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.fleet.topics import TopicStore

TOPIC = "keyed.jobs"
READ_INTERVAL_MS = 400
PEER_LATENCY_MS = 1


def member(name: str, link_mbps: float = 100.0, data_centre: str = "a", **options) -> pb.Member:
    """Return the announcement of an instance, whose address is its name."""
    return pb.Member(
        instance=name, address=name, data_centre=data_centre, link_mbps=link_mbps, **options
    )


class PagedClient:
    """A client of the emulated store that returns a limited number of records at once."""

    def __init__(self, store: TopicStore, instance: str, page_records: int) -> None:
        self._client = store.client_for(instance)
        self._page_records = page_records
        self.reads = 0

    async def read(self, topic: str, offset: int, wait_ms: int) -> RecordPage:
        """Return at most a page of records."""
        self.reads += 1
        found = await self._client.read(topic, offset, wait_ms)
        records = found.records[: self._page_records]
        return RecordPage(records, offset + len(records), found.end)

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key."""
        return await self._client.newest(topic)


class SharingInstance:
    """An instance that follows the topic and serves its peers.

    :ivar values: values of the records applied, by offset.
    :ivar plans: whether the instance is the planner.
    """

    def __init__(self, centre: "DataCentre", own: pb.Member, page_records: int) -> None:
        self.name = own.instance
        self.client = PagedClient(centre.store, self.name, page_records)
        self.plans = False
        self.draining = False
        self.values: dict[int, bytes] = {}
        self.reader = SharedReader(
            self.client,
            centre,
            centre.clock,
            ReaderChoice(own, centre.clock),
            lambda: self.plans,
            centre.planner_address,
        )
        self.follower = TopicFollower(
            self.reader, centre.clock, TOPIC, self._apply, read_interval_ms=READ_INTERVAL_MS
        )
        self.server = SharedReadServer(
            self.reader, self.follower, centre.clock, lambda: self.draining
        )

    def _apply(self, record) -> None:
        self.values[record.offset] = record.value


class DataCentre:
    """Instances n1, n2 and so on, of which n1 ranks first, and the emulated store.

    :ivar dead: instances that do not answer their peers.
    """

    def __init__(self, instances: int = 3, page_records: int = 50) -> None:
        self.clock = Clock(wall_offset_ms=0.0)
        self.store = TopicStore(self.clock)
        self.dead: set[str] = set()
        self.asked = Counter()
        self._tasks = TaskGroup()
        members = [member(f"n{number}") for number in range(1, instances + 1)]
        self.instances_by_name = {
            own.instance: SharingInstance(self, own, page_records) for own in members
        }
        for instance in self.instances_by_name.values():
            for one in members:
                instance.reader.choice.set_member(one)

    def planner_address(self) -> str:
        """Return the address of the instance that plans, empty if none does."""
        planning = [one.name for one in self.instances_by_name.values() if one.plans]
        return planning[0] if planning else ""

    async def ask(self, address: str, message: bytes, timeout_ms: float) -> bytes:
        """Send a message to an instance and return its reply.

        :raises PeerError: the instance does not answer in time.
        """
        self.asked[address] += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self.clock.sleep_ms(PEER_LATENCY_MS)
                if address in self.dead:
                    await asyncio.Event().wait()
                call = pb.StoreCall.FromString(message)
                answer = await self.instances_by_name[address].server.serve(call)
                return answer.SerializeToString()
        except TimeoutError as error:
            raise PeerError(address) from error

    def start(self) -> None:
        """Start following the topic on all instances."""
        for instance in self.instances_by_name.values():
            self._tasks.start(instance.follower.run(), instance.name)

    async def close(self) -> None:
        """Stop all instances."""
        await self._tasks.cancel()

    def append(self, number: int = 1) -> int:
        """Append records, each with a key of its own, and return the end of the topic."""
        end = 0
        for _ in range(number):
            end = self.store.put(TOPIC, f"k{random.random()}", b"v") + 1
        return end

    def reset_counts(self) -> None:
        """Set all counts of calls to zero."""
        self.asked.clear()
        for instance in self.instances_by_name.values():
            instance.client.reads = 0
            instance.reader.peer_reads = 0
            instance.reader.fallbacks_by_reason.clear()
