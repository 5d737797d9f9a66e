"""Log lines to standard output that never wait for their reader."""

import os
import time

# Lines that the reader has not taken yet are kept up to this size; then new ones are dropped.
MOST_KEPT_BYTES = 256 * 1024
# Lines of the level info that are written in a second, and what quiet seconds add to that; a
# take-over of some hundred runs writes about a thousand.
LINES_PER_SECOND = 400
MOST_SAVED_LINES = 1_200
INFO_MARK = '"level": "info"'


class BoundedOutput:
    """Write to a descriptor without blocking, at a bounded rate.

    Lines that do not fit are dropped and counted; under load those of the level info go first.
    """

    def __init__(self, descriptor: int, most_kept_bytes: int = MOST_KEPT_BYTES) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._most_kept_bytes = most_kept_bytes
        self._kept = bytearray()
        self._allowed = float(MOST_SAVED_LINES)
        self._allowed_s = time.monotonic()
        self.lines = 0
        self.dropped = 0

    def _too_many(self) -> bool:
        """Return whether the lines of this second are used up."""
        now_s = time.monotonic()
        earned = (now_s - self._allowed_s) * LINES_PER_SECOND
        self._allowed = min(MOST_SAVED_LINES, self._allowed + earned)
        self._allowed_s = now_s
        if self._allowed < 1:
            return True
        self._allowed -= 1
        return False

    def write(self, text: str) -> None:
        """Write a line, or keep it until the reader is ready."""
        if INFO_MARK in text and self._too_many():
            self.dropped += 1
            return
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
