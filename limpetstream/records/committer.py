"""Appends records in groups, and returns their results as read back.

A group is one frame of the log. Whether a record is void depends on those
before it, so its result is known only when the view has read it.
"""

import asyncio
import collections
import dataclasses
import random
from typing import Any

import msgspec

from limpetstream import clock, errors
from limpetstream.records import _pending, budget, codec, events, follower, view
from limpetstream.telemetry import logs

MAX_FRAME_BYTES = 256 * 1024
MAX_FRAME_RECORDS = 500
# Limits of the records that wait to be sent or to be read back.
MAX_PENDING_BYTES = 8 * 1024 * 1024
MAX_PENDING_RECORDS = 10_000
# Reserved for urgent records, so that renewals are accepted during a backlog.
# The limit of bytes does not apply to urgent records.
URGENT_RESERVE_RECORDS = 100
# Of one attempt.
APPEND_TIMEOUT_S = 2.0
# While a frame has been failing for less than this, each resend also takes the
# records that have arrived since, so that the backlog of a short outage goes
# into one frame. Later resends would only add records whose callers have given
# up, and which can no longer be withdrawn once sent.
RESEND_EXTEND_LIMIT_S = 2.0
# Estimate for the keys, checksum, writer and numbers of an envelope.
ENVELOPE_BYTES = 160


