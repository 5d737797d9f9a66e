"""Builders of a data centre whose instances follow a topic through one reader."""

import random

from carawayroute.clock import Clock
from carawayroute.fleet.follower import TopicFollower
from carawayroute.fleet.shared_reader import ReaderChoice, SharedReader, SharedReadServer
from carawayroute.misc import TaskGroup
from carawayroute_schema import records_pb2 as pb
from carawayroute_standins.fleet.peers import InMemoryPeers
from carawayroute_standins.fleet.topics import TopicStore

TOPIC = "keyed.jobs"
READ_INTERVAL_MS = 400


def member(name: str, link_mbps: float = 100.0, data_centre: str = "a", **options) -> pb.Member:
    """Return the announcement of an instance, whose address is its name."""
    return pb.Member(
        instance=name, address=name, data_centre=data_centre, link_mbps=link_mbps, **options
    )


class SharingInstance:
    """An instance that follows the topic and serves its peers.

    :ivar values: values of the records applied, by offset.
    :ivar plans: whether the instance is the planner.
    :ivar asked: number of messages of peers that arrived.
    """

    def __init__(self, centre: "DataCentre", own: pb.Member) -> None:
        self.name = own.instance
        self.client = centre.store.client_for(self.name)
        self.asked = 0
        self.plans = False
        self.draining = False
        self.values: dict[int, bytes] = {}
        self.reader = SharedReader(
            self.client,
            InMemoryPeers(
                self.name,
                centre.clock,
                centre.store.network,
                centre.instances_by_name,
                centre.dead,
            ),
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

    async def serve_peer(self, message: bytes) -> bytes:
        """Return the answer to a message of a peer."""
        self.asked += 1
        answer = await self.server.serve(pb.StoreCall.FromString(message))
        return answer.SerializeToString()


class DataCentre:
    """Instances n1, n2 and so on, of which n1 ranks first, and the emulated store.

    :param record_bytes: size of the records' values.
    :ivar dead: instances without connections to their peers.
    """

    def __init__(self, instances: int = 3, record_bytes: int = 1) -> None:
        self.clock = Clock(wall_offset_ms=0.0)
        self.store = TopicStore(self.clock)
        self.dead: set[str] = set()
        self._value = bytes(record_bytes)
        self._tasks = TaskGroup()
        self.instances_by_name: dict[str, SharingInstance] = {}
        members = [member(f"n{number}") for number in range(1, instances + 1)]
        for own in members:
            self.instances_by_name[own.instance] = SharingInstance(self, own)
        for instance in self.instances_by_name.values():
            for one in members:
                instance.reader.choice.set_member(one)

    def planner_address(self) -> str:
        """Return the address of the instance that plans, empty if none does."""
        planning = [one.name for one in self.instances_by_name.values() if one.plans]
        return planning[0] if planning else ""

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
            end = self.store.put(TOPIC, f"k{random.random()}", self._value) + 1
        return end

    def reset_counts(self) -> None:
        """Set all counts of calls to zero."""
        for instance in self.instances_by_name.values():
            instance.asked = 0
            instance.client.reads = 0
            instance.reader.peer_reads = 0
            instance.reader.fallbacks_by_reason.clear()
