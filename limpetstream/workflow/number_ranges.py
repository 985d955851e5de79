"""Turns sets of numbers into ranges and back."""

from collections.abc import Iterable, Iterator


def compress(numbers: Iterable[int]) -> list[tuple[int, int]]:
    """Return the first and the last number of each range, in rising order.

    Args:
        numbers: Numbers in rising order, each once.

    >>> compress([0, 1, 2, 5, 7, 8])
    [(0, 2), (5, 5), (7, 8)]
    """
    ranges: list[tuple[int, int]] = []
    first = last = None
    for number in numbers:
        if last is not None and number == last + 1:
            last = number
            continue
        if first is not None and last is not None:
            ranges.append((first, last))
        first = last = number
    if first is not None and last is not None:
        ranges.append((first, last))
    return ranges


def expand(ranges: Iterable[tuple[int, int]], end: int) -> Iterator[int]:
    """Yield the numbers of ranges in rising order, each once.

    Args:
        ranges: First and last number of each range, in rising order; what
            does not rise is left out.
        end: The numbers are at least 0 and less than this.
    """
    next_number = 0
    for first, last in ranges:
        stop = min(last + 1, end)
        yield from range(max(next_number, first), stop)
        next_number = max(next_number, stop)
