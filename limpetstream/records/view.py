"""View of the control stream: the state that results from its records.

The state depends on the order of the records in the log alone, so all readers
that have applied the same records agree on it.
"""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

from limpetstream import errors
from limpetstream.records import codec, events, registry
from limpetstream.telemetry import logs


@dataclasses.dataclass(slots=True)
class Entry:
    """One decoded record and its place in the log.

    Args:
        offset: Offset of the frame that holds the record.
        index: Position of the record in its frame, from 0.
        kind: Kind of the record.
        writer: Instance that wrote it.
        sequence: Sequence number at the writer.
        resource: Resource whose right the writer used, if any.
        epoch: Epoch of that right.
        body: Typed body.
    """

    offset: int
    index: int
    kind: str
    writer: str
    sequence: int
    resource: str | None
    epoch: int
    body: Any


@dataclasses.dataclass(slots=True)
class ApplyResult:
    """Place of an applied record in the log, and whether it is void.

    Args:
        offset: Offset of its frame.
        index: Position in the frame, from 0.
        void_reason: Why every reader ignores the record; None if it is valid.
    """

    offset: int
    index: int
    void_reason: str | None


@dataclasses.dataclass(slots=True)
class SnapshotPart:
    """How the state of one package is saved to and loaded from a snapshot.

    Args:
        dump: Returns the rows of the state.
        load: Replaces the state with rows, decoded to JSON types.
    """

    dump: Callable[[], Iterable[Any]]
    load: Callable[[Iterable[Any]], None]


Applier = Callable[[Entry], str | None]
HoldsRight = Callable[[str, str, int], bool]
Listener = Callable[[Entry, ApplyResult], None]
UnreadableRecordHandler = Callable[[int, int, errors.RecordError], None]


def log_unreadable_record(offset: int, index: int, error: errors.RecordError) -> None:
    """Log a record that could not be decoded."""
    logs.emit(events.RECORD_SKIPPED, offset=offset, index=index, detail=str(error))


@dataclasses.dataclass(slots=True)
class View:
    """State of the control stream in one process, as of ``next_offset``.

    Args:
        registry: Body types by kind and version.
        holds_right: Returns whether a writer holds the right to a resource at
            an epoch, as of the last applied record; called with (resource,
            writer, epoch).
        on_unreadable: Called with offset, index and error for records that
            cannot be decoded.
        next_offset: Offset of the next frame to apply.
        fresh_at: Monotonic time in seconds at which the state was last known
            to contain the whole log.
        applier_by_kind: Function that applies the records of a kind.
        snapshot_part_by_name: Parts of the state that go into snapshots.
        sequence_by_writer: Sequence number of the last applied record of
            each writer.
        listeners: Called with every applied record and its result.
        restart_listeners: Called after the state was replaced by a snapshot.
            The records that it contains are not passed to ``listeners``.
    """

    registry: registry.Registry
    holds_right: HoldsRight
    on_unreadable: UnreadableRecordHandler = log_unreadable_record
    next_offset: int = 0
    fresh_at: float = float("-inf")
    applier_by_kind: dict[str, Applier] = dataclasses.field(default_factory=dict)
    snapshot_part_by_name: dict[str, SnapshotPart] = dataclasses.field(
        default_factory=dict
    )
    sequence_by_writer: dict[str, int] = dataclasses.field(default_factory=dict)
    listeners: list[Listener] = dataclasses.field(default_factory=list)
    restart_listeners: list[Callable[[], None]] = dataclasses.field(
        default_factory=list
    )

    @property
    def position(self) -> tuple[int, int]:
        """Offset and index of the next record to apply."""
        return self.next_offset, 0

    def age(self, now: float) -> float:
        """Return the seconds since the view was last known to be complete.

        Args:
            now: Monotonic time in seconds.
        """
        return now - self.fresh_at

    def register_applier(self, kind: str, applier: Applier) -> None:
        """Let ``applier`` apply the records of ``kind``.

        It returns why a record is void, or None.
        """
        self.applier_by_kind[kind] = applier

    def register_state(
        self,
        name: str,
        dump: Callable[[], Iterable[Any]],
        load: Callable[[Iterable[Any]], None],
    ) -> None:
        """Make the state of a package part of snapshots under ``name``."""
        self.snapshot_part_by_name[name] = SnapshotPart(dump, load)

    def restart(
        self,
        upto: int,
        sequence_by_writer: dict[str, int],
        objects_by_name: dict[str, list[Any]],
    ) -> None:
        """Replace the whole state by that of a snapshot.

        Args:
            upto: Offset of the last frame that the snapshot contains.
            sequence_by_writer: Last sequence number of every writer.
            objects_by_name: Rows by name of the snapshot part. Parts that are
                not in the snapshot become empty.
        """
        for name, state in self.snapshot_part_by_name.items():
            state.load(objects_by_name.get(name, []))
        self.sequence_by_writer = dict(sequence_by_writer)
        self.next_offset = upto + 1
        self.fresh_at = float("-inf")
        for listener in self.restart_listeners:
            listener()

    def forget_writer(self, writer: str) -> None:
        """Forget the sequence number of a writer that never writes again.

        Only appliers may call this, so that all readers forget a writer at the
        same place in the log.
        """
        self.sequence_by_writer.pop(writer, None)

    def apply_frame(self, offset: int, lines: Iterable[str]) -> None:
        """Apply the records of one frame; skip those that are unreadable."""
        for index, line in enumerate(lines):
            try:
                envelope = codec.decode(line)
                body = self.registry.decode_body(envelope.k, envelope.v, envelope.b)
            except errors.RecordError as error:
                self.on_unreadable(offset, index, error)
                continue
            entry = Entry(
                offset,
                index,
                envelope.k,
                envelope.w,
                envelope.n,
                envelope.r,
                envelope.e,
                body,
            )
            self._apply_entry(entry)
        self.next_offset = offset + 1

    def _apply_entry(self, entry: Entry) -> None:
        if entry.sequence <= self.sequence_by_writer.get(entry.writer, 0):
            # The frame was appended again because its answer was lost.
            return
        self.sequence_by_writer[entry.writer] = entry.sequence
        reason = self._run_applier(entry)
        apply_result = ApplyResult(entry.offset, entry.index, reason)
        for listener in self.listeners:
            listener(entry, apply_result)

    def _run_applier(self, entry: Entry) -> str | None:
        # Fencing: a writer that has lost its right changes nothing any more.
        if entry.resource is not None and not self.holds_right(
            entry.resource, entry.writer, entry.epoch
        ):
            return "stale writer"
        applier = self.applier_by_kind.get(entry.kind)
        if applier is None:
            return "no applier"
        try:
            return applier(entry)
        except Exception as error:
            # An exception would stop every instance at the same record.
            logs.emit(
                events.APPLIER_FAILED,
                offset=entry.offset,
                kind=entry.kind,
                detail=repr(error),
            )
            return "applier failed"
