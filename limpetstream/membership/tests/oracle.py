"""Reference model of the log's meaning, independent of the tested code."""

import dataclasses
import json

from limpetstream.records.tests import builders as records_builders


@dataclasses.dataclass(slots=True)
class Right:
    """The right to one resource.

    Args:
        holder: Member that holds it.
        epoch: Offset of its claim.
        last: Offset of its claim or last renewal.
        seen: Offset up to which (exclusive) the holder had read the log then.
    """

    holder: str
    epoch: int
    last: int
    seen: int


@dataclasses.dataclass(slots=True)
class Oracle:
    """Applies every frame of the history, one record after the other.

    Args:
        copies: Writer and sequence number of each record, to ignore a second
            copy.
        joined: Offset of the join by member.
        leaving: Members that have announced a planned stop.
        removed: Members that were removed by others.
        rights: Right by resource.
        notes: Notes that are not void, in log order.
    """

    copies: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    joined: dict[str, int] = dataclasses.field(default_factory=dict)
    leaving: set[str] = dataclasses.field(default_factory=set)
    removed: set[str] = dataclasses.field(default_factory=set)
    rights: dict[str, Right] = dataclasses.field(default_factory=dict)
    notes: list[str] = dataclasses.field(default_factory=list)

    def read(self, frame: records_builders.Frame) -> None:
        """Apply one frame; a second copy of a record is ignored."""
        for line in frame.records:
            record = json.loads(line)
            copy = (record["w"], record["n"])
            if copy not in self.copies:
                self.copies.add(copy)
                step = getattr(self, record["k"].replace(".", "_"))
                step(record["w"], record["b"], frame.offset, record)

    def member_join(self, writer, body, offset, record) -> None:
        """Apply ``member.join``."""
        if writer not in self.joined and writer not in self.removed:
            self.joined[writer] = offset

    def member_leave(self, writer, body, offset, record) -> None:
        """Apply ``member.leave``."""
        gone = body["instance"]
        if gone == writer:
            self.leaving.add(writer)
        elif writer in self.joined and gone in self.joined:
            if all(right.holder != gone for right in self.rights.values()):
                del self.joined[gone]
                self.removed.add(gone)

    def right_claim(self, writer, body, offset, record) -> None:
        """Apply ``right.claim``."""
        if writer not in self.joined or writer in self.leaving:
            return
        right = self.rights.get(body["resource"])
        if right is not None:
            if body["supersedes"] != right.last:
                return
            if not body["gone"] and not self.joined[writer] < right.seen:
                return
        self.rights[body["resource"]] = Right(writer, offset, offset, body["seen"])

    def right_renew(self, writer, body, offset, record) -> None:
        """Apply ``right.renew``."""
        for resource, epoch in zip(body["resources"], body["epochs"], strict=True):
            if self._holds(resource, writer, epoch):
                right = self.rights[resource]
                right.last = offset
                right.seen = max(right.seen, body["seen"])

    def right_release(self, writer, body, offset, record) -> None:
        """Apply ``right.release``."""
        if self._holds(record["r"], writer, record["e"]):
            del self.rights[record["r"]]

    def note(self, writer, body, offset, record) -> None:
        """Apply ``note``, which is void unless its writer holds the right."""
        if self._holds(record["r"], writer, record["e"]):
            self.notes.append(f"{writer}/{body['text']}")

    def _holds(self, resource, writer, epoch) -> bool:
        right = self.rights.get(resource)
        return right is not None and (right.holder, right.epoch) == (writer, epoch)
