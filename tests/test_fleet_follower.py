"""Tests of reads of a topic that callers share."""

import asyncio

from carawayroute.clock import Clock
from carawayroute.fleet.follower import TopicFollower
from carawayroute.fleet.ports import RecordPage
from carawayroute_standins.virtual import run_virtual


class ScriptedReads:
    """A store whose reads a function answers."""

    def __init__(self, read):
        self.read = read


def follower_of(read):
    """Return a follower of a topic whose reads a function answers."""
    return TopicFollower(ScriptedReads(read), Clock(0.0), "keyed.jobs", lambda record: None)


def test_call_right_after_a_shared_read_ended_starts_another():
    """The ended read was sent before the call, so it does not tell the end after it."""

    async def run():
        ended = asyncio.Event()
        reads = checks = 0

        async def read(topic, offset, wait_ms):
            nonlocal reads
            await asyncio.sleep(0.001)
            reads += 1
            # Wakes `late` after the read has returned and before its callbacks have run.
            ended.set()
            return RecordPage([], 0, 0)

        def is_spinning():
            nonlocal checks
            checks += 1
            return checks > 20

        async def late():
            await ended.wait()
            await follower.read_to_end(is_spinning)

        follower = follower_of(read)
        await asyncio.gather(follower.read_to_end(), late())
        assert (reads, checks) == (2, 1)

    run_virtual(run())


def test_page_with_an_older_end_does_not_end_read_to_end():
    async def run():
        ages_ms = [0, 40, 40, 0]

        async def read(topic, offset, wait_ms):
            await asyncio.sleep(0.001)
            return RecordPage([], 0, 0, ages_ms.pop(0))

        follower = follower_of(read)
        await follower.read_to_end()
        assert len(ages_ms) == 3
        await follower.read_to_end()
        assert ages_ms == []

    run_virtual(run())
