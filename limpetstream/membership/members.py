"""State of the members, built by applying join and leave records."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from limpetstream.membership import messages
from limpetstream.records import registry as records_registry, view

# A removed member is remembered for this many frames, so that a delayed copy
# of one of its frames is still recognised: over 5 minutes at 300 appends/s,
# the full rate of the log.
DEPARTED_RETENTION_FRAMES = 100_000


@dataclasses.dataclass(slots=True)
class Member:
    """One entry instance that has joined.

    Args:
        id: Id of the process; never reused by another process.
        data_centre: Data centre in which it runs.
        peer_address: IP address and port for messages from other members.
        caller_address: IP address and port for callers.
        joined_offset: Offset of the frame with its ``member.join``.
        leaving: Whether it has announced a planned stop.
    """

    id: str
    data_centre: str
    peer_address: str
    caller_address: str
    joined_offset: int
    leaving: bool = False


@dataclasses.dataclass(slots=True)
class DepartedMember:
    """Snapshot row of a removed member that is still remembered."""

    id: str
    offset: int


@dataclasses.dataclass(slots=True)
class Members:
    """Members by id, as ``member.join`` and ``member.leave`` set them.

    Args:
        by_id: Present members by id.
        departed_offset_by_id: Offset of the removal by id of the removed
            member.
        holds_any: Returns whether a member holds any right; such a member is
            not removed.
    """

    by_id: dict[str, Member] = dataclasses.field(default_factory=dict)
    departed_offset_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    holds_any: Callable[[str], bool] = lambda member: False
    _forget_writer: Callable[[str], None] = lambda member: None

    def register(self, target: view.View, types: records_registry.Registry) -> None:
        """Register the record kinds, their appliers and the snapshot part."""
        types.register("member.join", 1, messages.Join)
        types.register("member.leave", 1, messages.Leave)
        target.register_applier("member.join", self.apply_join)
        target.register_applier("member.leave", self.apply_leave)
        target.register_state("members", self.dump, self.load)
        self._forget_writer = target.forget_writer

    def active(self) -> list[Member]:
        """Return the members that are not leaving, ordered by id."""
        return sorted(
            (member for member in self.by_id.values() if not member.leaving),
            key=lambda member: member.id,
        )

    def apply_join(self, entry: view.Entry) -> str | None:
        """Apply ``member.join``; return why it is void, or None."""
        self._forget_expired_departures(entry.offset)
        if entry.writer in self.by_id:
            return "already joined"
        if entry.writer in self.departed_offset_by_id:
            return "this id was removed"
        self.by_id[entry.writer] = Member(
            entry.writer,
            entry.body.data_centre,
            entry.body.peer_address,
            entry.body.caller_address,
            entry.offset,
        )
        return None

    def apply_leave(self, entry: view.Entry) -> str | None:
        """Apply ``member.leave``; return why it is void, or None."""
        self._forget_expired_departures(entry.offset)
        member = self.by_id.get(entry.body.instance)
        if member is None:
            return "not a member"
        if entry.writer not in self.by_id:
            return "the writer is not a member"
        if entry.writer == member.id:
            member.leaving = True
            return None
        if self.holds_any(member.id):
            return "the member holds rights"
        del self.by_id[member.id]
        self.departed_offset_by_id[member.id] = entry.offset
        return None

    def dump(self) -> Iterable[Any]:
        """Yield the rows of the state for a snapshot."""
        yield from self.by_id.values()
        for member, offset in self.departed_offset_by_id.items():
            yield DepartedMember(member, offset)

    def load(self, objects: Iterable[Any]) -> None:
        """Replace the state with the rows of a snapshot."""
        self.by_id.clear()
        self.departed_offset_by_id.clear()
        for each in objects:
            if "joined_offset" in each:
                member = msgspec.convert(each, Member)
                self.by_id[member.id] = member
            else:
                departed = msgspec.convert(each, DepartedMember)
                self.departed_offset_by_id[departed.id] = departed.offset

    def _forget_expired_departures(self, offset: int) -> None:
        """Forget removed members whose retention ended before ``offset``.

        Only appliers call this, so every reader forgets a member at the same
        place in the log.
        """
        oldest_kept = offset - DEPARTED_RETENTION_FRAMES
        expired = [
            member_id
            for member_id, left_offset in self.departed_offset_by_id.items()
            if left_offset < oldest_kept
        ]
        for member in expired:
            del self.departed_offset_by_id[member]
            self._forget_writer(member)