@dataclasses.dataclass(slots=True)
class Committer:
    """Appends the records of this process to the stream that the view reads.

    The writer id belongs to this process alone and is never reused, so a frame
    that is sent twice is applied only once.

    Args:
        log: Client of the log.
        stream: Name of the stream.
        view: View that reads the records back.
        writer: Id of this process.
        clock: Clock of this process.
        random: Source of the jitter between attempts.
        budget: Append budget shared with the other streams.
        sequence: Sequence number of the last record that was put in a frame.
        in_flight_since: Monotonic time in seconds at which the frame in flight
            was first sent; None if there is none.
        retired: Whether ``retire`` was called.
    """

    log: Any
    stream: str
    view: view.View
    writer: str
    clock: clock.Clock
    random: random.Random
    budget: budget.AppendBudget
    sequence: int = 0
    in_flight_since: float | None = None
    retired: bool = False
    _urgent: collections.deque[_pending.PendingRecord] = dataclasses.field(
        default_factory=collections.deque
    )
    _normal: collections.deque[_pending.PendingRecord] = dataclasses.field(
        default_factory=collections.deque
    )
    _sent_by_sequence: dict[int, _pending.PendingRecord] = dataclasses.field(
        default_factory=dict
    )
    _frame: _pending.Frame | None = None
    _pending_bytes: int = 0
    _has_waiting: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.view.listeners.append(self._on_entry)
        self.view.restart_listeners.append(self._on_view_restart)

    @property
    def pending_records(self) -> int:
        """Number of records that wait to be sent or to be read back."""
        return len(self._urgent) + len(self._normal) + len(self._sent_by_sequence)

    @property
    def pending_bytes(self) -> int:
        """Approximate bytes of the records that wait."""
        return self._pending_bytes

    def unconfirmed_s(self, now: float) -> float:
        """Return for how many seconds the frame in flight is unconfirmed.

        It is 0.0 if no frame is in flight.

        Args:
            now: Monotonic time in seconds.
        """
        return 0.0 if self.in_flight_since is None else now - self.in_flight_since

    async def append(
        self,
        kind: str,
        body: Any,
        *,
        resource: str | None = None,
        epoch: int = 0,
        timeout_s: float | None = 5.0,
        urgent: bool = False,
    ) -> view.ApplyResult:
        """Append one record and wait until it has been read back.

        Args:
            kind: Kind of the record; its newest registered version is written.
            body: Dataclass instance of that kind.
            resource: Resource whose right the writer uses.
            epoch: Epoch of that right.
            timeout_s: Seconds to wait; None waits until the record was read
                back or failed.
            urgent: Whether the record is sent before others that wait.

        Returns:
            The place of the record in the log, and whether it is void.

        Raises:
            LogUnavailable: The record was not read back in time. If it was not
                sent yet, it is withdrawn; otherwise it may still take effect.
            ValueError: The record does not fit in a frame.
        """
        record = self._enqueue(kind, body, resource, epoch, urgent)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(record.future)
        except TimeoutError as error:
            raise errors.LogUnavailable(
                f"{kind} record was not read back from the log in time"
            ) from error
        finally:
            self._withdraw_unsent(record)

    async def run(self) -> None:
        """Send frames, one in flight, until the task is cancelled."""
        while True:
            await self._has_waiting.wait()
            await self.budget.acquire()
            frame = self._build_frame()
            if frame is not None:
                await self._send_until_in_log(frame)

    def retire(self) -> None:
        """Stop sending and fail all records, since this member was removed."""
        self.retired = True
        if self._frame is not None:
            self._frame.in_log.set()
        for record in [*self._urgent, *self._normal, *self._sent_by_sequence.values()]:
            self._fail(record, "this instance is no longer a member")
        self._urgent.clear()
        self._normal.clear()
        self._sent_by_sequence.clear()
        self._pending_bytes = 0

    def _enqueue(
        self, kind: str, body: Any, resource: str | None, epoch: int, urgent: bool
    ) -> _pending.PendingRecord:
        if self.retired:
            raise errors.LogUnavailable("this instance is no longer a member")
        size = len(msgspec.json.encode(body)) + ENVELOPE_BYTES
        if size > MAX_FRAME_BYTES:
            raise ValueError(
                f"{kind} record too large: a frame has at most {MAX_FRAME_BYTES} bytes"
            )
        reserve = 0 if urgent else URGENT_RESERVE_RECORDS
        if (
            self.pending_records + reserve >= MAX_PENDING_RECORDS
            or self._pending_bytes + size > MAX_PENDING_BYTES
            and not urgent
        ):
            logs.emit(events.PENDING_FULL, records=self.pending_records)
            raise errors.LogUnavailable(
                "too many records or bytes are waiting to be appended"
            )
        future = asyncio.get_running_loop().create_future()
        record = _pending.PendingRecord(kind, body, resource, epoch, size, future)
        (self._urgent if urgent else self._normal).append(record)
        self._pending_bytes += size
        self._has_waiting.set()
        return record

    def _withdraw_unsent(self, record: _pending.PendingRecord) -> None:
        """Remove a record whose caller no longer waits, unless it was sent."""
        if record.sequence or record.future.done():
            return
        for queue in (self._urgent, self._normal):
            if record in queue:
                queue.remove(record)
                self._pending_bytes -= record.size

    def _build_frame(self) -> _pending.Frame | None:
        frame = _pending.Frame()
        self._move_waiting_into(frame)
        return frame if frame.lines else None

    def _move_waiting_into(self, frame: _pending.Frame) -> None:
        """Move waiting records into a frame, urgent ones first."""
        for queue in (self._urgent, self._normal):
            while queue and len(frame.lines) < MAX_FRAME_RECORDS:
                if frame.lines and frame.size + queue[0].size > MAX_FRAME_BYTES:
                    break
                record = queue.popleft()
                frame.size += record.size
                frame.lines.append(self._encode_next(record))
        frame.last_sequence = self.sequence
        if not (self._urgent or self._normal):
            self._has_waiting.clear()

    def _encode_next(self, record: _pending.PendingRecord) -> str:
        self.sequence += 1
        record.sequence = self.sequence
        self._sent_by_sequence[record.sequence] = record
        return codec.encode(
            codec.Envelope(
                k=record.kind,
                v=self.view.registry.version_by_kind[record.kind],
                w=self.writer,
                n=record.sequence,
                b=record.body,
                r=record.resource,
                e=record.epoch,
            )
        )

    async def _send_until_in_log(self, frame: _pending.Frame) -> None:
        """Send one frame until an append succeeds or its records are read."""
        self._frame = frame
        self.in_flight_since = self.clock.monotonic()
        failing_s = 0.0
        while not frame.in_log.is_set() and not self.retired:
            if await self._send_once(frame):
                break
            if not failing_s:
                logs.emit(events.APPEND_FAILED, stream=self.stream)
            failing_s = self.unconfirmed_s(self.clock.monotonic())
            pause_s = follower.backoff_s(failing_s, self.random)
            await _pending.wait_for_first(
                frame.in_log.wait(), self.clock.sleep(pause_s)
            )
            await self.budget.acquire()
            if failing_s < RESEND_EXTEND_LIMIT_S and not frame.in_log.is_set():
                self._move_waiting_into(frame)
        self.in_flight_since = None
        self._frame = None

    async def _send_once(self, frame: _pending.Frame) -> bool:
        append_task = asyncio.ensure_future(self.log.append(self.stream, frame.lines))
        await _pending.wait_for_first(
            append_task,
            frame.in_log.wait(),
            self.clock.sleep(APPEND_TIMEOUT_S),
            keep=append_task,
        )
        if frame.in_log.is_set():
            append_task.cancel()
            return True
        if not append_task.done():
            append_task.cancel()
        elif append_task.exception() is None:
            return True
        elif not isinstance(append_task.exception(), errors.LogUnavailable):
            append_task.result()
        return False

    def _on_entry(self, entry: view.Entry, apply_result: view.ApplyResult) -> None:
        if entry.writer != self.writer:
            return
        record = self._sent_by_sequence.pop(entry.sequence, None)
        if record is not None:
            self._pending_bytes -= record.size
            if not record.future.done():
                record.future.set_result(apply_result)
        if self._frame is not None and entry.sequence >= self._frame.last_sequence:
            self._frame.in_log.set()
        if entry.sequence == self.sequence and self._sent_by_sequence:
            # The last record that was sent has been read. Records are read in
            # the order in which they were sent, so those that are left could
            # not be decoded by this instance.
            self._fail_sent(entry.sequence, "the record could not be read back")

    def _on_view_restart(self) -> None:
        """Fail the records whose results were skipped by a snapshot."""
        applied = self.view.sequence_by_writer.get(self.writer, 0)
        self._fail_sent(applied, "the result was skipped by loading a snapshot")
        if self._frame is not None and applied >= self._frame.last_sequence:
            self._frame.in_log.set()

    def _fail_sent(self, upto: int, reason: str) -> None:
        for sequence in [n for n in self._sent_by_sequence if n <= upto]:
            record = self._sent_by_sequence.pop(sequence)
            self._pending_bytes -= record.size
            self._fail(record, reason)

    @staticmethod
    def _fail(record: _pending.PendingRecord, reason: str) -> None:
        if not record.future.done():
            record.future.set_exception(errors.LogUnavailable(reason))
            # Marks the exception as retrieved, since nobody may wait for it.
            record.future.exception()


