"""Account entries on their way into the log, in bounded memory."""

import asyncio
import collections
import dataclasses
import itertools

from limpetstream.accounts import messages
from limpetstream.records import committer

# With texts of the greatest length, one record still fits a frame.
MAX_ENTRIES_PER_RECORD = 200
# A larger frame is refused by the stream's writer and would stay first in
# line for ever: no entry after a long outage would reach the log.
MAX_APPEND_BYTES = committer.FRAME_MAX_BYTES
ENTRY_OVERHEAD_BYTES = 700  # of an entry and its receipt; 620 bytes were measured
RECEIPT_BYTES = 520  # of that, what a receipt holds until it is confirmed


@dataclasses.dataclass(slots=True, eq=False)
class Receipt:
    """A request that was received here.

    Args:
        entry: Its entry as it was received.
        recorded: Whether that entry is in the log or at a witness.
        waiters: Futures that become done when it is.
    """

    entry: messages.Entry
    recorded: bool = False
    waiters: list[asyncio.Future[None]] = dataclasses.field(default_factory=list)

    def confirm(self) -> None:
        """Tell everyone who waits that the entry is safe."""
        self.recorded = True
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()


@dataclasses.dataclass(slots=True, eq=False)
class RecordGroup:
    """Records that are not in the log yet.

    Args:
        lines: The records, sent again unchanged until the log confirms them.
        size: Memory that they and the receipts count with.
        receipts: Receipts whose first entry is among them.
        witness: Member that has a copy; the own id for copies held here.
    """

    lines: list[str]
    size: int
    receipts: list[Receipt] = dataclasses.field(default_factory=list)
    witness: str = ""

    def confirm(self) -> None:
        """Confirm all receipts in the frame."""
        for receipt in self.receipts:
            receipt.confirm()
        self.receipts = []


@dataclasses.dataclass(slots=True)
class Outbox:
    """Entries and records that the log has not confirmed.

    Args:
        instance: Id of this instance.
        encoder: Numbers its records on the accounts stream.
        bytes_held: Memory in use, in bytes.
        unconfirmed: Records, oldest first.
        not_empty: Set while there is anything to send.
    """

    instance: str
    encoder: messages.RecordEncoder
    bytes_held: int = 0
    unconfirmed: collections.deque[RecordGroup] = dataclasses.field(
        default_factory=collections.deque
    )
    not_empty: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    _pending: dict[int, messages.Entry] = dataclasses.field(default_factory=dict)
    _receipts: dict[int, Receipt] = dataclasses.field(default_factory=dict)

    @property
    def empty(self) -> bool:
        """Whether the log has confirmed everything."""
        return not self._pending and not self.unconfirmed

    def add_receipt(self, receipt: Receipt) -> None:
        """Take the first entry of a receipt."""
        self._receipts[receipt.entry.number] = receipt
        first = receipt.entry
        pending = first.with_state(first.state, 0, "")
        pending.body_hash = first.body_hash
        self._add(pending)

    def add_update(self, later: messages.Entry) -> None:
        """Take a later entry; it joins one that is not on its way yet."""
        pending = self._pending.get(later.number)
        if pending is None:
            self._add(later)
            return
        before = _size(pending)
        pending.merge(later)
        self.bytes_held += _size(pending) - before

    def _add(self, entry: messages.Entry) -> None:
        self._pending[entry.number] = entry
        self.bytes_held += _size(entry)
        self.not_empty.set()

    def add_copies(self, lines: list[str]) -> None:
        """Take records that another member wrote."""
        for line in lines:
            self.unconfirmed.append(
                RecordGroup([line], len(line), witness=self.instance)
            )
            self.bytes_held += len(line)
        self.not_empty.set()

    def encode_pending(self) -> None:
        """Turn pending entries into records, which never change again."""
        while self._pending:
            chosen = list(itertools.islice(self._pending, MAX_ENTRIES_PER_RECORD))
            entries = [self._pending.pop(number) for number in chosen]
            receipts = [
                self._receipts.pop(number)
                for number in chosen
                if number in self._receipts
            ]
            batch = messages.make_batch(self.instance, entries)
            line = self.encoder.encode(messages.BATCH_KIND, batch)
            size = len(line) + RECEIPT_BYTES * len(receipts)
            self.bytes_held += size - sum(map(_size, entries))
            self.unconfirmed.append(RecordGroup([line], size, receipts))

    def next_append(self) -> list[RecordGroup]:
        """Return the oldest frames, as many as fit one append."""
        return _within(list(self.unconfirmed))

    def next_copy(self, live: set[str]) -> list[RecordGroup]:
        """Return frames of which no live member has a copy.

        Args:
            live: Members whose process has not ended.
        """
        have = live | {self.instance}
        return _within([each for each in self.unconfirmed if each.witness not in have])

    def mark_copied(self, chosen: list[RecordGroup], member: str) -> None:
        """Note that a member has a copy; receipts need not be kept longer."""
        for frame in chosen:
            freed = RECEIPT_BYTES * len(frame.receipts)
            frame.witness = member
            frame.size -= freed
            self.bytes_held -= freed
            frame.confirm()

    def confirm(self, batch: list[RecordGroup]) -> None:
        """Forget frames that the log has confirmed.

        Args:
            batch: What ``next_append`` returned.
        """
        for frame in batch:
            assert self.unconfirmed.popleft() is frame
            self.bytes_held -= frame.size
            frame.confirm()
        if self.empty:
            self.not_empty.clear()


def _within(frames: list[RecordGroup]) -> list[RecordGroup]:
    size = 0
    for count, frame in enumerate(frames):
        size += sum(map(len, frame.lines))
        if count and size > MAX_APPEND_BYTES:
            return frames[:count]
    return frames


def _size(entry: messages.Entry) -> int:
    texts = len(entry.caller) + len(entry.request_id) + len(entry.body_hash)
    return ENTRY_OVERHEAD_BYTES + texts + len(entry.detail)
