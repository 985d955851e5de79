"""The ledger: takes account entries and gets them into the log."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable

from limpetstream import clock as clocks, errors
from limpetstream.accounts import (
    events,
    export as exports,
    messages,
    outbox as outboxes,
    stream as streams,
    witness as witnesses,
)
from limpetstream.telemetry import logs

COMMIT_INTERVAL_S = 0.05  # group commit; at most 20 appends a second
RETRY_DELAY_S = 0.5
COPY_AFTER_S = 0.15  # a healthy log answers within a few milliseconds
UNRESPONSIVE_AFTER_S = 1.0  # as long as a view of the log counts as fresh
MAX_WITNESS_AGE_S = 2.0
MAX_DETAIL_LENGTH = 300
DEFAULT_OUTAGE_BYTES = 67_108_864

Append = Callable[[list[str]], Awaitable[int]]


@dataclasses.dataclass(slots=True)
class Ledger:
    """Account entries of one instance.

    Args:
        instance: Id of this instance.
        append: Appends one frame to the accounts stream, within the append
            budget of the instance; raises ``errors.LogUnavailable``.
        stream: The accounts stream, for exports.
        witness: Copies entries to other members.
        clock: Time.
        outage_bytes: Memory for entries that are not in the log.
    """

    instance: str
    append: Append
    stream: streams.AccountStream
    witness: witnesses.WitnessClient
    clock: clocks.Clock
    outage_bytes: int = DEFAULT_OUTAGE_BYTES
    outbox: outboxes.Outbox = dataclasses.field(init=False)
    append_failing_since: float | None = None
    append_started_at: float | None = None
    _count: int = 0

    def __post_init__(self) -> None:
        """Number the records of this instance from 1."""
        encoder = messages.RecordEncoder(self.instance)
        self.outbox = outboxes.Outbox(self.instance, encoder)

    def record_receipt(
        self,
        caller: str,
        request_id: str,
        *,
        kind: str,
        received_ms: int,
        body_hash: str,
    ) -> outboxes.Receipt:
        """Note that a request was received; returns at once.

        Args:
            caller: Name of the caller.
            request_id: The caller's id of the request.
            kind: ``desk`` or ``job``.
            received_ms: Wall-clock time.
            body_hash: Hash of the body.
        """
        self._count += 1
        entry = messages.Entry(
            caller,
            request_id,
            kind,
            received_ms,
            messages.RECEIVED,
            0,
            body_hash,
            self.instance,
            self._count,
            "",
        )
        receipt = outboxes.Receipt(entry)
        self.outbox.add_receipt(receipt)
        return receipt

    def record_outcome(
        self, receipt: outboxes.Receipt, *, state: str, attempts: int, detail: str = ""
    ) -> None:
        """Note the outcome; a later call replaces what an earlier one said.

        Args:
            receipt: The receipt.
            state: ``answered``, ``not-run``, ``unknown`` or ``failed``.
            attempts: Times that the request was sent to a backend server.
            detail: Explanation for the caller.

        Raises:
            ValueError: There is no such state.
        """
        rank = messages.STATES.index(state)
        self.outbox.add_update(
            receipt.entry.with_state(rank, attempts, detail[:MAX_DETAIL_LENGTH])
        )

    async def wait_until_recorded(
        self, receipt: outboxes.Receipt, *, timeout_s: float
    ) -> None:
        """Wait until the received entry is in the log or at a witness.

        Args:
            receipt: The receipt.
            timeout_s: Longest wait in seconds.

        Raises:
            LogUnavailable: Neither happened in time; it still may.
        """
        if receipt.recorded:
            return
        waiter = asyncio.get_running_loop().create_future()
        receipt.waiters.append(waiter)
        done, _ = await asyncio.wait([waiter], timeout=max(0.0, timeout_s))
        if not done:
            receipt.waiters.remove(waiter)
            raise errors.LogUnavailable("the account entry was not confirmed in time")

    def can_record(self, now: float) -> bool:
        """Return whether new requests can be accounted for.

        Args:
            now: Monotonic time in seconds.
        """
        if self.outbox.bytes_held >= self.outage_bytes:
            return False
        if not self.is_log_unresponsive(now):
            return True
        return now - self.witness.last_reached_at < MAX_WITNESS_AGE_S

    def is_log_unresponsive(self, now: float) -> bool:
        """Return whether the log has failed or delayed appends for a while.

        Args:
            now: Monotonic time in seconds.
        """
        waits = (self.append_failing_since, self.append_started_at)
        return any(
            since is not None and now - since > UNRESPONSIVE_AFTER_S for since in waits
        )

    async def export(
        self, caller: str, *, after: str = "", limit: int = exports.MAX_LIMIT
    ) -> exports.Page:
        """Return one page of a caller's account; see ``export.export``."""
        return await exports.export(self.stream, caller, after=after, limit=limit)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Commit and copy entries while the context is open."""
        tasks = [
            asyncio.ensure_future(self.commit_forever()),
            asyncio.ensure_future(self.copy_forever()),
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def flush(self, *, timeout_s: float) -> bool:
        """Wait until everything is in the log, for a planned stop.

        Returns:
            Whether nothing is left in memory.
        """
        until = self.clock.monotonic() + timeout_s
        while not self.outbox.empty:
            if self.clock.monotonic() >= until:
                return False
            await self.clock.sleep(COMMIT_INTERVAL_S / 2)
        return True

    def accept_copy(self, member: str, body: bytes) -> None:
        """Take a copy from another member; serves ``/peer/v1/witness``.

        Args:
            member: Member that sent the message, as authenticated.
            body: Body of the message.

        Raises:
            Rejected: The message is not valid, or memory is short.
        """
        witnesses.accept_copy(member, body, self.keep_copies)

    def keep_copies(self, lines: list[str]) -> bool:
        """Keep a copy for another member; append it with the own entries.

        Returns:
            False when there is no memory left for it.
        """
        size = sum(map(len, lines))
        if self.outbox.bytes_held + size > self.outage_bytes:
            return False
        self.outbox.add_copies(lines)
        return True

    async def commit_forever(self) -> None:
        """Append entries to the log until cancelled."""
        last = float("-inf")
        while True:
            await self.outbox.not_empty.wait()
            await self.clock.sleep(last + COMMIT_INTERVAL_S - self.clock.monotonic())
            last = self.clock.monotonic()
            self.outbox.encode_pending()
            if not await self._append(self.outbox.next_append()):
                await self.clock.sleep(RETRY_DELAY_S)

    async def _append(self, batch: list[outboxes.RecordGroup]) -> bool:
        self.append_started_at = self.clock.monotonic()
        try:
            await self.append([line for frame in batch for line in frame.lines])
        except errors.LimpetstreamError as error:
            if self.append_failing_since is None:
                self.append_failing_since = self.clock.monotonic()
                logs.emit(events.LOG_UNRESPONSIVE, error=str(error))
            return False
        finally:
            self.append_started_at = None
        if self.append_failing_since is not None:
            self.append_failing_since = None
            logs.emit(events.LOG_RECOVERED)
        self.outbox.confirm(batch)
        return True

    async def copy_forever(self) -> None:
        """Copy entries to a witness while the log is silent."""
        while True:
            await self.outbox.not_empty.wait()
            await self.clock.sleep(COMMIT_INTERVAL_S)
            since = self.append_started_at
            waited = 0.0 if since is None else self.clock.monotonic() - since
            if self.append_failing_since is not None or waited >= COPY_AFTER_S:
                self.outbox.encode_pending()
                await self._copy()

    async def _copy(self) -> None:
        chosen = self.outbox.next_copy(self.witness.live_members())
        age = self.clock.monotonic() - self.witness.last_reached_at
        if not chosen and age < RETRY_DELAY_S:
            return
        lines = [line for frame in chosen for line in frame.lines]
        member = await self.witness.copy(lines)
        if member is None:
            await self.clock.sleep(RETRY_DELAY_S)
            return
        self.outbox.mark_copied(chosen, member)
