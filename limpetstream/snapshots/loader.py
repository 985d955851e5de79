"""Finds and loads the newest usable snapshot."""

import dataclasses
import random
from typing import Any

import msgspec

from limpetstream import clock, errors
from limpetstream.records import codec, follower, view
from limpetstream.snapshots import events, messages, pages, writer
from limpetstream.telemetry import logs

# Pages read at once: 16 x 256 KB.
READ_FRAMES = 16
# Snapshots are tried from the newest on.
COMPLETE_SNAPSHOTS_KEPT = 8

# What decoding raises on content of another form, also in a slice's load.
DECODE_ERRORS = (msgspec.ValidationError, KeyError, TypeError, ValueError)


@dataclasses.dataclass(slots=True)
class SnapshotCatalogue:
    """Complete marks and places of pages found on the ``snapshots`` stream.

    Args:
        complete: Newest complete marks, oldest first.
        offset_by_page: Offset of the frame of each (snapshot, page).
        next_offset: Next offset to read.
        lowest_read_offset: Lowest offset that was read; -1 before the first
            read.
        scan_back_frames: Frames to read back at the next time.
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
        """Take up the records of one frame."""
        for line in lines:
            self.add(offset, line)

    def add(self, offset: int, line: str) -> None:
        """Take up one record; a damaged one is skipped."""
        try:
            envelope = codec.decode(line)
            if envelope.k == messages.PAGE_KIND:
                page = msgspec.convert(envelope.b, messages.Page)
                self.offset_by_page[page.id, page.index] = offset
            elif envelope.k == messages.COMPLETE_KIND:
                self._add_complete(msgspec.convert(envelope.b, messages.Complete))
        except (errors.RecordError, *DECODE_ERRORS) as error:
            logs.emit(events.PAGE_SKIPPED, offset=offset, detail=str(error))

    def _add_complete(self, mark: messages.Complete) -> None:
        if any(each.id == mark.id for each in self.complete):
            return
        self.complete.append(mark)
        self.complete.sort(key=lambda each: each.upto)
        del self.complete[:-COMPLETE_SNAPSHOTS_KEPT]
        # Only pages of kept marks, or of snapshots under way, are of use.
        oldest = min(writer.number_from_id(each.id) for each in self.complete)
        self.offset_by_page = {
            key: offset
            for key, offset in self.offset_by_page.items()
            if writer.number_from_id(key[0]) >= oldest
        }


@dataclasses.dataclass(slots=True)
class SnapshotLoader:
    """Puts a view at the newest usable snapshot.

    Args:
        log: Client of the log.
        control_stream: Name of the stream that the view follows.
        view: View that is put at a snapshot.
        clock: Time of this process.
        random: Source of jitter.
    """

    log: Any
    control_stream: str
    view: view.View
    clock: clock.Clock
    random: random.Random
    catalogue: SnapshotCatalogue = dataclasses.field(default_factory=SnapshotCatalogue)

    async def follow(self, *, interval_s: float = 2.0) -> None:
        """Keep the catalogue up to date, so that writers see one another."""
        while True:
            try:
                await self.scan()
            except errors.LogUnavailable:
                # The next scan is soon enough; nothing waits for it.
                pass
            await self.clock.sleep(interval_s)

    async def load(self, first: int) -> None:
        """Put the view at the newest usable snapshot.

        It starts over when expiry overtakes it, and waits while none can be
        used. Usable as ``follower.Follower.restart``.

        Args:
            first: Oldest kept offset of the control stream.

        Raises:
            LogUnavailable: The log cannot be read.
        """
        started_at = self.clock.monotonic()
        while not await self._load_newest(first):
            logs.emit(events.NO_SNAPSHOT, first=first)
            failing_s = self.clock.monotonic() - started_at
            await self.clock.sleep(follower.backoff_s(failing_s, self.random))
            first = await self._first(first)

    async def load_initial(self) -> None:
        """Put an empty view at the newest snapshot, if there is one.

        Raises:
            LogUnavailable: The log cannot be read.
        """
        first = await self._first(0)
        if await self._load_newest(first):
            return
        # Without a snapshot, a log that is kept from its start is enough.
        first = await self._first(0)
        if first > 0:
            await self.load(first)

    async def _load_newest(self, first: int) -> bool:
        """Try the snapshots from the newest on, reading back as needed."""
        tried: set[str] = set()
        await self.scan()
        while True:
            for mark in self._usable(first):
                if mark.id not in tried:
                    tried.add(mark.id)
                    if await self._try(mark):
                        return True
            if not await self._scan_back():
                return False

    def _usable(self, first: int) -> list[messages.Complete]:
        """Return the complete snapshots that can be followed, newest first."""
        least = max(first, self.view.next_offset)
        marks = [
            mark
            for mark in self.catalogue.complete
            if mark.upto + 1 >= least and self.catalogue.has_all_pages(mark)
        ]
        return sorted(marks, key=lambda each: each.upto, reverse=True)

    async def _scan_back(self) -> bool:
        """Read a part before what is known; False if there is none."""
        catalogue = self.catalogue
        stop = catalogue.lowest_read_offset
        start = max(
            await self._first(0, messages.STREAM), stop - catalogue.scan_back_frames
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
        """Read the rest of the snapshots stream into the catalogue.

        Raises:
            LogUnavailable: The log cannot be read.
        """
        catalogue = self.catalogue
        if catalogue.lowest_read_offset < 0:
            # Only the end is read at first: the newest snapshot lies there.
            first = await self._first(0, messages.STREAM)
            page = await self.log.read(messages.STREAM, first, max_frames=1)
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

    async def _try(self, mark: messages.Complete) -> bool:
        try:
            data = [await self._page(mark.id, n) for n in range(mark.pages)]
            if pages.checksum(data) != mark.checksum:
                raise errors.RecordError("checksum mismatch")
            snapshot = pages.decode_pages(data, mark.upto)
            # Pages are read in a while; the control stream may have moved on.
            await self.log.read(self.control_stream, mark.upto + 1, max_frames=1)
            self.view.restart(
                snapshot.upto, snapshot.sequence_by_writer, snapshot.objects_by_name
            )
        except (errors.RecordError, errors.OffsetExpired, *DECODE_ERRORS) as error:
            logs.emit(events.SNAPSHOT_UNUSABLE, snapshot=mark.id, detail=str(error))
            return False
        logs.emit(events.SNAPSHOT_LOADED, snapshot=mark.id, upto=mark.upto)
        return True

    async def _page(self, snapshot_id: str, index: int) -> str:
        offset = self.catalogue.offset_by_page.get((snapshot_id, index))
        if offset is None:
            raise errors.RecordError(f"page {index} is missing")
        page = await self.log.read(messages.STREAM, offset, max_frames=1)
        for frame in page.frames:
            for line in frame.records:
                envelope = codec.decode(line)
                if envelope.k != messages.PAGE_KIND:
                    continue
                found = msgspec.convert(envelope.b, messages.Page)
                if (found.id, found.index) == (snapshot_id, index):
                    return found.data
        raise errors.RecordError(f"page {index} is missing")

    async def _first(self, known: int, stream: str | None = None) -> int:
        """Return the oldest kept offset of a stream, or the control stream."""
        try:
            page = await self.log.read(
                stream or self.control_stream, known, max_frames=1
            )
            return page.first
        except errors.OffsetExpired as error:
            return error.first
