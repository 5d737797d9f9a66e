"""Calls to the platform over connections that are replaced when they go silent."""

import asyncio
import errno

import aiohttp

# Every failure that aiohttp and the socket can give while a call is under way.
TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)
# A connection is made in some 20 ms between regions; a full link makes it several hundred.
CONNECT_TIMEOUT_MS = 500
KEEPALIVE_S = 30.0


class Reply:
    """A whole answer."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


class RequestNotSentError(Exception):
    """The connection was not made, so that nothing was sent."""


class NotListeningError(RequestNotSentError):
    """The machine is there and no process listens at the address."""


class HttpPool:
    """Connections to the platform's servers, kept for the next call."""

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
    ) -> Reply:
        """Make a call and return its whole answer.

        A connection on which an answer does not come in time is closed by the client library.

        :param read_timeout_ms: time without a byte after which a long answer is given up.

        :raises NotListeningError: the connection was refused; nothing was sent.
        :raises RequestNotSentError: nothing was sent.
        :raises TimeoutError: no answer came in time.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_ms / 1000,
            sock_connect=min(timeout_ms, CONNECT_TIMEOUT_MS) / 1000,
            sock_read=read_timeout_ms / 1000 if read_timeout_ms else None,
        )
        try:
            async with self._session.request(
                method, url, data=body, headers=headers, timeout=timeout
            ) as response:
                return Reply(response.status, await response.read())
        except aiohttp.ClientConnectorError as error:
            if error.errno == errno.ECONNREFUSED:
                raise NotListeningError(str(error)) from error
            raise RequestNotSentError(str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise RequestNotSentError(str(error)) from error
        except TRANSPORT_ERRORS as error:
            raise TimeoutError(f"{type(error).__name__}: {error}") from error

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()
        await asyncio.sleep(0)
