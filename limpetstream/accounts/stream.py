"""Reads account entries from the log, merged by receipt, period by period."""

import asyncio
import collections
import dataclasses
from collections.abc import AsyncIterator
from typing import Any

from limpetstream import errors
from limpetstream.accounts import events, index as indexes, messages
from limpetstream.telemetry import logs

MAX_READ_FRAMES = 500
MAX_CACHED_SOURCES = 8  # a source is a page or a block of batches
MAX_CACHED_ROWS = 20_000  # of exports whose next page starts within a period

Source = indexes.PageRef | indexes.Block
EntriesByPeriod = dict[int, list[messages.Entry]]


def _log_unreadable(offset: int, error: errors.RecordError) -> None:
    logs.emit(events.RECORD_UNREADABLE, offset=offset, error=str(error))


@dataclasses.dataclass(slots=True)
class AccountStream:
    """Client of the accounts stream, with its index.

    Args:
        log: Client of the platform's log (``platform.log.Log``).
        index: Index of the stream as far as it was read.
        cached_rows: Rows of periods of which an export has returned a part,
            by caller, offset and period, so that its next page need not
            read them again.
    """

    log: Any
    index: indexes.Index = dataclasses.field(
        default_factory=lambda: indexes.Index(_log_unreadable)
    )
    cached_rows: collections.OrderedDict[Any, list[Any]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    _lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    async def catch_up(self) -> None:
        """Read the stream to its end and index it.

        Raises:
            LogUnavailable: The log does not answer.
        """
        async with self._lock:
            while not await self._read_next_frames():
                pass

    async def _read_next_frames(self) -> bool:
        try:
            page = await self.log.read(
                messages.STREAM, self.index.next_offset, max_frames=MAX_READ_FRAMES
            )
        except errors.OffsetExpired as error:
            self.index.expire(error.first)
            return False
        self.index.expire(page.first)
        for frame in page.frames:
            self.index.add(frame.offset, frame.records)
        return self.index.next_offset >= page.end

    def cache_rows(self, key: Any, rows: list[Any]) -> None:
        """Cache the rows of a period for the next page of an export.

        Args:
            key: Caller, offset of the export, and period.
            rows: All rows of the period.
        """
        self.cached_rows[key] = rows
        self.cached_rows.move_to_end(key)
        while (
            len(self.cached_rows) > 1
            and sum(map(len, self.cached_rows.values())) > MAX_CACHED_ROWS
        ):
            self.cached_rows.popitem(last=False)

    async def read_frames(self, start: int, stop: int) -> AsyncIterator[Any]:
        """Yield the frames in a range of offsets.

        Args:
            start: First offset.
            stop: Offset after the last one.

        Raises:
            OffsetExpired: A part of the range has expired.
            LogUnavailable: The log does not answer.
        """
        while start < stop:
            page = await self.log.read(
                messages.STREAM, start, max_frames=min(MAX_READ_FRAMES, stop - start)
            )
            if page.next <= start:
                return
            for frame in page.frames:
                if frame.offset < stop:
                    yield frame
            start = page.next


@dataclasses.dataclass(slots=True)
class AccountReader:
    """Reads merged entries as of one offset, for one export or one round.

    Args:
        stream: The accounts stream.
        upto: Offset after the last one that counts.
        selection: Name of a caller, or a set of buckets.
    """

    stream: AccountStream
    upto: int
    selection: frozenset[int] | str
    _covered_upto: int = 0
    _cache: collections.OrderedDict[tuple[int, int], EntriesByPeriod] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )

    async def read_periods(
        self, start: int = 0
    ) -> AsyncIterator[tuple[int, list[messages.Entry]]]:
        """Yield the merged entries of each period, in order of periods.

        Args:
            start: First period.

        Raises:
            OffsetExpired: A part of the entries has expired.
            LogUnavailable: The log does not answer.
        """
        sources_by_period = self._sources_by_period(start)
        for period in sorted(sources_by_period):
            merged: dict[messages.ReceiptKey, messages.Entry] = {}
            for source in sources_by_period[period]:
                found = await self._load_source(source)
                messages.merge_entries(merged, found.get(period, ()))
            if merged:
                yield period, list(merged.values())

    def _sources_by_period(self, start: int) -> dict[int, list[Source]]:
        if isinstance(self.selection, str):
            buckets = frozenset([messages.bucket_of(self.selection)])
        else:
            buckets = self.selection
        mask = sum(1 << bucket for bucket in buckets)
        found: dict[int, list[Source]] = {}
        chain = self.stream.index.chain_for(self.upto)
        for each in chain:
            for ref in each.ref_by_number.values():
                if ref.bucket in buckets:
                    first = max(start, ref.first_period)
                    for period in range(first, ref.last_period + 1):
                        found.setdefault(period, []).append(ref)
        # Offsets that the pages cover are skipped: a block may start among
        # them, and they may have expired.
        self._covered_upto = max(
            indexes.end_offset_of(chain), self.stream.index.first_offset
        )
        for block in self.stream.index.blocks_between(self._covered_upto, self.upto):
            for period, block_mask in block.mask_by_period.items():
                if period >= start and block_mask & mask:
                    found.setdefault(period, []).append(block)
        return found

    async def _load_source(self, source: Source) -> EntriesByPeriod:
        if isinstance(source, indexes.PageRef):
            key = (source.offset, source.index)
        else:
            key = (source.start, -1)
        found = self._cache.get(key)
        if found is None:
            found = self._cache[key] = {}
            for entry in await self._read_source(source):
                found.setdefault(entry.period, []).append(entry)
            while len(self._cache) > MAX_CACHED_SOURCES:
                self._cache.popitem(last=False)
        self._cache.move_to_end(key)
        return found

    async def _read_source(self, source: Source) -> list[messages.Entry]:
        if isinstance(source, indexes.PageRef):
            return await self._read_page(source)
        found: list[messages.Entry] = []
        start, stop = max(source.start, self._covered_upto), min(source.stop, self.upto)
        async for frame in self.stream.read_frames(start, stop):
            found += frame_entries(frame, self.selection)
        return found

    async def _read_page(self, ref: indexes.PageRef) -> list[messages.Entry]:
        async for frame in self.stream.read_frames(ref.offset, ref.offset + 1):
            page = messages.decode(frame.records[ref.index], messages.AccountPage)
            entries = messages.decode_page_data(page.data)
            if isinstance(self.selection, str):
                return [each for each in entries if each.caller == self.selection]
            return entries
        raise errors.OffsetExpired(self.stream.index.first_offset)


def frame_entries(frame: Any, selection: frozenset[int] | str) -> list[messages.Entry]:
    """Return the selected entries of the batches in a frame.

    Args:
        frame: Frame of the accounts stream.
        selection: Name of a caller, or a set of buckets.
    """
    found: list[messages.Entry] = []
    for line in frame.records:
        # Most batches have no entry of a given caller; skips decoding them.
        callers = indexes.batch_callers(line)
        if isinstance(selection, str) and selection not in callers or not callers:
            continue
        try:
            batch = messages.decode(line, messages.AccountBatch)
        except errors.RecordError as error:
            _log_unreadable(frame.offset, error)
            continue
        found += messages.batch_entries(batch, selection)
    return found
