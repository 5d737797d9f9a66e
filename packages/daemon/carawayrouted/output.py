"""Log lines to standard output that never wait for their reader."""

import os
import time

# Lines that the reader has not taken yet are kept up to this size; then new ones are dropped.
MAX_BUFFERED_BYTES = 256 * 1024
# Lines of the level info that are written in a second, and what quiet seconds add to that; a
# take-over of some hundred runs writes about a thousand.
INFO_LINES_PER_SECOND = 400
MAX_INFO_BURST_LINES = 1_200
INFO_FIELD = '"level": "info"'


class BoundedOutput:
    """Write to a descriptor without blocking, at a bounded rate.

    Lines that do not fit are dropped and counted; under load those of the level info go first.
    """

    def __init__(self, descriptor: int, max_buffered_bytes: int = MAX_BUFFERED_BYTES) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_buffered_bytes = max_buffered_bytes
        self._buffer = bytearray()
        self._tokens = float(MAX_INFO_BURST_LINES)
        self._refilled_s = time.monotonic()
        self.lines = 0
        self.dropped = 0

    def _exceeds_rate(self) -> bool:
        """Return whether the lines of this second are used up."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * INFO_LINES_PER_SECOND
        self._tokens = min(MAX_INFO_BURST_LINES, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1:
            return True
        self._tokens -= 1
        return False

    def write(self, text: str) -> None:
        """Write a line, or keep it until the reader is ready."""
        if INFO_FIELD in text and self._exceeds_rate():
            self.dropped += 1
            return
        data = text.encode()
        if len(self._buffer) + len(data) > self._max_buffered_bytes:
            self.dropped += 1
            self._write_buffer()
            return
        self.lines += 1
        self._buffer += data
        self._write_buffer()

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._write_buffer()

    def _write_buffer(self) -> None:
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; nobody is left to be told.
                self.dropped += 1
                self._buffer.clear()
                return
            del self._buffer[:written]
