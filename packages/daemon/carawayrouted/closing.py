"""The end of a stopping instance's servers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence

from aiohttp import web

from carawayrouted.exceptions import StoppingError

# Covers the steps from reading a request to its handler, and sending the last answers.
SETTLE_S = 0.2
CHECK_S = 0.05


class OpenRequests:
    """Requests in progress, which can be ended together."""

    __slots__ = ("_timeouts",)

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()

    def __len__(self) -> int:
        return len(self._timeouts)

    @contextlib.asynccontextmanager
    async def entered(self) -> AsyncIterator[None]:
        """Count a request as open.

        :raises StoppingError: the request was ended.
        """
        timeout = asyncio.timeout(None)
        self._timeouts.add(timeout)
        try:
            async with timeout:
                yield
        except TimeoutError as error:
            if timeout.expired():
                raise StoppingError("the instance is stopping") from error
            raise
        finally:
            self._timeouts.discard(timeout)

    def end(self) -> None:
        """End the requests in progress now."""
        now_s = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now_s)


async def close_servers(
    runners: Sequence[web.BaseRunner], open_requests: OpenRequests, wait_ms: float
) -> None:
    """Close servers and their connections, but let requests that were just read be answered.

    aiohttp closes idle connections at once, but waits up to a minute for the others, such as one
    on which a refused body is still expected.

    :param wait_ms: longest time until open requests are ended.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    deadline_s = began_s + wait_ms / 1000
    late = closing = {asyncio.create_task(runner.cleanup()) for runner in runners}
    while late and loop.time() < deadline_s:
        _, late = await asyncio.wait(late, timeout=CHECK_S)
        if not open_requests and loop.time() > began_s + SETTLE_S:
            break
    end_s = loop.time() + SETTLE_S
    while late and loop.time() < end_s:
        open_requests.end()
        _, late = await asyncio.wait(late, timeout=CHECK_S)
    for runner in runners:
        for connection in runner.server.connections if runner.server else ():
            connection.force_close()
    for task in late:
        task.cancel()
    await asyncio.gather(*closing, return_exceptions=True)
