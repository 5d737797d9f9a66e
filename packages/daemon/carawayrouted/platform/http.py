"""HTTP calls to the platform over pooled connections, each closed when an answer times out."""

import asyncio
import errno
from collections.abc import Callable

import aiohttp

# Exceptions that aiohttp and sockets raise during a call.
TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)
# Connecting to another region takes about 20 ms, or several hundred ms over a saturated link.
CONNECT_TIMEOUT_MS = 500
KEEPALIVE_S = 30.0
# Above all that the platform sends: a page of the newest records has 1 MB, encoded in base64.
MAX_ANSWER_BYTES = 4_000_000


class Reply:
    """A complete HTTP answer."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


class RequestNotSentError(Exception):
    """Connecting failed, so the request was not sent."""


class NotListeningError(RequestNotSentError):
    """The host refused the connection: no process listens at the address."""


class HttpPool:
    """Keep-alive connections to the platform's servers.

    :param per_host: maximum number of connections to one host and port.
    """

    def __init__(self, per_host: int = 32) -> None:
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=per_host, keepalive_timeout=KEEPALIVE_S
        )
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar()
        )

    async def call(
        self,
        method: str,
        url: str,
        timeout_ms: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        read_timeout_ms: float | None = None,
        on_received: Callable[[int], None] | None = None,
    ) -> Reply:
        """Make a call and return its complete answer.

        A connection on which the answer times out is closed.

        :param timeout_ms: limit for the whole call.
        :param read_timeout_ms: longest time without received data.
        :param on_received: called at the end with the number of bytes of the body that arrived,
            also if the body is incomplete; not called if no answer began.
        :raises NotListeningError: the connection was refused; nothing was sent.
        :raises RequestNotSentError: connecting failed otherwise; nothing was sent.
        :raises TimeoutError: no complete answer came in time, the connection broke, or the answer
            has more than ``MAX_ANSWER_BYTES``.
        """
        # Its limit for the whole call would drop a cancellation that arrives as it expires.
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=min(timeout_ms, CONNECT_TIMEOUT_MS) / 1000,
            sock_read=read_timeout_ms / 1000 if read_timeout_ms else None,
        )
        try:
            async with (
                asyncio.timeout(timeout_ms / 1000),
                self._session.request(
                    method, url, data=body, headers=headers, timeout=timeout
                ) as response,
            ):
                try:
                    return Reply(response.status, await _read_limited(response))
                finally:
                    if on_received is not None:
                        on_received(response.content.total_bytes)
        except aiohttp.ClientConnectorError as error:
            if error.errno == errno.ECONNREFUSED:
                raise NotListeningError(str(error)) from error
            raise RequestNotSentError(str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise RequestNotSentError(str(error)) from error
        except TRANSPORT_ERRORS as error:
            raise TimeoutError(f"{type(error).__name__}: {error}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
        await asyncio.sleep(0)


async def _read_limited(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of an answer.

    :raises TimeoutError: it has more than ``MAX_ANSWER_BYTES``.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body.extend(chunk)
        if len(body) > MAX_ANSWER_BYTES:
            raise TimeoutError(f"the answer has more than {MAX_ANSWER_BYTES} bytes")
    return bytes(body)
