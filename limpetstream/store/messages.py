"""Defines the types and guarantees of the store of keyed topics."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(slots=True)
class Entry:
    """Newest value of one key.

    Args:
        key: Key within its partition.
        value: Value; None removes the key.
        offset: Offset of its record; -1 before it was appended.
    """

    key: str
    value: bytes | None
    offset: int = -1


@dataclasses.dataclass(slots=True)
class Writer:
    """Identity of an exclusive writer of one partition.

    Args:
        name: Name shared by all successive writers of the partition.
        epoch: Epoch of this writer; writers with lower epochs are fenced.
        sequence: Number of the append within the epoch, from 0.
    """

    name: str
    epoch: int
    sequence: int


@dataclasses.dataclass(slots=True)
class Page:
    """Records of a partition, starting at one offset.

    Args:
        entries: Records in the order of their offsets.
        end: Offset after the last record of the partition.
    """

    entries: list[Entry]
    end: int


@dataclasses.dataclass(slots=True)
class Assignment:
    """Partitions that a group assigns to one member.

    An assignment is only a hint. It grants no exclusive access.

    Args:
        generation: Number of the assignment; it grows with each change.
        partitions: Topic and number of each assigned partition.
    """

    generation: int
    partitions: list[tuple[str, int]]


class Store(Protocol):
    """Store of keyed topics.

    Every method raises ``PlatformUnavailable`` when it receives no usable
    answer. A write may then still take effect, seconds later, unless
    ``not_applied`` of the error is true.
    """

    async def append(
        self,
        topic: str,
        partition: int,
        entries: list[Entry],
        *,
        timeout_s: float,
        writer: Writer | None = None,
        at: int | None = None,
    ) -> int:
        """Append all entries or none, and return the end of the partition.

        Args:
            topic: Topic.
            partition: Partition.
            entries: Entries to append.
            timeout_s: Time limit of the call.
            writer: Exclusive writer that appends; None for none.
            at: Offset that must be the end of the partition; None for any.

        Raises:
            WriterFenced: The store has seen a higher epoch of the writer.
            SequenceConflict: The store expects another sequence number.
            OffsetMoved: ``at`` was given and is not the end.
        """
        ...

    async def read(
        self, topic: str, partition: int, start: int, *, wait_s: float, timeout_s: float
    ) -> Page:
        """Return records from ``start`` on; wait for one if there is none.

        Args:
            topic: Topic.
            partition: Partition.
            start: Offset of the first record to return.
            wait_s: How long to wait for a record.
            timeout_s: Time limit of the call.

        Raises:
            OffsetExpired: The record at ``start`` is no longer stored.
        """
        ...

    async def newest(self, topic: str, partition: int, *, timeout_s: float) -> Page:
        """Return the newest record of each key.

        The store returns the records in several pages, which are no consistent
        snapshot. ``end`` is the end of the partition before the first page was
        read; a reader continues from there.
        """
        ...

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        *,
        ttl_s: float,
        generation: int,
        timeout_s: float,
    ) -> Assignment:
        """Join a group, or renew the membership.

        Args:
            group: Group.
            member: Name of the member.
            topic: Topic whose partitions are assigned.
            ttl_s: Time after which the membership ends unless it is renewed.
            generation: Number of the assignment that the member accepts.
            timeout_s: Time limit of the call.
        """
        ...

    async def leave(self, group: str, member: str, *, timeout_s: float) -> None:
        """Leave a group; its partitions are reassigned immediately."""
        ...

    async def owners(
        self, group: str, *, timeout_s: float
    ) -> dict[tuple[str, int], str]:
        """Return the member to which each topic and partition is assigned."""
        ...
