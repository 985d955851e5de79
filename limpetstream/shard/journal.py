"""Writes the durable state of one shard with group commit.

The writer epoch of the partition fences earlier owners: the store rejects
their appends, including those that arrive late. Values are encoded when they
are written, so that many changes of one job need only one record.
"""

import asyncio
import random
from collections.abc import Callable

from limpetstream import clock as clock_module, errors
from limpetstream.shard import events, names
from limpetstream.store import messages
from limpetstream.telemetry import logs

INITIAL_TIMEOUT_S = 0.25  # Fifty times the store's usual response time of 4 ms.
MAX_TIMEOUT_S = 2.0
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.4
MAX_APPEND_BYTES = 1_000_000  # Half of the store's limit for one call.
FAST_APPEND_S = 0.1  # Appends up to this halve the timeout again.

Encode = Callable[[], bytes | None]


class Journal:
    """Commits keyed values of one shard in groups, for one owner.

    Args:
        store: Store of keyed topics.
        partition: Partition of the shard.
        epoch: Epoch of this owner; the claim has used sequence number 0.
        clock: Source of time.
    """

    def __init__(
        self,
        store: messages.Store,
        partition: int,
        epoch: int,
        clock: clock_module.Clock,
    ) -> None:
        self.append_count = 0
        self.appended_bytes = 0
        # Start of the first try of the newest confirmed append: the store may
        # answer a repeat like the first try, also after a claim by another.
        self.confirmed_at = float("-inf")
        self.failing_since: float | None = None
        self._store = store
        self._partition = partition
        self._epoch = epoch
        self._clock = clock
        self._sequence = 1
        self._is_appending = False
        self._encode_by_key: dict[str, Encode] = {}
        # In the order of the keys' first puts since they were last appended.
        self._first_put_by_key: dict[str, int] = {}
        self._waiting: list[tuple[int, asyncio.Future[None]]] = []
        self._put_count = 0
        self._durable_count = 0
        self._wake = asyncio.Event()
        self._ended_by: Exception | None = None
        self._timeout_s = INITIAL_TIMEOUT_S

    def put(self, key: str, encode: Encode) -> None:
        """Queue a key for the next append.

        Args:
            key: Key to write.
            encode: Called at the time of the append; returns the value, or
                None to delete the key.
        """
        self._encode_by_key[key] = encode
        self._put_count += 1
        self._first_put_by_key.setdefault(key, self._put_count)
        self._wake.set()

    @property
    def is_pending(self) -> bool:
        """Whether something that was queued is not durable yet."""
        return self._durable_count < self._put_count

    async def wait_until_durable(self) -> None:
        """Wait until everything queued so far is durable.

        Raises:
            WriterFenced: Another owner has taken over.
            NotOwner: The ownership has ended.
        """
        if self._durable_count == self._put_count:
            return
        if self._ended_by is not None:
            raise self._ended_by
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((self._put_count, future))
        await future

    async def run(self) -> None:
        """Append what is queued, one append at a time, until fenced.

        Raises:
            WriterFenced: Another owner has taken over.
        """
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self._encode_by_key:
                    await self._commit()
        except errors.WriterFenced as error:
            self.fail_waiters(error)
            raise

    async def append_last(self, entry: messages.Entry, *, timeout_s: float) -> None:
        """Append one more entry after ``run`` has been cancelled.

        Whether the append that was under way then has taken effect is not
        known; the store tells by the sequence number that it expects.

        Raises:
            PlatformUnavailable: It may have been appended.
            SequenceConflict: It was not appended.
            WriterFenced: Another owner has taken over.
        """
        sequence = self._sequence + self._is_appending
        try:
            await self._append_once(entry, sequence, timeout_s)
        except errors.SequenceConflict as error:
            await self._append_once(entry, error.expected, timeout_s)
            # The append under way may have taken that number just before, and
            # the store has then confirmed this one as its repeat.
            await self._append_once(entry, error.expected + 1, timeout_s)

    async def _append_once(
        self, entry: messages.Entry, sequence: int, timeout_s: float
    ) -> None:
        await self._store.append(
            names.PROGRESS_TOPIC,
            self._partition,
            [entry],
            writer=messages.Writer(names.WRITER, self._epoch, sequence),
            timeout_s=timeout_s,
        )

    def fail_waiters(self, error: Exception) -> None:
        """Fail all waits: what is queued will not become durable."""
        self._ended_by = error
        waiting, self._waiting = self._waiting, []
        for _, future in waiting:
            if not future.done():
                future.set_exception(error)
                future.exception()  # Marks it as retrieved; nobody may be waiting.

    async def _commit(self) -> None:
        count = self._put_count
        entries = self._take_entries()
        await self._append(entries)
        # Entries beyond the size limit are left for the next append.
        first_left = next(iter(self._first_put_by_key.values()), count + 1)
        self._durable_count = min(count, first_left - 1)
        waiting, self._waiting = self._waiting, []
        for put_count, future in waiting:
            if put_count > self._durable_count:
                self._waiting.append((put_count, future))
            elif not future.done():
                future.set_result(None)

    def _take_entries(self) -> list[messages.Entry]:
        entries, size = [], 0
        for key in list(self._encode_by_key):
            # Encoding a value may queue its key again.
            del self._first_put_by_key[key]
            value = self._encode_by_key.pop(key)()
            entries.append(messages.Entry(key, value))
            size += len(key) + len(value or b"")
            if size >= MAX_APPEND_BYTES:
                break
        self.appended_bytes += size
        return entries

    async def _append(self, entries: list[messages.Entry]) -> None:
        """Append until the store confirms it, under one sequence number."""
        writer = messages.Writer(names.WRITER, self._epoch, self._sequence)
        backoff_s = INITIAL_BACKOFF_S
        first_started_at = self._clock.monotonic()
        self._is_appending = True
        while True:
            started_at = self._clock.monotonic()
            try:
                await self._store.append(
                    names.PROGRESS_TOPIC,
                    self._partition,
                    entries,
                    writer=writer,
                    timeout_s=self._timeout_s,
                )
                break
            except errors.SequenceConflict as error:
                if error.expected == self._sequence + 1:
                    break  # An earlier try took effect, but its answer was lost.
                raise errors.WriterFenced(str(error)) from error
            except errors.PlatformUnavailable as error:
                if self.failing_since is None:
                    self.failing_since = started_at
                    logs.emit(
                        events.JOURNAL_FAILING,
                        shard=self._partition,
                        epoch=self._epoch,
                        error=str(error),
                    )
                if not error.not_applied:
                    self._timeout_s = min(MAX_TIMEOUT_S, self._timeout_s * 2)
            await self._clock.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        self.confirmed_at = first_started_at
        self._note_success(started_at, len(entries))

    def _note_success(self, started_at: float, count: int) -> None:
        self._sequence += 1
        self._is_appending = False
        self.append_count += 1
        now = self._clock.monotonic()
        if now - started_at <= FAST_APPEND_S:
            self._timeout_s = max(INITIAL_TIMEOUT_S, self._timeout_s / 2)
        if self.failing_since is not None:
            logs.emit(
                events.JOURNAL_RESTORED,
                shard=self._partition,
                epoch=self._epoch,
                records=count,
                after_s=round(now - self.failing_since, 3),
            )
            self.failing_since = None
