"""A TCP relay that can make open connections go silent while new ones work."""

import asyncio

CHUNK_BYTES = 65_536


class Relay:
    """Forward connections to an address.

    Connections that are open when `silence` is called carry nothing any more, in either direction,
    and are not closed; connections made later work.

    :ivar carried_bytes: payload carried in both directions.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._streams: list[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = []
        self.address = ""
        self.carried_bytes = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close everything."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for pair in self._streams:
            for writer in pair:
                writer.close()

    def silence(self) -> None:
        """Let every open connection go silent for good."""
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.partition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.ensure_future(self._pipe(source, sink))
            self._tasks.add(task)
        # The streams stay referenced, so that a silent connection stays open.
        self._streams.append((writer, far_writer))

    async def _pipe(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        while data := await source.read(CHUNK_BYTES):
            self.carried_bytes += len(data)
            sink.write(data)
            await sink.drain()
        sink.close()
