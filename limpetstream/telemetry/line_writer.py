"""Log lines to a file descriptor, bounded in memory and never blocking."""

import collections
import os

MAX_BUFFERED_BYTES = 262_144  # Some seconds of lines at the busiest.
MAX_WRITE_BYTES = 32_768  # Half of a pipe, so that most writes succeed whole.


class NonBlockingLineWriter:
    """Stream that drops lines, and counts them, rather than wait.

    Args:
        descriptor: File descriptor; it is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0

    def write(self, text: str) -> None:
        """Buffer a line; drop it if the buffer is full."""
        line = text.encode()
        if self._size + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)

    def flush(self) -> None:
        """Do nothing: lines go out in groups, with ``drain``."""

    def drain(self) -> None:
        """Write as much as the descriptor takes without waiting."""
        while self._lines:
            chunk = bytearray()
            while self._lines and len(chunk) < MAX_WRITE_BYTES:
                chunk += self._lines.popleft()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            self._size -= written
            if written < len(chunk):
                self._lines.appendleft(bytes(chunk[written:]))
                return
