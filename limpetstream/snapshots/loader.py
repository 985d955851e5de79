"""Finds the newest usable snapshot and loads it into the view.

It reads the ``snapshots`` stream from its end backwards, as far as needed.
"""

import dataclasses
import random
from typing import Any

import msgspec

from limpetstream import clock, errors
from limpetstream.records import codec, follower, view
from limpetstream.snapshots import events, messages, pages, writer
from limpetstream.telemetry import logs

# Maximum number of frames in one read: 16 x 256 KB.
READ_FRAMES = 16
# Number of complete snapshots to remember; the newest is tried first.
COMPLETE_SNAPSHOTS_KEPT = 8

# Errors that decoding invalid content raises, also when a part of the view
# loads its rows.
DECODE_ERRORS = (msgspec.ValidationError, KeyError, TypeError, ValueError)


@dataclasses.dataclass(slots=True)
class SnapshotCatalogue:
    """Completion marks and pages that were found on the ``snapshots`` stream.

    Args:
        complete: Newest completion marks, oldest first.
        offset_by_page: Offset of the frame by (snapshot id, page index).
        next_offset: Next offset to read.
        lowest_read_offset: Lowest offset that was read; -1 before the first
            read.
        scan_back_frames: Number of frames of the next read backwards.
    """

    complete: list[messages.Complete] = dataclasses.field(default_factory=list)
    offset_by_page: dict[tuple[str, int], int] = dataclasses.field(default_factory=dict)
    next_offset: int = 0
    lowest_read_offset: int = -1
    scan_back_frames: int = READ_FRAMES

    @property
    def latest_number(self) -> int:
        """Number of the newest complete snapshot, or -1."""
        numbers = [writer.number_from_id(each.id) for each in self.complete]
        return max(numbers, default=-1)

    def has_all_pages(self, mark: messages.Complete) -> bool:
        """Return whether all pages of a snapshot have been found."""
        return all((mark.id, n) in self.offset_by_page for n in range(mark.pages))

    def add_frame(self, offset: int, lines: list[str]) -> None:
        """Add the records of one frame."""
        for line in lines:
            self.add(offset, line)

    def add(self, offset: int, line: str) -> None:
        """Add one record; a damaged one is skipped."""
        try:
            envelope = codec.decode(line)
            if envelope.k == messages.PAGE_KIND:
                page = msgspec.convert(envelope.b, messages.Page)
                self.offset_by_page[page.id, page.index] = offset
            elif envelope.k == messages.COMPLETE_KIND:
                self._add_mark(msgspec.convert(envelope.b, messages.Complete))
        except (errors.RecordError, *DECODE_ERRORS) as error:
            logs.emit(events.PAGE_SKIPPED, offset=offset, detail=str(error))

    def _add_mark(self, mark: messages.Complete) -> None:
        if any(each.id == mark.id for each in self.complete):
            return
        self.complete.append(mark)
        self.complete.sort(key=lambda each: each.upto)
        del self.complete[:-COMPLETE_SNAPSHOTS_KEPT]
        # Keep only the pages of remembered snapshots and of newer ones, which
        # may still be being written.
        oldest = min(writer.number_from_id(each.id) for each in self.complete)
        self.offset_by_page = {
            key: offset
            for key, offset in self.offset_by_page.items()
            if writer.number_from_id(key[0]) >= oldest
        }


