"""Bounds the size of batch records, which hold texts of workers."""

from collections.abc import Iterator
from typing import Any

import msgspec

from limpetstream.records import committer

# The fields of a body beside its list take less.
BODY_BYTES = 100
MAX_LIST_BYTES = committer.MAX_FRAME_BYTES - committer.ENVELOPE_BYTES - BODY_BYTES
# Of a text that a worker gives, such as a reason.
MAX_TEXT_CHARACTERS = 1000


def split(items: list[Any], max_count: int) -> Iterator[list[Any]]:
    """Yield the items in order, in lists that each fit into one record.

    Args:
        items: Dataclass instances; each must fit into a record by itself.
        max_count: Largest number of items of one list.
    """
    part: list[Any] = []
    part_bytes = 0
    for item in items:
        item_bytes = len(msgspec.json.encode(item)) + 1  # A comma.
        if part and (
            part_bytes + item_bytes > MAX_LIST_BYTES or len(part) == max_count
        ):
            yield part
            part, part_bytes = [], 0
        part.append(item)
        part_bytes += item_bytes
    if part:
        yield part
