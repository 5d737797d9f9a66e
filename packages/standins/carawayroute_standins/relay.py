"""A TCP relay that injects faults: delays, stalls, resets and one-way blocking."""

import asyncio

CHUNK_BYTES = 65_536
HOLD_POLL_S = 0.02


class Relay:
    """Forwards connections to an address.

    Connections that are open when `silence` is called stay open but forward nothing from then on,
    in either direction; later connections work.

    :ivar forwarded_bytes: bytes forwarded in both directions.
    :ivar delay_ms: delay of every chunk, in each direction.
    :ivar hold_to_target: chunks to the target are held back until this is false again.
    :ivar hold_from_target: the same for chunks from the target.
    :ivar refusing: new connections are aborted at once.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._streams: list[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = []
        self.address = ""
        self.forwarded_bytes = 0
        self.delay_ms = 0.0
        self.hold_to_target = False
        self.hold_from_target = False
        self.refusing = False

    def heal(self) -> None:
        """Remove delays, holds and refusals."""
        self.delay_ms = 0.0
        self.hold_to_target = self.hold_from_target = self.refusing = False

    def reset(self) -> None:
        """Reset every open connection."""
        for pair in self._streams:
            for writer in pair:
                writer.transport.abort()
        self._streams.clear()

    async def start(self) -> None:
        """Listen on a free port and set `address`, or on the same port as before."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def close_port(self) -> None:
        """Reset every open connection and refuse new ones until `start`."""
        self._server.close()
        self.reset()

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for pair in self._streams:
            for writer in pair:
                writer.close()

    def silence(self) -> None:
        """Stop forwarding on every open connection without closing it."""
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.partition(":")
        if self.refusing:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            # Abort, so that the client sees that nothing listens at the target.
            writer.transport.abort()
            return
        for source, sink, to_target in (
            (reader, target_writer, True),
            (target_reader, writer, False),
        ):
            task = asyncio.ensure_future(self._pipe(source, sink, to_target))
            self._tasks.add(task)
        # Keeps a reference to the streams, so that a stalled connection is not closed.
        self._streams.append((writer, target_writer))

    async def _pipe(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, to_target: bool
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                while self.hold_to_target if to_target else self.hold_from_target:
                    await asyncio.sleep(HOLD_POLL_S)
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / 1000)
                self.forwarded_bytes += len(data)
                sink.write(data)
                await sink.drain()
        except ConnectionError:
            # One side has disconnected; closing the sink notifies the other.
            pass
        sink.close()
