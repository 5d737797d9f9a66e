"""Log lines to standard output that never wait for their reader."""

import os

# Lines that the reader has not taken yet are kept up to this size; then new ones are dropped.
MOST_KEPT_BYTES = 256 * 1024


class BoundedOutput:
    """Write to a descriptor without blocking; lines that do not fit are dropped and counted."""

    def __init__(self, descriptor: int, most_kept_bytes: int = MOST_KEPT_BYTES) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._most_kept_bytes = most_kept_bytes
        self._kept = bytearray()
        self.lines = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line, or keep it until the reader is ready."""
        data = text.encode()
        if len(self._kept) + len(data) > self._most_kept_bytes:
            self.dropped += 1
            self._write_kept()
            return
        self.lines += 1
        self._kept += data
        self._write_kept()

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._write_kept()

    def _write_kept(self) -> None:
        while self._kept:
            try:
                written = os.write(self._descriptor, self._kept)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; nobody is left to be told.
                self.dropped += 1
                self._kept.clear()
                return
            del self._kept[:written]
