"""Writes log lines to a file descriptor without blocking.

The buffer in memory is bounded; lines that do not fit are dropped and counted.
"""

import collections
import os

MAX_BUFFERED_BYTES = 262_144  # A few seconds of log lines at the highest load.
MAX_WRITE_BYTES = 32_768  # Half a pipe buffer: most writes are complete.


class NonBlockingLineWriter:
    """Text stream that drops and counts lines instead of blocking.

    Args:
        descriptor: File descriptor to write to; it is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0

    def write(self, text: str) -> None:
        """Add a line to the buffer; drop the line if the buffer is full."""
        line = text.encode()
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> None:
        """Do nothing; ``drain`` writes the buffered lines."""

    def drain(self) -> None:
        """Write buffered lines until the descriptor would block.

        If it can no longer be written, as when the reader of a pipe has ended,
        the lines are dropped and counted.
        """
        while self._lines:
            chunk = bytearray()
            while self._lines and len(chunk) < MAX_WRITE_BYTES:
                chunk += self._lines.popleft()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                self.dropped += chunk.count(b"\n") + len(self._lines)
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(chunk):
                self._lines.appendleft(bytes(chunk[written:]))
                return
