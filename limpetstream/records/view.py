"""The view: state folded from the log by a function of log order alone."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

from limpetstream import errors
from limpetstream.records import codec, events, registry
from limpetstream.telemetry import logs


@dataclasses.dataclass(slots=True)
class Entry:
    """One decoded record at its place in the log.

    Args:
        offset: Offset of the frame that holds the record.
        index: Place of the record in its frame, from 0.
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
    """Where a record stands in the log, and whether it counts.

    Args:
        offset: Offset of its frame.
        index: Place in the frame.
        void_reason: Why every reader ignores the record; None if it is valid.
    """

    offset: int
    index: int
    void_reason: str | None


@dataclasses.dataclass(slots=True)
class SnapshotPart:
    """How one slice's folded state goes into a snapshot and out of it."""

    dump: Callable[[], Iterable[Any]]
    load: Callable[[Iterable[Any]], None]


Applier = Callable[[Entry], str | None]
HoldsRight = Callable[[str, str, int], bool]
Listener = Callable[[Entry, ApplyResult], None]
UnreadableRecordHandler = Callable[[int, int, errors.RecordError], None]


def log_unreadable_record(offset: int, index: int, error: errors.RecordError) -> None:
    """Log a record that could not be read."""
    logs.emit(events.RECORD_SKIPPED, offset=offset, index=index, detail=str(error))


@dataclasses.dataclass(slots=True)
class View:
    """Folded state of the control stream in one process.

    Args:
        registry: Body types by kind and version.
        holds_right: Tells whether (resource, writer, epoch) holds at this
            place in the log.
        on_unreadable: Called with offset, index and error for unreadable
            records.
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
        """Offset and index of the next record to fold."""
        return self.next_offset, 0

    def age(self, now: float) -> float:
        """Return seconds since the view was last known to be complete.

        Args:
            now: Monotonic time in seconds.
        """
        return now - self.fresh_at

    def register_applier(self, kind: str, applier: Applier) -> None:
        """Let ``applier`` fold records of ``kind``."""
        self.applier_by_kind[kind] = applier

    def register_state(
        self,
        name: str,
        dump: Callable[[], Iterable[Any]],
        load: Callable[[Iterable[Any]], None],
    ) -> None:
        """Let a slice's state be part of snapshots under ``name``."""
        self.snapshot_part_by_name[name] = SnapshotPart(dump, load)

    def restart(
        self,
        upto: int,
        sequence_by_writer: dict[str, int],
        objects_by_name: dict[str, list[Any]],
    ) -> None:
        """Replace the whole state by that of a snapshot.

        Args:
            upto: Offset of the last frame that the state contains.
            sequence_by_writer: Last sequence number of every writer.
            objects_by_name: Dumped objects by name of the slice; a slice that
                the snapshot does not know starts empty.
        """
        for name, state in self.snapshot_part_by_name.items():
            state.load(objects_by_name.get(name, []))
        self.sequence_by_writer = dict(sequence_by_writer)
        self.next_offset = upto + 1
        self.fresh_at = float("-inf")
        for listener in self.restart_listeners:
            listener()

    def forget_writer(self, writer: str) -> None:
        """Drop the sequence number of a writer that is gone for good.

        Only appliers may call it: readers must forget at the same place.
        """
        self.sequence_by_writer.pop(writer, None)

    def apply_frame(self, offset: int, lines: Iterable[str]) -> None:
        """Fold all records of one frame; unreadable ones are skipped."""
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
            self._apply(entry)
        self.next_offset = offset + 1

    def _apply(self, entry: Entry) -> None:
        if entry.sequence <= self.sequence_by_writer.get(entry.writer, 0):
            # A frame whose answer was lost was appended a second time.
            return
        self.sequence_by_writer[entry.writer] = entry.sequence
        reason = self._fold(entry)
        apply_result = ApplyResult(entry.offset, entry.index, reason)
        for listener in self.listeners:
            listener(entry, apply_result)

    def _fold(self, entry: Entry) -> str | None:
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
            # Raising would stop every instance at the same record.
            logs.emit(
                events.APPLIER_FAILED,
                offset=entry.offset,
                kind=entry.kind,
                detail=repr(error),
            )
            return "applier failed"
