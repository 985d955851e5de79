"""Bounds the memory of requests that are being received or answered."""

# Larger requests leave a part of the memory to smaller ones.
SMALL_REQUEST_BYTES = 16_384
SMALL_REQUEST_SHARE = 0.25


class Holder:
    """Request that holds memory; servers derive theirs from it.

    Attributes:
        held_bytes: Bytes that are counted for the request.
    """

    held_bytes = 0

    def give_way(self) -> None:
        """Refuse the request, whose memory is needed for others."""
        raise NotImplementedError


class RequestMemory:
    """Memory that the requests of one server hold together.

    Requests that have not been received whole give way to others, the one
    that began first before the rest: an ordinary request is received within
    milliseconds. A request that was received whole keeps its memory until it
    is answered.

    Args:
        max_bytes: Most that all requests hold together.

    Attributes:
        held_bytes: Bytes held now.
    """

    def __init__(self, max_bytes: int) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._unfinished: dict[Holder, None] = {}  # In order of their beginning.

    def begin(self, holder: Holder, count: int) -> bool:
        """Count the first bytes of a request; return whether there is room."""
        self._unfinished[holder] = None
        return self.take(holder, count)

    def take(self, holder: Holder, count: int) -> bool:
        """Count further bytes of a request that is being received.

        Other requests may have to give way.

        Returns:
            Whether there is room; if not, nothing is counted.
        """
        limit = self._max_bytes
        if holder.held_bytes + count > SMALL_REQUEST_BYTES:
            limit -= int(limit * SMALL_REQUEST_SHARE)
        while self.held_bytes + count > limit:
            if not self.evict_oldest(sparing=holder):
                return False
        self.held_bytes += count
        holder.held_bytes += count
        return True

    def evict_oldest(self, sparing: Holder | None = None) -> bool:
        """Make the request give way that has been received for the longest.

        Args:
            sparing: Request that stays.

        Returns:
            Whether there was such a request.
        """
        oldest = next((each for each in self._unfinished if each is not sparing), None)
        if oldest is None:
            return False
        self.release(oldest)
        oldest.give_way()
        return True

    def complete(self, holder: Holder) -> None:
        """Note that a request was received whole, so that it stays."""
        self._unfinished.pop(holder, None)

    def release(self, holder: Holder) -> None:
        """Free the memory of a request; does nothing if it was freed."""
        self._unfinished.pop(holder, None)
        self.held_bytes -= holder.held_bytes
        holder.held_bytes = 0
