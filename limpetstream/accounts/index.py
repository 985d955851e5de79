"""Indexes the accounts stream: which offsets hold the entries of a caller."""

import dataclasses
from collections.abc import Callable, Iterable, Iterator

import msgspec

from limpetstream import errors
from limpetstream.accounts import messages

INITIAL_FRAMES_PER_BLOCK = 64
MAX_BLOCKS = 16_384  # about 10 MB; adjacent blocks are merged beyond it
MAX_CHAINS = 3  # lets exports finish that started before the newest one
MAX_INCOMPLETE_ROUNDS = 8


@dataclasses.dataclass(slots=True)
class Block:
    """Range of offsets and the callers' buckets in its batches.

    Args:
        start: First offset.
        stop: Offset after the last one.
        mask_by_period: Bit mask of the buckets that have entries, by period.
    """

    start: int
    stop: int
    mask_by_period: dict[int, int] = dataclasses.field(default_factory=dict)

    def add(self, mask_by_period: Iterable[tuple[int, int]]) -> None:
        """Merge the index of a batch or of another block."""
        for period, mask in mask_by_period:
            self.mask_by_period[period] = self.mask_by_period.get(period, 0) | mask


@dataclasses.dataclass(slots=True, frozen=True)
class PageRef:
    """Location of a page, its bucket and its periods."""

    offset: int
    index: int
    bucket: int
    first_period: int
    last_period: int


@dataclasses.dataclass(slots=True)
class Round:
    """Pages of a compaction round, which is complete once its mark was read.

    Args:
        ref_by_number: Locations of the pages, by their number.
        mark: Mark of the round; None until it was read.
    """

    ref_by_number: dict[int, PageRef] = dataclasses.field(default_factory=dict)
    mark: messages.AccountMark | None = None


@dataclasses.dataclass(slots=True)
class _BatchHead:
    index: list[tuple[int, int]]


@dataclasses.dataclass(slots=True)
class _BatchCallers:
    callers: list[str]


@dataclasses.dataclass(slots=True)
class _Head:
    k: str
    v: int
    b: msgspec.Raw


_head_decoder = msgspec.json.Decoder(_Head)
_batch_head_decoder = msgspec.json.Decoder(_BatchHead)
_batch_callers_decoder = msgspec.json.Decoder(_BatchCallers)

Chain = list[Round]
"""A full round, and incremental rounds that each start where one ended."""

UnreadableCallback = Callable[[int, errors.RecordError], None]


