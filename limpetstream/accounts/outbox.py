"""Account entries on their way into the log, in bounded memory."""

import asyncio
import collections
import dataclasses
import itertools

from limpetstream.accounts import messages
from limpetstream.records import committer

# With texts of the greatest length, one record still fits a frame.
MAX_RECORD_ENTRIES = 200
# A larger frame is refused by the stream's writer and would stay first in
# line for ever: no entry after a long outage would reach the log.
MAX_APPEND_BYTES = committer.FRAME_MAX_BYTES
ENTRY_OVERHEAD = 700  # of an entry and its receipt; 620 bytes were measured
RECEIPT_BYTES = 520  # of that, what a receipt holds until it is confirmed


@dataclasses.dataclass(slots=True, eq=False)
class Receipt:
    """A request that was received here.

    Args:
        entry: Its entry as it was received.
        safe: Whether that entry is in the log or at a witness.
        waiters: Futures that become done when it is.
    """

    entry: messages.Entry
    safe: bool = False
    waiters: list[asyncio.Future[None]] = dataclasses.field(default_factory=list)

    def confirm(self) -> None:
        """Tell everyone who waits that the entry is safe."""
        self.safe = True
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()


@dataclasses.dataclass(slots=True, eq=False)
class Frame:
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
        writer: Numbers its records on the accounts stream.
        bytes_held: Memory in use, in bytes.
        frames: Records, oldest first.
        work: Set while there is anything to send.
    """

    instance: str
    writer: messages.Writer
    bytes_held: int = 0
    frames: collections.deque[Frame] = dataclasses.field(
        default_factory=collections.deque
    )
    work: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    _pending: dict[int, messages.Entry] = dataclasses.field(default_factory=dict)
    _receipts: dict[int, Receipt] = dataclasses.field(default_factory=dict)

    @property
    def empty(self) -> bool:
        """Whether the log has confirmed everything."""
        return not self._pending and not self.frames

    def receive(self, receipt: Receipt) -> None:
        """Take the first entry of a receipt."""
        self._receipts[receipt.entry.number] = receipt
        first = receipt.entry
        pending = first.later(first.state, 0, "")
        pending.body_hash = first.body_hash
        self._add(pending)

    def update(self, later: messages.Entry) -> None:
        """Take a later entry; it joins one that is not on its way yet."""
        pending = self._pending.get(later.number)
        if pending is None:
            self._add(later)
            return
        before = _size(pending)
        pending.join(later)
        self.bytes_held += _size(pending) - before

    def _add(self, entry: messages.Entry) -> None:
        self._pending[entry.number] = entry
        self.bytes_held += _size(entry)
        self.work.set()

    def hold(self, lines: list[str]) -> None:
        """Take records that another member wrote."""
        for line in lines:
            self.frames.append(Frame([line], len(line), witness=self.instance))
            self.bytes_held += len(line)
        self.work.set()

    def cut(self) -> None:
        """Turn pending entries into records, which never change again."""
        while self._pending:
            chosen = list(itertools.islice(self._pending, MAX_RECORD_ENTRIES))
            entries = [self._pending.pop(number) for number in chosen]
            receipts = [
                self._receipts.pop(number)
                for number in chosen
                if number in self._receipts
            ]
            batch = messages.batch_of(self.instance, entries)
            line = self.writer.line(messages.BATCH, batch)
            size = len(line) + RECEIPT_BYTES * len(receipts)
            self.bytes_held += size - sum(map(_size, entries))
            self.frames.append(Frame([line], size, receipts))

    def next_append(self) -> list[Frame]:
        """Return the oldest frames, as many as fit one append."""
        return _within(list(self.frames))

    def next_copy(self, live: set[str]) -> list[Frame]:
        """Return frames of which no live member has a copy.

        Args:
            live: Members whose process has not ended.
        """
        have = live | {self.instance}
        return _within([each for each in self.frames if each.witness not in have])

    def copied(self, chosen: list[Frame], member: str) -> None:
        """Note that a member has a copy; receipts need not be kept longer."""
        for frame in chosen:
            freed = RECEIPT_BYTES * len(frame.receipts)
            frame.witness = member
            frame.size -= freed
            self.bytes_held -= freed
            frame.confirm()

    def confirm(self, batch: list[Frame]) -> None:
        """Forget frames that the log has confirmed.

        Args:
            batch: What ``next_append`` returned.
        """
        for frame in batch:
            assert self.frames.popleft() is frame
            self.bytes_held -= frame.size
            frame.confirm()
        if self.empty:
            self.work.clear()


def _within(frames: list[Frame]) -> list[Frame]:
    size = 0
    for count, frame in enumerate(frames):
        size += sum(map(len, frame.lines))
        if count and size > MAX_APPEND_BYTES:
            return frames[:count]
    return frames


def _size(entry: messages.Entry) -> int:
    texts = len(entry.caller) + len(entry.request_id) + len(entry.body_hash)
    return ENTRY_OVERHEAD + texts + len(entry.detail)
