"""Bounds the memory of requests that are being received or answered."""

import itertools
from collections.abc import Iterable, Iterator

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

        Other requests give way if that makes enough room.

        Returns:
            Whether there is room; if not, nothing is counted.
        """
        excess = self.held_bytes + count - self._max_bytes
        others: Iterable[Holder] = self._unfinished
        if holder.held_bytes + count > SMALL_REQUEST_BYTES:
            excess += int(self._max_bytes * SMALL_REQUEST_SHARE)
            others = self._large_ones_first()
        if excess > 0 and not self._evict(excess, others, sparing=holder):
            return False
        self.held_bytes += count
        holder.held_bytes += count
        return True

    def _large_ones_first(self) -> Iterator[Holder]:
        return itertools.chain(
            (each for each in self._unfinished if _is_large(each)),
            (each for each in self._unfinished if not _is_large(each)),
        )

    def _evict(self, excess: int, others: Iterable[Holder], *, sparing: Holder) -> bool:
        """Make requests give way, in their order, if that frees enough."""
        evicted = []
        for each in others:
            if excess <= 0:
                break
            if each is not sparing:
                evicted.append(each)
                excess -= each.held_bytes
        if excess > 0:
            return False
        for each in evicted:
            self._make_give_way(each)
        return True

    def evict_oldest(self) -> bool:
        """Make the request give way that has been received for the longest.

        Returns:
            Whether there was one.
        """
        oldest = next(iter(self._unfinished), None)
        if oldest is None:
            return False
        self._make_give_way(oldest)
        return True

    def _make_give_way(self, holder: Holder) -> None:
        self.release(holder)
        holder.give_way()

    def complete(self, holder: Holder) -> None:
        """Note that a request was received whole, so that it stays."""
        self._unfinished.pop(holder, None)

    def release(self, holder: Holder) -> None:
        """Free the memory of a request; does nothing if it was freed."""
        self._unfinished.pop(holder, None)
        self.held_bytes -= holder.held_bytes
        holder.held_bytes = 0


def _is_large(holder: Holder) -> bool:
    return holder.held_bytes > SMALL_REQUEST_BYTES
