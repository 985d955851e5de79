"""Compacts account entries into pages before the log expires them.

An incremental round turns the batches since the previous round into pages by
bucket, so that an export reads only one bucket and the newest batches. A full
round rewrites all pages before they expire themselves. Any member may write a
round; a second one for the same slot is harmless, since entries are merged by
receipt.
"""

import dataclasses
import operator
from collections.abc import Callable, Iterator

import xxhash

from limpetstream import clock as clocks, errors
from limpetstream.accounts import (
    events,
    index as indexes,
    ledger as ledgers,
    messages,
    stream as streams,
)
from limpetstream.telemetry import logs

FULL_ROUND_AGE_SHARE = 0.5  # of the retention; leaves time to repeat a round
MAX_PAGE_ENTRIES = 4000  # about 160 KB when encoded
MAX_BUFFERED_ENTRIES = 50_000  # about 25 MB; beyond it, pages are written early
MAX_APPEND_BYTES = 262_144
APPEND_PAUSE_S = 0.1  # between appends, to leave most of the append budget
TAKEOVER_DELAY_S = 30.0  # longer than a usual round; then the next member starts


@dataclasses.dataclass(slots=True)
class _PageWriter:
    """Writes the pages of one round, several to a frame."""

    round: str
    append: ledgers.Append
    encoder: messages.RecordEncoder
    clock: clocks.Clock
    pages: int = 0
    entries: int = 0
    bytes: int = 0
    _lines: list[str] = dataclasses.field(default_factory=list)
    _size: int = 0

    async def write(self, bucket: int, entries: list[messages.Entry]) -> None:
        """Write entries of one bucket, sorted by period."""
        for chunk in _split_into_pages(entries):
            page = messages.AccountPage(
                self.round,
                self.pages,
                bucket,
                chunk[0].period,
                chunk[-1].period,
                messages.encode_page_data(chunk),
            )
            line = self.encoder.encode(messages.PAGE_KIND, page)
            if self._size + len(line) > MAX_APPEND_BYTES:
                await self.flush()
            self._lines.append(line)
            self._size += len(line)
            self.bytes += len(line)
            self.pages += 1
            self.entries += len(chunk)

    async def flush(self) -> None:
        """Append the buffered pages."""
        if self._lines:
            await self.append(self._lines)
            self._lines, self._size = [], 0
            await self.clock.sleep(APPEND_PAUSE_S)


def _split_into_pages(entries: list[messages.Entry]) -> Iterator[list[messages.Entry]]:
    for start in range(0, len(entries), MAX_PAGE_ENTRIES):
        yield entries[start : start + MAX_PAGE_ENTRIES]


_order = operator.attrgetter("received_ms", "request_id", "via", "number")


