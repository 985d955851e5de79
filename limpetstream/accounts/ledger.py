"""Records account entries of one instance and appends them to the log.

While the log is unresponsive, copies of the entries go to another member.
"""

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
UNRESPONSIVE_AFTER_S = 1.0  # same as the age limit of a fresh view of the log
MAX_WITNESS_AGE_S = 2.0
MAX_DETAIL_LENGTH = 300
DEFAULT_OUTAGE_BYTES = 67_108_864

Append = Callable[[list[str]], Awaitable[int]]


@dataclasses.dataclass(slots=True)
class Ledger:
    """Records the account entries of one instance.

    Args:
        instance: Id of this instance.
        append: Appends one frame to the accounts stream, within the append
            budget of the instance; raises ``errors.LogUnavailable``.
        stream: The accounts stream, for exports.
        witness: Copies entries to other members.
        clock: Source of monotonic and wall-clock time.
        outage_bytes: Limit in bytes of the memory for entries that are not
            in the log.
        outbox: Entries that the log has not confirmed.
        append_failing_since: Monotonic time of the first failed append since
            the last successful one, or None.
        append_started_at: Monotonic time at which the append in flight
            started, or None.
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
    _receipt_count: int = 0

    def __post_init__(self) -> None:
        """Create the outbox; record numbers of this instance start at 1."""
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
        """Queue the entry of a received request without waiting for the log.

        Args:
            caller: Name of the caller.
            request_id: The caller's id of the request.
            kind: ``desk`` or ``job``.
            received_ms: Wall-clock time.
            body_hash: Hash of the request's body.

        Returns:
            The receipt, to be passed to ``record_outcome`` and
            ``wait_until_recorded``.
        """
        self._receipt_count += 1
        entry = messages.Entry(
            caller,
            request_id,
            kind,
            received_ms,
            messages.RECEIVED,
            0,
            body_hash,
            self.instance,
            self._receipt_count,
            "",
        )
        receipt = outboxes.Receipt(entry)
        self.outbox.add_receipt(receipt)
        return receipt

    def record_outcome(
        self, receipt: outboxes.Receipt, *, state: str, attempts: int, detail: str = ""
    ) -> None:
        """Queue the outcome of a request.

        Outcomes of several calls are merged: the state of highest rank and
        the largest number of attempts count.

        Args:
            receipt: Receipt of the request.
            state: ``answered``, ``not-run``, ``unknown`` or ``failed``.
            attempts: Number of times that the request was sent to a backend
                server.
            detail: Explanation for the caller, cut to ``MAX_DETAIL_LENGTH``
                characters.

        Raises:
            ValueError: The state is unknown.
        """
        rank = messages.STATES.index(state)
        self.outbox.add_update(
            receipt.entry.with_state(rank, attempts, detail[:MAX_DETAIL_LENGTH])
        )

    async def wait_until_recorded(
        self, receipt: outboxes.Receipt, *, timeout_s: float
    ) -> None:
        """Wait until a receipt's first entry is in the log or at a witness.

        Args:
            receipt: Receipt of the request.
            timeout_s: Time-out in seconds.

        Raises:
            LogUnavailable: The wait timed out; the entry may still be
                recorded later.
        """
        if receipt.recorded:
            return
        waiter = asyncio.get_running_loop().create_future()
        receipt.waiters.append(waiter)
        done, _ = await asyncio.wait([waiter], timeout=max(0.0, timeout_s))
        if not done:
            receipt.waiters.remove(waiter)
            raise errors.LogUnavailable(
                "account entry was not recorded within the time-out"
            )

    def can_record(self, now: float) -> bool:
        """Return whether entries of new requests can be recorded now.

        That takes memory, and either the log or a witness.

        Args:
            now: Monotonic time in seconds.
        """
        if self.outbox.bytes_held >= self.outage_bytes:
            return False
        if not self.is_log_unresponsive(now):
            return True
        return now - self.witness.last_reached_at < MAX_WITNESS_AGE_S

    def is_log_unresponsive(self, now: float) -> bool:
        """Return whether appends have failed or hung beyond the threshold.

        The threshold is ``UNRESPONSIVE_AFTER_S``.

        Args:
            now: Monotonic time in seconds.
        """
        wait_starts = (self.append_failing_since, self.append_started_at)
        return any(
            since is not None and now - since > UNRESPONSIVE_AFTER_S
            for since in wait_starts
        )

    async def export(
        self, caller: str, *, after: str = "", limit: int = exports.MAX_LIMIT
    ) -> exports.Page:
        """Return one page of a caller's account; see ``export.export``."""
        return await exports.export(self.stream, caller, after=after, limit=limit)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the commit and copy loops while the context is open."""
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
        """Wait until the log has confirmed all entries, for a planned stop.

        Args:
            timeout_s: Time-out in seconds.

        Returns:
            False if entries are still unconfirmed at the time-out.
        """
        deadline = self.clock.monotonic() + timeout_s
        while not self.outbox.empty:
            if self.clock.monotonic() >= deadline:
                return False
            await self.clock.sleep(COMMIT_INTERVAL_S / 2)
        return True

    def accept_copy(self, member: str, body: bytes) -> None:
        """Store copies from another member; serves ``/peer/v1/witness``.

        Args:
            member: Member that sent the message, as authenticated.
            body: Body of the message.

        Raises:
            Rejected: The message is invalid, or there is no memory for it.
        """
        witnesses.accept_copy(member, body, self.keep_copies)

    def keep_copies(self, lines: list[str]) -> bool:
        """Keep copies for another member and append them to the log.

        Args:
            lines: Records that the other member wrote.

        Returns:
            False if the copies would exceed ``outage_bytes``.
        """
        size = sum(map(len, lines))
        if self.outbox.bytes_held + size > self.outage_bytes:
            return False
        self.outbox.add_copies(lines)
        return True

    async def commit_forever(self) -> None:
        """Append entries to the log, in group commits, until cancelled."""
        last_commit_at = float("-inf")
        while True:
            await self.outbox.not_empty.wait()
            await self.clock.sleep(
                last_commit_at + COMMIT_INTERVAL_S - self.clock.monotonic()
            )
            last_commit_at = self.clock.monotonic()
            self.outbox.encode_pending()
            if not await self._append(self.outbox.next_append()):
                await self.clock.sleep(RETRY_DELAY_S)

    async def _append(self, groups: list[outboxes.RecordGroup]) -> bool:
        self.append_started_at = self.clock.monotonic()
        try:
            await self.append([line for group in groups for line in group.lines])
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
        self.outbox.confirm(groups)
        return True

    async def copy_forever(self) -> None:
        """Copy entries to a witness while the log is unresponsive."""
        while True:
            await self.outbox.not_empty.wait()
            await self.clock.sleep(COMMIT_INTERVAL_S)
            since = self.append_started_at
            waited_s = 0.0 if since is None else self.clock.monotonic() - since
            if self.append_failing_since is not None or waited_s >= COPY_AFTER_S:
                self.outbox.encode_pending()
                await self._copy()

    async def _copy(self) -> None:
        groups = self.outbox.next_copy(self.witness.live_members())
        witness_age_s = self.clock.monotonic() - self.witness.last_reached_at
        if not groups and witness_age_s < RETRY_DELAY_S:
            return
        lines = [line for group in groups for line in group.lines]
        member = await self.witness.copy(lines)
        if member is None:
            await self.clock.sleep(RETRY_DELAY_S)
            return
        self.outbox.mark_copied(groups, member)