@dataclasses.dataclass(slots=True)
class Index:
    """Index of the accounts stream as far as it was read; holds no entries.

    A chain is a full round, which covers all offsets before its end, and the
    incremental rounds after it, each of which starts where the previous one
    ended. Offsets after the end of the chain are covered by blocks.

    Args:
        on_unreadable: Called with the offset and the error of each
            unreadable record.
        first_offset: Oldest offset that the log is known to hold.
        next_offset: Offset to read next.
        blocks: Batches that not all chains cover, by ascending offset.
        chains: Complete chains, oldest first.
        incomplete_round_by_id: Rounds whose mark was not read yet.
        frames_per_block: Range of offsets that a new block covers; doubles
            when blocks are merged.
    """

    on_unreadable: UnreadableCallback = lambda offset, error: None
    first_offset: int = 0
    next_offset: int = 0
    blocks: list[Block] = dataclasses.field(default_factory=list)
    chains: list[Chain] = dataclasses.field(default_factory=list)
    incomplete_round_by_id: dict[str, Round] = dataclasses.field(default_factory=dict)
    frames_per_block: int = INITIAL_FRAMES_PER_BLOCK

    def add(self, offset: int, lines: Iterable[str]) -> None:
        """Add the records of one frame.

        Args:
            offset: Offset of the frame.
            lines: Records of the frame.
        """
        for index, line in enumerate(lines):
            try:
                self._add_line(offset, index, line)
            except errors.RecordError as error:
                self.on_unreadable(offset, error)
            except (msgspec.DecodeError, UnicodeError) as error:
                self.on_unreadable(offset, errors.RecordError(str(error)))
        self.next_offset = offset + 1

    def _add_line(self, offset: int, index: int, line: str) -> None:
        head = _head_decoder.decode(line)
        is_known = head.k in (
            messages.BATCH_KIND,
            messages.PAGE_KIND,
            messages.MARK_KIND,
        )
        if not is_known or head.v != messages.VERSION:
            raise errors.RecordError(f"unknown record kind {head.k} version {head.v}")
        if head.k == messages.BATCH_KIND:
            # Skips the rows; exports verify the checksum when they read them.
            batch = _batch_head_decoder.decode(head.b)
            self._block_for(offset).add(batch.index)
        elif head.k == messages.PAGE_KIND:
            self._add_page(offset, index, messages.decode(line, messages.AccountPage))
        else:
            self._add_mark(messages.decode(line, messages.AccountMark))

    def _block_for(self, offset: int) -> Block:
        last = self.blocks[-1] if self.blocks else None
        if last is None or offset - last.start >= self.frames_per_block:
            last = Block(offset, offset + 1)
            self.blocks.append(last)
            if len(self.blocks) > MAX_BLOCKS:
                self._merge_block_pairs()
        last.stop = offset + 1
        return self.blocks[-1]

    def _merge_block_pairs(self) -> None:
        merged: list[Block] = []
        for position in range(0, len(self.blocks), 2):
            block = self.blocks[position]
            for other in self.blocks[position + 1 : position + 2]:
                block.stop = other.stop
                block.add(other.mask_by_period.items())
            merged.append(block)
        self.blocks = merged
        self.frames_per_block *= 2

    def _add_page(self, offset: int, index: int, page: messages.AccountPage) -> None:
        ref = PageRef(offset, index, page.bucket, page.first_period, page.last_period)
        round_ = self.incomplete_round_by_id.setdefault(page.round, Round())
        round_.ref_by_number[page.number] = ref
        while len(self.incomplete_round_by_id) > MAX_INCOMPLETE_ROUNDS:
            del self.incomplete_round_by_id[next(iter(self.incomplete_round_by_id))]

    def _add_mark(self, mark: messages.AccountMark) -> None:
        round_ = self.incomplete_round_by_id.pop(mark.round, Round())
        if len(round_.ref_by_number) != mark.pages:
            text = f"round {mark.round} is incomplete: {len(round_.ref_by_number)}"
            raise errors.RecordError(f"{text} of {mark.pages} pages")
        round_.mark = mark
        if mark.start == 0:
            self.chains.append([round_])
            del self.chains[:-MAX_CHAINS]
        else:
            for chain in self.chains:
                if mark.start <= end_offset_of(chain) < mark.upto:
                    chain.append(round_)
        self._drop_covered()

    def expire(self, first: int) -> None:
        """Remove chains and blocks that refer to expired offsets.

        Args:
            first: Oldest offset that the log still holds.
        """
        if first <= self.first_offset:
            return
        self.first_offset = first
        self.next_offset = max(self.next_offset, first)
        self.chains = [
            chain
            for chain in self.chains
            if all(
                ref.offset >= first
                for each in chain
                for ref in each.ref_by_number.values()
            )
        ]
        self.blocks = [block for block in self.blocks if block.stop > first]

    def _drop_covered(self) -> None:
        if self.chains:
            covered_upto = min(end_offset_of(chain[:1]) for chain in self.chains)
            self.blocks = [block for block in self.blocks if block.stop > covered_upto]

    def chain_for(self, upto: int) -> Chain:
        """Return the rounds that a reader as of an offset uses.

        Args:
            upto: Offset after the last one that counts.
        """
        for chain in reversed(self.chains):
            usable = [each for each in chain if each.mark and each.mark.upto <= upto]
            if usable and usable[0] is chain[0]:
                return usable
        return []

    def has_gap(self, chain: Chain) -> bool:
        """Return whether entries expired that the chain does not cover."""
        is_marked = any(each.mark and each.mark.gap for each in chain)
        return is_marked or end_offset_of(chain) < self.first_offset

    def covers_slot(self, slot: int) -> bool:
        """Return whether a round is complete for this slot or a later one."""
        return any(
            each.mark is not None and each.mark.slot >= slot
            for chain in self.chains
            for each in chain
        )

    def blocks_between(self, start: int, stop: int) -> Iterator[Block]:
        """Yield the blocks that overlap a range of offsets."""
        for block in self.blocks:
            if block.start < stop and block.stop > start:
                yield block


def record_kind(line: str) -> str:
    """Return the kind of a record without decoding its body.

    Damaged records give an empty string.
    """
    try:
        return _head_decoder.decode(line).k
    except (msgspec.DecodeError, UnicodeError):
        return ""


def batch_callers(line: str) -> list[str]:
    """Return the callers of a batch without decoding its rows.

    Damaged records and records of other kinds give an empty list.
    """
    try:
        head = _head_decoder.decode(line)
        if head.k != messages.BATCH_KIND:
            return []
        return _batch_callers_decoder.decode(head.b).callers
    except (msgspec.DecodeError, UnicodeError):
        return []


def end_offset_of(chain: Chain) -> int:
    """Return the offset after the last one that a chain covers, or 0."""
    last = chain[-1].mark if chain else None
    return last.upto if last else 0