@dataclasses.dataclass(slots=True)
class Compactor:
    """Writes compaction rounds at one instance.

    Args:
        instance: Id of this instance.
        append: Appends one frame to the accounts stream, within the budget.
        stream: The accounts stream.
        encoder: Numbers and encodes the records of this instance; shared
            with the ledger.
        members: Returns the ids of the members in the view.
        clock: Source of wall-clock time and delays.
        retention_s: Retention of the log in seconds.
        interval_s: Length of a time slot, which gets one incremental round,
            in seconds.
        bytes_written: Size of all pages written so far, in bytes.
    """

    instance: str
    append: ledgers.Append
    stream: streams.AccountStream
    encoder: messages.RecordEncoder
    members: Callable[[], list[str]]
    clock: clocks.Clock
    retention_s: float
    interval_s: float = 3600.0
    bytes_written: int = 0

    def current_slot(self) -> int:
        """Return the number of the current time slot."""
        return int(self.clock.wall() // self.interval_s)

    def start_delay_s(self, slot: int) -> float:
        """Return the delay in seconds before this member starts a round.

        Members start one after another, in an order that depends on the slot.

        Args:
            slot: Number of the time slot.
        """
        members = sorted(
            {*self.members(), self.instance},
            key=lambda each: xxhash.xxh64_intdigest(f"{slot}|{each}".encode()),
        )
        return members.index(self.instance) * min(
            TAKEOVER_DELAY_S, self.interval_s / 10
        )

    async def run(self) -> None:
        """Compact once per time slot unless another member has done so."""
        while True:
            slot = self.current_slot()
            await self.clock.sleep(self.start_delay_s(slot))
            try:
                await self.compact(slot)
            except (errors.LimpetstreamError, OSError) as error:
                logs.emit(events.COMPACTION_FAILED, slot=slot, error=str(error))
                await self.clock.sleep(TAKEOVER_DELAY_S)
                continue
            next_at = (slot + 1) * self.interval_s
            await self.clock.sleep(max(0.0, next_at - self.clock.wall()))

    async def compact(self, slot: int) -> bool:
        """Write the rounds that are due.

        Args:
            slot: Number of the time slot.

        Returns:
            False if no round was due, because another member wrote it.

        Raises:
            LogUnavailable: The log does not answer; readers ignore an
                unfinished round.
            OffsetExpired: Entries expired before they were compacted.
        """
        await self.stream.catch_up()
        if not self.stream.index.covers_slot(slot):
            await self._write_incremental_round(slot)
            await self.stream.catch_up()
        elif not self._is_full_round_due():
            return False
        if self._is_full_round_due():
            await self._write_full_round(slot)
            await self.stream.catch_up()
        return True

    def _is_full_round_due(self) -> bool:
        chains = self.stream.index.chains
        first = chains[-1][0].mark if chains else None
        if first is None:
            return False
        age_s = self.clock.wall() - first.at_ms / 1000
        return age_s >= self.retention_s * FULL_ROUND_AGE_SHARE

    async def _write_incremental_round(self, slot: int) -> None:
        index = self.stream.index
        upto = index.next_offset
        chain = index.chain_for(upto)
        start = indexes.end_offset_of(chain)
        gap = index.has_gap(chain)
        if gap:
            logs.emit(events.ENTRIES_EXPIRED, start=start, first=index.first_offset)
        page_writer = self._make_page_writer(slot, "s")
        buffer: dict[messages.ReceiptKey, messages.Entry] = {}
        all_buckets = frozenset(range(messages.BUCKET_COUNT))
        async for frame in self.stream.read_frames(
            max(start, index.first_offset), upto
        ):
            messages.merge_entries(buffer, streams.frame_entries(frame, all_buckets))
            if len(buffer) >= MAX_BUFFERED_ENTRIES:
                await _write_by_bucket(page_writer, list(buffer.values()))
                buffer.clear()
        await _write_by_bucket(page_writer, list(buffer.values()))
        await self._finish_round(page_writer, slot, start, upto, gap)

    async def _write_full_round(self, slot: int) -> None:
        chain = self.stream.index.chains[-1]
        upto = indexes.end_offset_of(chain)
        page_writer = self._make_page_writer(slot, "f")
        for bucket in range(messages.BUCKET_COUNT):
            reader = streams.AccountReader(self.stream, upto, frozenset([bucket]))
            buffer: list[messages.Entry] = []
            async for _, entries in reader.read_periods():
                buffer += sorted(entries, key=_order)
                while len(buffer) >= MAX_PAGE_ENTRIES:
                    await page_writer.write(bucket, buffer[:MAX_PAGE_ENTRIES])
                    buffer = buffer[MAX_PAGE_ENTRIES:]
            await page_writer.write(bucket, buffer)
        await self._finish_round(
            page_writer, slot, 0, upto, self.stream.index.has_gap(chain)
        )

    def _make_page_writer(self, slot: int, kind: str) -> _PageWriter:
        round_id = f"{slot}-{kind}-{self.instance}-{self.encoder.sequence}"
        return _PageWriter(round_id, self.append, self.encoder, self.clock)

    async def _finish_round(
        self, page_writer: _PageWriter, slot: int, start: int, upto: int, gap: bool
    ) -> None:
        await page_writer.flush()
        at_ms = self.clock.wall_ms()
        mark = messages.AccountMark(
            page_writer.round,
            slot,
            start,
            upto,
            page_writer.pages,
            page_writer.entries,
            at_ms,
            gap,
        )
        await self.append([self.encoder.encode(messages.MARK_KIND, mark)])
        self.bytes_written += page_writer.bytes
        logs.emit(
            events.COMPACTED,
            round=page_writer.round,
            pages=page_writer.pages,
            entries=page_writer.entries,
            bytes=page_writer.bytes,
        )


async def _write_by_bucket(
    page_writer: _PageWriter, entries: list[messages.Entry]
) -> None:
    entries_by_bucket: dict[int, list[messages.Entry]] = {}
    for entry in entries:
        entries_by_bucket.setdefault(messages.bucket_of(entry.caller), []).append(entry)
    for bucket, found in sorted(entries_by_bucket.items()):
        found.sort(key=_order)
        await page_writer.write(bucket, found)
