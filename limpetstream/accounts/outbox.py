"""Queues account entries in bounded memory until the log confirms them."""

import asyncio
import collections
import dataclasses
import itertools

from limpetstream.accounts import messages
from limpetstream.records import committer

# A record of this many entries with texts of maximum length fits a frame.
MAX_ENTRIES_PER_RECORD = 200
# The stream's writer refuses larger frames. A refused frame would block the
# head of the queue, and no entry would reach the log after a long outage.
MAX_APPEND_BYTES = committer.MAX_FRAME_BYTES
ENTRY_OVERHEAD_BYTES = 700  # an entry and its receipt take about 620 bytes
RECEIPT_BYTES = 520  # share of the receipt, freed when it is confirmed


@dataclasses.dataclass(slots=True, eq=False)
class Receipt:
    """Receipt of a request at this instance.

    Args:
        entry: Entry of the request as it was received.
        recorded: Whether that entry is in the log or at a witness.
        waiters: Futures that are resolved when it is recorded.
    """

    entry: messages.Entry
    recorded: bool = False
    waiters: list[asyncio.Future[None]] = dataclasses.field(default_factory=list)

    def confirm(self) -> None:
        """Mark the entry as recorded and wake the waiters."""
        self.recorded = True
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()


@dataclasses.dataclass(slots=True, eq=False)
class RecordGroup:
    """Records that the log has not confirmed, appended and copied together.

    Args:
        lines: The records; retries send them unchanged.
        size: Memory in bytes that is counted for the records and receipts.
        receipts: Receipts whose first entry is in the records.
        witness: Id of the member that has a copy; the id of this instance
            for records that it holds as a copy.
    """

    lines: list[str]
    size: int
    receipts: list[Receipt] = dataclasses.field(default_factory=list)
    witness: str = ""

    def confirm(self) -> None:
        """Confirm all receipts of the group."""
        for receipt in self.receipts:
            receipt.confirm()
        self.receipts = []


@dataclasses.dataclass(slots=True)
class Outbox:
    """Queue of entries and records that the log has not confirmed.

    Args:
        instance: Id of this instance.
        encoder: Numbers and encodes its records for the accounts stream.
        bytes_held: Memory that is counted for the content, in bytes.
        unconfirmed: Encoded records, oldest first.
        not_empty: Set while there are entries or records to send.
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
        """Whether the log has confirmed all entries and records."""
        return not self._pending and not self.unconfirmed

    def add_receipt(self, receipt: Receipt) -> None:
        """Queue the first entry of a receipt."""
        self._receipts[receipt.entry.number] = receipt
        first = receipt.entry
        pending = first.with_state(first.state, 0, "")
        pending.body_hash = first.body_hash
        self._add(pending)

    def add_update(self, entry: messages.Entry) -> None:
        """Queue a later entry of a receipt.

        It is merged into an entry of the same receipt that is not encoded yet.
        """
        pending = self._pending.get(entry.number)
        if pending is None:
            self._add(entry)
            return
        size_before = _memory_bytes(pending)
        pending.merge(entry)
        self.bytes_held += _memory_bytes(pending) - size_before

    def _add(self, entry: messages.Entry) -> None:
        self._pending[entry.number] = entry
        self.bytes_held += _memory_bytes(entry)
        self.not_empty.set()

    def add_copies(self, lines: list[str]) -> None:
        """Queue copies of records that another member wrote."""
        for line in lines:
            self.unconfirmed.append(
                RecordGroup([line], len(line), witness=self.instance)
            )
            self.bytes_held += len(line)
        self.not_empty.set()

    def encode_pending(self) -> None:
        """Encode the pending entries as records, which are final."""
        while self._pending:
            numbers = list(itertools.islice(self._pending, MAX_ENTRIES_PER_RECORD))
            entries = [self._pending.pop(number) for number in numbers]
            receipts = [
                self._receipts.pop(number)
                for number in numbers
                if number in self._receipts
            ]
            batch = messages.make_batch(self.instance, entries)
            line = self.encoder.encode(messages.BATCH_KIND, batch)
            size = len(line) + RECEIPT_BYTES * len(receipts)
            self.bytes_held += size - sum(map(_memory_bytes, entries))
            self.unconfirmed.append(RecordGroup([line], size, receipts))

    def next_append(self) -> list[RecordGroup]:
        """Return the oldest groups, as many as fit one append."""
        return _fit_append(list(self.unconfirmed))

    def next_copy(self, live: set[str]) -> list[RecordGroup]:
        """Return the oldest groups of which no live member has a copy.

        Args:
            live: Ids of the members whose process has not ended.
        """
        holders = live | {self.instance}
        return _fit_append(
            [each for each in self.unconfirmed if each.witness not in holders]
        )

    def mark_copied(self, groups: list[RecordGroup], member: str) -> None:
        """Note that a member has a copy, and confirm and free the receipts."""
        for group in groups:
            freed = RECEIPT_BYTES * len(group.receipts)
            group.witness = member
            group.size -= freed
            self.bytes_held -= freed
            group.confirm()

    def confirm(self, groups: list[RecordGroup]) -> None:
        """Remove the groups that the log has confirmed.

        Args:
            groups: Result of ``next_append``.
        """
        for group in groups:
            assert self.unconfirmed.popleft() is group
            self.bytes_held -= group.size
            group.confirm()
        if self.empty:
            self.not_empty.clear()


def _fit_append(groups: list[RecordGroup]) -> list[RecordGroup]:
    size = 0
    for count, group in enumerate(groups):
        size += sum(map(len, group.lines))
        if count and size > MAX_APPEND_BYTES:
            return groups[:count]
    return groups


def _memory_bytes(entry: messages.Entry) -> int:
    texts = len(entry.caller) + len(entry.request_id) + len(entry.body_hash)
    return ENTRY_OVERHEAD_BYTES + texts + len(entry.detail)
