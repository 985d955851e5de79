"""Follows one partition of a keyed topic, starting from its newest values."""

import asyncio
import dataclasses
from collections.abc import Callable

from limpetstream import clock as clock_module, errors
from limpetstream.store import messages

# A store that does not answer should not delay a start for long. This is twice
# the response time of a store that is fifty times slower than usual.
INITIAL_LOAD_TIMEOUT_S = 0.5
MAX_LOAD_TIMEOUT_S = 2.0
READ_MARGIN_S = 0.7  # What a read may take in addition to its requested wait.
# For the call after one whose answer was cut off: the largest answer of the
# store, 1 MB, at 2 Mbit/s.
LONG_ANSWER_S = 4.0
# While a read is due, it is sent again at this interval until one is answered,
# so that a few lost answers do not use up the time for a proof of freshness.
READ_INTERVAL_S = 0.3
MAX_READS = 7
INITIAL_DUE_TIMEOUT_S = 1.5
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5

Apply = Callable[[list[messages.Entry], bool], None]


@dataclasses.dataclass(slots=True)
class Follower:
    """Reads a partition continuously and passes its entries to a callback.

    Args:
        store: Store of keyed topics.
        topic: Topic.
        partition: Partition.
        clock: Source of time.
        apply: Called with entries in the order of their offsets, and with
            whether they are the newest values of all keys. If so, all other
            keys have been removed.
        wait_s: How long a read waits for a record; 0 for not at all.
        pause_s: Pause between reads, so that one read returns several records.
        on_failure: Called with the error when reading begins to fail.
        on_recovery: Called with the seconds since then when it works again.
        on_read: Called with the monotonic time before a read or load was sent
            once everything up to the end that it told has been applied.
        is_read_due: Returns whether a read should return at once instead of
            waiting for a record. Further ones are then sent beside one that
            is not answered. None if that is never so.
        position: Offset at which the next read starts; None to load all
            values.
        read_at: Monotonic time before the newest read that was answered.
        failing_since: Monotonic time at which reading began to fail; None
            while it works.
        load_timeout_s: Time limit of the next load; it grows with failures.
        read_margin_s: What the next read may take in addition to its wait.
        due_timeout_s: Time limit of reads that are due; it grows with
            failures.
        is_at_end: Whether the newest answer left no record unread.
    """

    store: messages.Store
    topic: str
    partition: int
    clock: clock_module.Clock
    apply: Apply
    wait_s: float
    pause_s: float = 0.0
    on_failure: Callable[[Exception], None] = lambda error: None
    on_recovery: Callable[[float], None] = lambda after_s: None
    on_read: Callable[[float], None] = lambda sent_at: None
    is_read_due: Callable[[], bool] | None = None
    position: int | None = None
    read_at: float = float("-inf")
    failing_since: float | None = None
    load_timeout_s: float = INITIAL_LOAD_TIMEOUT_S
    read_margin_s: float = READ_MARGIN_S
    due_timeout_s: float = INITIAL_DUE_TIMEOUT_S
    is_at_end: bool = True

    async def load(self) -> None:
        """Read the newest value of every key.

        Raises:
            PlatformUnavailable: The store returned no usable answer.
        """
        sent_at = self.clock.monotonic()
        try:
            page = await self.store.newest(
                self.topic, self.partition, timeout_s=self.load_timeout_s
            )
        except errors.PlatformUnavailable as error:
            self.load_timeout_s = next_load_timeout_s(self.load_timeout_s, error)
            raise
        self.load_timeout_s = INITIAL_LOAD_TIMEOUT_S
        self.apply(page.entries, True)
        self.position = page.end
        self.read_at = sent_at
        self.is_at_end = True
        self.on_read(sent_at)

    async def advance(self, *, wait_s: float, margin_s: float | None = None) -> None:
        """Read once from the current position; without one, load all values.

        Args:
            wait_s: How long the read waits for a record.
            margin_s: What it may take in addition; None for
                ``read_margin_s``.

        Raises:
            PlatformUnavailable: The store returned no usable answer.
        """
        if self.position is None:
            await self.load()
            return
        sent_at = self.clock.monotonic()
        try:
            page = await self.store.read(
                self.topic,
                self.partition,
                self.position,
                wait_s=wait_s,
                timeout_s=wait_s + (margin_s or self.read_margin_s),
            )
        except errors.OffsetExpired:
            self.position = None
            await self.load()
            return
        except errors.PlatformUnavailable as error:
            self.read_margin_s = LONG_ANSWER_S if error.answer_began else READ_MARGIN_S
            raise
        self.read_margin_s = READ_MARGIN_S
        # Another call may have advanced the position in the meantime. An older
        # value must not replace a newer one that it has applied.
        start = self.position or 0
        entries = [entry for entry in page.entries if entry.offset >= start]
        if entries:
            self.apply(entries, False)
            self.position = entries[-1].offset + 1
        self.read_at = sent_at
        # An answer holds a limited number of bytes.
        self.is_at_end = (self.position or 0) >= page.end
        if self.is_at_end:
            self.on_read(sent_at)

    async def run(self) -> None:
        """Follow the partition until cancelled; failed reads are repeated."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                if self.is_read_due is None:
                    await self.advance(wait_s=self.wait_s)
                else:
                    await self._advance_in_time(self.is_read_due)
            except errors.PlatformUnavailable as error:
                if self.failing_since is None:
                    self.failing_since = self.clock.monotonic()
                    self.on_failure(error)
                await self.clock.sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                continue
            backoff_s = INITIAL_BACKOFF_S
            if self.failing_since is not None:
                self.on_recovery(self.clock.monotonic() - self.failing_since)
                self.failing_since = None
            if self.pause_s:
                await self.clock.sleep(self.pause_s)

    async def _advance_in_time(self, is_read_due: Callable[[], bool]) -> None:
        """Read once; while a read is due, send more until one is answered.

        Raises:
            PlatformUnavailable: None of the reads was answered, or an answer
                was cut off.
        """
        # A read with records before it returns at once in any case.
        is_due = self.is_at_end and is_read_due()
        wait_s = 0.0 if is_due else self.wait_s
        # Further reads would delay a large answer, once it was cut off.
        is_cut_off = self.read_margin_s == LONG_ANSWER_S
        max_reads = 1 if is_cut_off else MAX_READS
        due_margin_s = LONG_ANSWER_S if is_cut_off else self.due_timeout_s
        first = self.advance(wait_s=wait_s, margin_s=due_margin_s if is_due else None)
        reads, sent = {asyncio.create_task(first)}, 1
        timeout_s = wait_s + READ_INTERVAL_S
        try:
            while True:
                ended, reads = await asyncio.wait(
                    reads, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                failures = [read.exception() for read in ended]
                if None in failures:
                    self.due_timeout_s = INITIAL_DUE_TIMEOUT_S
                    return
                for error in failures:
                    if not isinstance(error, errors.PlatformUnavailable):
                        raise error
                    if reads and not error.answer_began:
                        continue
                    if is_due or sent > 1:
                        # A store that answers late is reached in the end.
                        self.due_timeout_s = next_load_timeout_s(due_margin_s, error)
                    raise error
                timeout_s = READ_INTERVAL_S
                if sent < max_reads and is_read_due():
                    sent += 1
                    read = self.advance(wait_s=0.0, margin_s=due_margin_s)
                    reads.add(asyncio.create_task(read))
        finally:
            for read in reads:
                read.cancel()


def next_load_timeout_s(timeout_s: float, error: errors.PlatformUnavailable) -> float:
    """Return the time limit of a load, in seconds, after one that has failed.

    Args:
        timeout_s: Time limit of the load that has failed.
        error: How it has failed.
    """
    if error.answer_began:
        return LONG_ANSWER_S
    return min(MAX_LOAD_TIMEOUT_S, 2 * timeout_s)
