"""Holds which instances vote on an owner that acts without appends.

The journal records the instances that vote. Without a recent append an owner
needs, besides the replies of a majority of executors, those of more than half
of these instances, none of which may know a later epoch. A new owner tells
them its epoch. Once half of them know it, or have ended, no earlier owner gets
a majority, whether the executors in the journal still exist or not.
"""

import dataclasses
from collections.abc import Callable

import msgspec

from limpetstream.shard import names, peer_messages
from limpetstream.store import messages


@dataclasses.dataclass(slots=True)
class InstancesRecord:
    """Instances that vote, as the journal holds them.

    Args:
        epoch: Epoch of the owner that wrote the record.
        members: Names of the instances. A process that starts again has
            another name.
    """

    epoch: int
    members: list[str]


@dataclasses.dataclass(slots=True)
class Quorum:
    """What an owner knows of the instances that vote; times are monotonic.

    Args:
        member: Name of this instance.
        peers: Sends requests to other instances; None if nobody votes.
        note_epoch: Notes an epoch of a shard at this instance, and returns
            the highest one that it knows.
        binds_earlier_owners: Whether every earlier owner that may still act
            needs the votes of the instances in the journal.
        inherited: These instances; empty if they do not bind all of them.
        told: Those among them that know the epoch of this owner, or whose
            process has ended.
        recorded: Instances that the journal holds.
        writing: Instances that are being written to the journal; None while
            no record is being written.
        unreadable: Whether the journal holds a record that cannot be read. The
            instances that it names have to agree, and cannot be asked.
        agreed_at_by_member: Time at which the newest request was sent that
            an instance has answered without knowing a later epoch.
    """

    member: str = ""
    peers: peer_messages.Peers | None = None
    note_epoch: Callable[[int, int], int] = lambda number, epoch: epoch
    binds_earlier_owners: bool = False
    inherited: frozenset[str] = frozenset()
    told: set[str] = dataclasses.field(default_factory=set)
    recorded: frozenset[str] = frozenset()
    writing: frozenset[str] | None = None
    unreadable: bool = False
    agreed_at_by_member: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_half_told(self) -> bool:
        """Return whether no earlier owner gets a majority of the instances."""
        return bool(self.inherited) and len(self.told) * 2 >= len(self.inherited)

    def agreed_at(self) -> float:
        """Return the latest time by which a majority has agreed.

        While the journal may hold either of two sets, both have to agree.

        Returns:
            Monotonic time in seconds; infinity if no instances vote, minus
            infinity without such a majority.
        """
        if self.unreadable:
            return float("-inf")
        sets = (
            [self.recorded] if self.writing is None else [self.recorded, self.writing]
        )
        return min(self._agreed_at(members) for members in sets)

    def _agreed_at(self, members: frozenset[str]) -> float:
        if not members:
            return float("inf")
        agreed_at = sorted(
            (self.agreed_at_by_member.get(member, float("-inf")) for member in members),
            reverse=True,
        )
        return agreed_at[len(agreed_at) // 2]


def decode(raw: bytes) -> InstancesRecord:
    """Decode the record of the instances that vote.

    Raises:
        DecodeError: The record is damaged or has another structure.
    """
    return msgspec.json.decode(raw, type=InstancesRecord)


def find_record(entries: list[messages.Entry]) -> InstancesRecord | None:
    """Return the record among entries of the journal; None if unreadable."""
    for entry in entries:
        if entry.key == names.INSTANCES_KEY and entry.value is not None:
            try:
                return decode(entry.value)
            except (msgspec.DecodeError, UnicodeError, RecursionError):
                return None
    return None
