"""Encodes snapshots as JSON lines in pages of limited size; decodes them."""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec
import xxhash

from limpetstream import errors
from limpetstream.records import view

# Escaping the quotes in a page at most doubles its size, so that a record with
# a page stays under 256 KB, the size limit of a frame.
PAGE_BYTES = 120 * 1024
WRITERS_NAME = "writers"

_encoder = msgspec.json.Encoder()


@dataclasses.dataclass(slots=True)
class Snapshot:
    """A decoded snapshot, ready for ``view.View.restart``.

    Args:
        upto: Offset of the last frame it contains.
        sequence_by_writer: Last sequence number of every writer.
        objects_by_name: Rows by name of the snapshot part.
    """

    upto: int
    sequence_by_writer: dict[str, int]
    objects_by_name: dict[str, list[Any]]


def dump_lines(source: view.View) -> Iterator[bytes]:
    """Yield the state of a view as JSON lines ``[name, row]``.

    The first line has the sequence numbers of the writers. It leaves out
    writers that the view has forgotten, which happens at the same place in the
    log for every reader.
    """
    yield _encoder.encode([WRITERS_NAME, source.sequence_by_writer])
    for name, state in source.snapshot_part_by_name.items():
        for row in state.dump():
            yield _encoder.encode([name, row])


def split_into_pages(lines: Iterable[bytes]) -> Iterator[str]:
    """Split the lines into pages; a page may end within a line.

    >>> [len(page) for page in split_into_pages([b"x" * 200_000, b"y"])]
    [122880, 77123]
    """
    text = b"".join(line + b"\n" for line in lines).decode()
    for start in range(0, len(text), PAGE_BYTES):
        part = text[start : start + PAGE_BYTES]
        if len(part.encode()) <= PAGE_BYTES:
            yield part
            continue
        # A character has up to 4 bytes in UTF-8.
        for inner_start in range(0, len(part), PAGE_BYTES // 4):
            yield part[inner_start : inner_start + PAGE_BYTES // 4]


def checksum(pages: Iterable[str]) -> str:
    """Return the xxh64 of the data of all pages, in order."""
    digest = xxhash.xxh64()
    for page in pages:
        digest.update(page.encode())
    return digest.hexdigest()


def decode_pages(pages: Iterable[str], upto: int) -> Snapshot:
    """Decode the pages of one snapshot.

    Args:
        pages: Data of all pages, in order.
        upto: Offset of the last frame that the snapshot contains.

    Raises:
        RecordError: A line is damaged.
    """
    snapshot = Snapshot(upto, {}, {})
    try:
        for line in "".join(pages).split("\n"):
            if not line:
                continue
            name, content = msgspec.json.decode(line)
            if name == WRITERS_NAME:
                snapshot.sequence_by_writer = content
            else:
                snapshot.objects_by_name.setdefault(name, []).append(content)
    except (msgspec.DecodeError, ValueError, TypeError, RecursionError) as error:
        raise errors.RecordError(f"damaged snapshot: {error}") from error
    return snapshot
