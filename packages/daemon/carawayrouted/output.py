"""Non-blocking, rate-limited output of log lines."""

import os
import time

# Unread output is buffered up to this size; further lines are dropped.
MAX_BUFFERED_BYTES = 256 * 1024
# Token bucket for lines of the level info. The burst covers a planner's takeover of some hundred
# runs, which writes about a thousand lines.
INFO_LINES_PER_SECOND = 400
MAX_INFO_BURST_LINES = 1_200
INFO_FIELD = '"level": "info"'


class BoundedOutput:
    """Write lines to a file descriptor without blocking, with a rate limit for the level info.

    Lines that exceed the buffer or the rate are dropped and counted. Only info lines count against
    the rate, so that warnings and errors are kept under load.

    :param max_buffered_bytes: unread output beyond which lines are dropped.
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
        """Take a token from the bucket and return whether there was none."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * INFO_LINES_PER_SECOND
        self._tokens = min(MAX_INFO_BURST_LINES, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1:
            return True
        self._tokens -= 1
        return False

    def write(self, text: str) -> None:
        """Write a line, or buffer it until the reader is ready."""
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
        """Write as much of the buffer as the reader accepts."""
        self._write_buffer()

    def _write_buffer(self) -> None:
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the failure cannot be logged either.
                self.dropped += 1
                self._buffer.clear()
                return
            del self._buffer[:written]
