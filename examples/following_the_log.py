"""Follow a log and publish a configuration, with a log that is kept in memory."""

import asyncio

from carawayroute.clock import Clock
from carawayroute.config import read_configuration
from carawayroute.log import LogFollower
from carawayroute.publish import publish
from carawayroute_schema import carawayroute_pb2 as pb


class MemoryLog:
    """A log in memory that never fails; it implements the `carawayroute.platform.Log` protocol."""

    def __init__(self) -> None:
        self._records: list[pb.OffsetRecord] = []

    async def append(self, data: bytes) -> int:
        """Append a record and return its offset."""
        offset = len(self._records)
        self._records.append(pb.OffsetRecord(offset=offset, data=data))
        return offset

    async def read(self, offset: int, wait_ms: int, limit: int) -> list[pb.OffsetRecord]:
        """Return up to `limit` records that start at an offset."""
        await asyncio.sleep(0.01)
        return self._records[offset : offset + limit]


async def main() -> None:
    """Publish a configuration and print it as read back from the log."""
    follower = LogFollower(
        MemoryLog(), Clock(), "me", retention_ms=60_000, ended_retention_ms=30_000
    )
    following = asyncio.create_task(follower.run())
    configuration = read_configuration({"teams": [{"id": "studio"}]})
    version = await publish(follower, configuration, 0, "me", timeout_ms=1_000)
    print(version, [team.id for team in follower.state.configuration.teams])
    following.cancel()


asyncio.run(main())
