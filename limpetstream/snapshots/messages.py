"""Bodies of the records on the ``snapshots`` stream."""

import dataclasses

STREAM = "snapshots"
PAGE_KIND = "snapshot.page"
COMPLETE_KIND = "snapshot.complete"


@dataclasses.dataclass(slots=True)
class Page:
    """One page of a snapshot.

    Args:
        id: Id of the snapshot; unique, since it contains the writer.
        index: Position of the page in the snapshot, from 0.
        data: Part of the JSON lines of the snapshot.
    """

    id: str
    index: int
    data: str


@dataclasses.dataclass(slots=True)
class Complete:
    """Completion mark, written after the last page of a snapshot.

    Args:
        id: Id of the snapshot.
        upto: Offset of the last frame of the control stream that it contains.
        pages: Number of its pages.
        checksum: xxh64 of the data of all pages, in order.
    """

    id: str
    upto: int
    pages: int
    checksum: str
