"""Who takes part: the folded state of joins and leaves."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from limpetstream.membership import messages
from limpetstream.records import registry as records_registry, view

# Frames after which a late copy of a frame of a departed member is no longer
# expected: over 5 minutes at the full rate of 300 appends/s.
DEPARTED_RETENTION_FRAMES = 100_000


@dataclasses.dataclass(slots=True)
class Member:
    """One instance that takes part.

    Args:
        id: Id of the process; never used by another one.
        data_centre: Where it runs.
        peer_address: IP and port for the other members.
        caller_address: IP and port for callers.
        joined_offset: Offset of its join.
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
    """A removed member, kept until no late frame of it is expected."""

    id: str
    offset: int


@dataclasses.dataclass(slots=True)
class Members:
    """Folded state of ``member.join`` and ``member.leave``.

    Args:
        holds_any: Tells whether a member holds rights; it is then kept.
    """

    by_id: dict[str, Member] = dataclasses.field(default_factory=dict)
    departed_offset_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    holds_any: Callable[[str], bool] = lambda member: False
    _forget: Callable[[str], None] = lambda member: None

    def register(self, target: view.View, types: records_registry.Registry) -> None:
        """Register the record kinds, appliers and snapshot state."""
        types.register("member.join", 1, messages.Join)
        types.register("member.leave", 1, messages.Leave)
        target.register_applier("member.join", self.apply_join)
        target.register_applier("member.leave", self.apply_leave)
        target.register_state("members", self.dump, self.load)
        self._forget = target.forget_writer

    def active(self) -> list[Member]:
        """Return the members that are not leaving, ordered by id."""
        return sorted(
            (member for member in self.by_id.values() if not member.leaving),
            key=lambda member: member.id,
        )

    def apply_join(self, entry: view.Entry) -> str | None:
        """Fold ``member.join``."""
        self._forget_departed(entry.offset)
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
        """Fold ``member.leave``."""
        self._forget_departed(entry.offset)
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
        """Return the state as plain objects."""
        yield from self.by_id.values()
        for member, offset in self.departed_offset_by_id.items():
            yield DepartedMember(member, offset)

    def load(self, objects: Iterable[Any]) -> None:
        """Replace the state by dumped objects."""
        self.by_id.clear()
        self.departed_offset_by_id.clear()
        for each in objects:
            if "joined_offset" in each:
                member = msgspec.convert(each, Member)
                self.by_id[member.id] = member
            else:
                departed = msgspec.convert(each, DepartedMember)
                self.departed_offset_by_id[departed.id] = departed.offset

    def _forget_departed(self, offset: int) -> None:
        """Forget at a place that is the same for every reader."""
        limit = offset - DEPARTED_RETENTION_FRAMES
        past = [m for m, at in self.departed_offset_by_id.items() if at < limit]
        for member in past:
            del self.departed_offset_by_id[member]
            self._forget(member)