@dataclasses.dataclass(slots=True)
class StreamWriter:
    """Appends lines to a stream that is not read back, such as ``accounts``.

    One append is in flight at a time. It is sent again if the answer was lost,
    so lines can be in the stream twice; the readers remove duplicates.

    Args:
        log: Client of the log.
        stream: Name of the stream.
        clock: Clock of this process.
        random: Source of the jitter between attempts.
        budget: Append budget shared with the other streams.
    """

    log: Any
    stream: str
    clock: clock.Clock
    random: random.Random
    budget: budget.AppendBudget
    _lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    async def append(self, lines: list[str], *, timeout_s: float = 5.0) -> int:
        """Append one frame and return its offset.

        Args:
            lines: Records of the frame; at most 256 KB in total.
            timeout_s: Seconds for all attempts and pauses together.

        Raises:
            LogUnavailable: No append succeeded in time; the lines may still be
                in the stream.
            ValueError: The frame is too large.
        """
        if sum(map(len, lines)) > MAX_FRAME_BYTES:
            raise ValueError(
                f"frame too large: a frame has at most {MAX_FRAME_BYTES} bytes"
            )
        try:
            async with asyncio.timeout(timeout_s):
                return await self._append(lines)
        except TimeoutError as error:
            raise errors.LogUnavailable(
                f"no append to stream {self.stream} succeeded in time"
            ) from error

    async def _append(self, lines: list[str]) -> int:
        started_at = self.clock.monotonic()
        async with self._lock:
            while True:
                await self.budget.acquire()
                try:
                    async with asyncio.timeout(APPEND_TIMEOUT_S):
                        return await self.log.append(self.stream, lines)
                except (TimeoutError, errors.LogUnavailable):
                    failing_s = self.clock.monotonic() - started_at
                await self.clock.sleep(follower.backoff_s(failing_s, self.random))