@dataclasses.dataclass(slots=True)
class SnapshotLoader:
    """Loads the newest usable snapshot into a view.

    A snapshot is usable if all its pages are present and the control stream
    still has the frames after it.

    Args:
        log: Client of the log.
        control_stream: Name of the stream that the view reads.
        view: View to load a snapshot into.
        clock: Clock of this process.
        random: Source of jitter.
        catalogue: Snapshots that were found on the ``snapshots`` stream.
    """

    log: Any
    control_stream: str
    view: view.View
    clock: clock.Clock
    random: random.Random
    catalogue: SnapshotCatalogue = dataclasses.field(default_factory=SnapshotCatalogue)

    async def follow(self, *, interval_s: float = 2.0) -> None:
        """Keep the catalogue current until cancelled.

        Writers of snapshots see in it what other instances have written.

        Args:
            interval_s: Seconds between two scans.
        """
        while True:
            try:
                await self.scan()
            except errors.LogUnavailable:
                # Nothing waits for this scan, so the next one is soon enough.
                pass
            await self.clock.sleep(interval_s)

    async def load(self, oldest_offset: int) -> None:
        """Load the newest usable snapshot into the view.

        If frames expire in the meantime, it starts again; while no snapshot
        is usable, it waits. Usable as ``follower.Follower.restart``.

        Args:
            oldest_offset: Oldest offset of the control stream that has not
                expired.

        Raises:
            LogUnavailable: The log cannot be read.
        """
        started_at = self.clock.monotonic()
        while not await self._load_newest(oldest_offset):
            logs.emit(events.NO_SNAPSHOT, first=oldest_offset)
            failing_s = self.clock.monotonic() - started_at
            await self.clock.sleep(follower.backoff_s(failing_s, self.random))
            oldest_offset = await self._read_oldest_offset(oldest_offset)

    async def load_initial(self) -> None:
        """Load the newest usable snapshot into an empty view, if there is one.

        Without one, a complete control stream is enough. If its start has
        expired, this waits for a usable snapshot.

        Raises:
            LogUnavailable: The log cannot be read.
        """
        oldest_offset = await self._read_oldest_offset(0)
        if await self._load_newest(oldest_offset):
            return
        # Frames may have expired in the meantime, and without a snapshot the
        # control stream has to be complete.
        oldest_offset = await self._read_oldest_offset(0)
        if oldest_offset > 0:
            await self.load(oldest_offset)

    async def _load_newest(self, oldest_offset: int) -> bool:
        """Try usable snapshots, newest first; scan back if none loads."""
        tried: set[str] = set()
        await self.scan()
        while True:
            for mark in self._usable_marks(oldest_offset):
                if mark.id not in tried:
                    tried.add(mark.id)
                    if await self._load_snapshot(mark):
                        return True
            if not await self._scan_back():
                return False

    def _usable_marks(self, oldest_offset: int) -> list[messages.Complete]:
        """Return marks of the usable snapshots, newest first."""
        lowest_start = max(oldest_offset, self.view.next_offset)
        marks = [
            mark
            for mark in self.catalogue.complete
            if mark.upto + 1 >= lowest_start and self.catalogue.has_all_pages(mark)
        ]
        return sorted(marks, key=lambda each: each.upto, reverse=True)

    async def _scan_back(self) -> bool:
        """Read frames before the known ones; False if there are none."""
        catalogue = self.catalogue
        stop = catalogue.lowest_read_offset
        start = max(
            await self._read_oldest_offset(0, messages.STREAM),
            stop - catalogue.scan_back_frames,
        )
        if start >= stop:
            return False
        catalogue.scan_back_frames *= 2
        catalogue.lowest_read_offset = start
        while start < stop:
            page = await self.log.read(
                messages.STREAM, start, max_frames=min(READ_FRAMES, stop - start)
            )
            for frame in page.frames:
                catalogue.add_frame(frame.offset, frame.records)
            start = max(page.next, start + 1)
        return True

    async def scan(self) -> None:
        """Read the new frames of the snapshots stream into the catalogue.

        Raises:
            LogUnavailable: The log cannot be read.
        """
        catalogue = self.catalogue
        if catalogue.lowest_read_offset < 0:
            # Start at the end of the stream, where the newest snapshot is.
            oldest_offset = await self._read_oldest_offset(0, messages.STREAM)
            page = await self.log.read(messages.STREAM, oldest_offset, max_frames=1)
            catalogue.lowest_read_offset = catalogue.next_offset = page.end
        while True:
            try:
                page = await self.log.read(
                    messages.STREAM, catalogue.next_offset, max_frames=READ_FRAMES
                )
            except errors.OffsetExpired as error:
                catalogue.next_offset = error.first
                continue
            for frame in page.frames:
                catalogue.add_frame(frame.offset, frame.records)
                catalogue.next_offset = frame.offset + 1
            if catalogue.next_offset >= page.end:
                return

    async def _load_snapshot(self, mark: messages.Complete) -> bool:
        try:
            data = [await self._read_page(mark.id, n) for n in range(mark.pages)]
            if pages.checksum(data) != mark.checksum:
                raise errors.RecordError("checksum mismatch")
            snapshot = pages.decode_pages(data, mark.upto)
            # Reading the pages takes time: fail if the next frame of the
            # control stream has expired since.
            await self.log.read(self.control_stream, mark.upto + 1, max_frames=1)
            self.view.restart(
                snapshot.upto, snapshot.sequence_by_writer, snapshot.objects_by_name
            )
        except (errors.RecordError, errors.OffsetExpired, *DECODE_ERRORS) as error:
            logs.emit(events.SNAPSHOT_UNUSABLE, snapshot=mark.id, detail=str(error))
            return False
        logs.emit(events.SNAPSHOT_LOADED, snapshot=mark.id, upto=mark.upto)
        return True

    async def _read_page(self, snapshot_id: str, index: int) -> str:
        offset = self.catalogue.offset_by_page.get((snapshot_id, index))
        if offset is None:
            raise errors.RecordError(f"page {index} is missing")
        page = await self.log.read(messages.STREAM, offset, max_frames=1)
        for frame in page.frames:
            for line in frame.records:
                envelope = codec.decode(line)
                if envelope.k != messages.PAGE_KIND:
                    continue
                page_body = msgspec.convert(envelope.b, messages.Page)
                if (page_body.id, page_body.index) == (snapshot_id, index):
                    return page_body.data
        raise errors.RecordError(f"page {index} is missing")

    async def _read_oldest_offset(self, known: int, stream: str | None = None) -> int:
        """Return the oldest offset of a stream that has not expired.

        Args:
            known: Offset to read at; an expired one is allowed.
            stream: Name of the stream; the control stream by default.
        """
        try:
            page = await self.log.read(
                stream or self.control_stream, known, max_frames=1
            )
            return page.first
        except errors.OffsetExpired as error:
            return error.first
