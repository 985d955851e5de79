"""Collects the body of a request as it is received."""

PART_BYTES = 4096


class BodyParts:
    """Body that is received in pieces of any size.

    It is kept in parts of one size. They reuse each other's memory, which
    buffers that grow side by side would scatter; and tiny pieces are not kept
    as objects of their own.
    """

    __slots__ = ("_last_part", "_parts", "size")

    def __init__(self) -> None:
        self.size = 0
        self._parts: list[bytes] = []
        self._last_part = bytearray()

    def append(self, piece: bytes) -> None:
        """Add the next piece."""
        self.size += len(piece)
        self._last_part += piece
        if len(self._last_part) >= PART_BYTES:
            self._parts.append(bytes(self._last_part))
            self._last_part.clear()

    def take(self) -> bytes:
        """Return the whole body, and forget it."""
        body = b"".join([*self._parts, self._last_part])
        self.clear()
        return body

    def clear(self) -> None:
        """Forget what was received."""
        self.size = 0
        self._parts.clear()
        self._last_part.clear()
