"""Group commit of records, with verdicts read back from the log."""

import asyncio
import collections
import dataclasses
import random
from typing import Any

import msgspec

from limpetstream import clock, errors
from limpetstream.records import _pending, budget, codec, events, follower, view
from limpetstream.telemetry import logs

FRAME_MAX_BYTES = 256 * 1024
FRAME_MAX_RECORDS = 500
PENDING_MAX_BYTES = 8 * 1024 * 1024
PENDING_MAX_RECORDS = 10_000
# Kept free for urgent records, so that renewals find room behind a backlog.
URGENT_RESERVE_RECORDS = 100
APPEND_TIMEOUT_S = 2.0
# A frame that is sent again takes up what came since, so that the backlog of
# a short outage goes in one frame. Later ones would only add records whose
# callers have given up and that can no longer be withdrawn.
RESEND_EXTEND_LIMIT_S = 2.0
# Keys, checksum, writer and numbers of an envelope around its body.
ENVELOPE_BYTES = 160


@dataclasses.dataclass(slots=True)
class Committer:
    """Appends records of this process to the stream that the view follows.

    The writer id belongs to this process alone and is never used by another,
    so a frame can be sent again without counting twice.

    Args:
        log: Client of the log.
        stream: Name of the stream.
        view: View that reads the records back.
        writer: Id of this process.
        clock: Time of this process.
        random: Source of the jitter between attempts.
        budget: Append budget shared with the other streams.
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
    _bytes: int = 0
    _wanted: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.view.listeners.append(self._on_entry)
        self.view.restart_listeners.append(self._on_restart)

    @property
    def pending_records(self) -> int:
        """Number of records that wait for a frame or a verdict."""
        return len(self._urgent) + len(self._normal) + len(self._sent_by_sequence)

    @property
    def pending_bytes(self) -> int:
        """Approximate bytes of the records that wait."""
        return self._bytes

    def unconfirmed_s(self, now: float) -> float:
        """Return for how many seconds the frame in flight is unconfirmed."""
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
            timeout_s: Seconds to wait; None waits until the fate is known.
            urgent: Whether the record goes before others that wait.

        Raises:
            LogUnavailable: The verdict is not known in time. A record that was
                not yet sent is withdrawn; any other may still take effect.
            ValueError: The record does not fit a frame.
        """
        record = self._enqueue(kind, body, resource, epoch, urgent)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(record.done)
        except TimeoutError as error:
            raise errors.LogUnavailable(f"{kind} not read back in time") from error
        finally:
            self._withdraw(record)

    async def run(self) -> None:
        """Send frames, one in flight, until the task is cancelled."""
        while True:
            await self._wanted.wait()
            await self.budget.acquire()
            frame = self._build_frame()
            if frame is not None:
                await self._deliver(frame)

    def retire(self) -> None:
        """Stop sending for good: this writer id is no longer a member's."""
        self.retired = True
        if self._frame is not None:
            self._frame.in_log.set()
        for record in [*self._urgent, *self._normal, *self._sent_by_sequence.values()]:
            self._fail(record, "this instance is no longer a member")
        self._urgent.clear()
        self._normal.clear()
        self._sent_by_sequence.clear()
        self._bytes = 0

    def _enqueue(
        self, kind: str, body: Any, resource: str | None, epoch: int, urgent: bool
    ) -> _pending.PendingRecord:
        if self.retired:
            raise errors.LogUnavailable("this instance is no longer a member")
        size = len(msgspec.json.encode(body)) + ENVELOPE_BYTES
        if size > FRAME_MAX_BYTES:
            raise ValueError(f"{kind}: a frame holds at most {FRAME_MAX_BYTES} bytes")
        reserve = 0 if urgent else URGENT_RESERVE_RECORDS
        if (
            self.pending_records + reserve >= PENDING_MAX_RECORDS
            or self._bytes + size > PENDING_MAX_BYTES
            and not urgent
        ):
            logs.emit(events.PENDING_FULL, records=self.pending_records)
            raise errors.LogUnavailable("too many records wait for the log")
        done = asyncio.get_running_loop().create_future()
        record = _pending.PendingRecord(kind, body, resource, epoch, size, done)
        (self._urgent if urgent else self._normal).append(record)
        self._bytes += size
        self._wanted.set()
        return record

    def _withdraw(self, record: _pending.PendingRecord) -> None:
        """Forget a record that nobody waits for, unless it was sent."""
        if record.sequence or record.done.done():
            return
        for queue in (self._urgent, self._normal):
            if record in queue:
                queue.remove(record)
                self._bytes -= record.size

    def _build_frame(self) -> _pending.Frame | None:
        frame = _pending.Frame()
        self._fill(frame)
        return frame if frame.lines else None

    def _fill(self, frame: _pending.Frame) -> None:
        """Move waiting records into a frame, urgent ones first."""
        for queue in (self._urgent, self._normal):
            while queue and len(frame.lines) < FRAME_MAX_RECORDS:
                if frame.lines and frame.size + queue[0].size > FRAME_MAX_BYTES:
                    break
                record = queue.popleft()
                frame.size += record.size
                frame.lines.append(self._number(record))
        frame.last_sequence = self.sequence
        if not (self._urgent or self._normal):
            self._wanted.clear()

    def _number(self, record: _pending.PendingRecord) -> str:
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

    async def _deliver(self, frame: _pending.Frame) -> None:
        """Send one frame until its answer or its records have been read."""
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
                self._fill(frame)
        self.in_flight_since = None
        self._frame = None

    async def _send_once(self, frame: _pending.Frame) -> bool:
        send = asyncio.ensure_future(self.log.append(self.stream, frame.lines))
        await _pending.wait_for_first(
            send, frame.in_log.wait(), self.clock.sleep(APPEND_TIMEOUT_S), keep=send
        )
        if frame.in_log.is_set():
            send.cancel()
            return True
        if not send.done():
            send.cancel()
        elif send.exception() is None:
            return True
        elif not isinstance(send.exception(), errors.LogUnavailable):
            send.result()
        return False

    def _on_entry(self, entry: view.Entry, apply_result: view.ApplyResult) -> None:
        if entry.writer != self.writer:
            return
        record = self._sent_by_sequence.pop(entry.sequence, None)
        if record is not None:
            self._bytes -= record.size
            if not record.done.done():
                record.done.set_result(apply_result)
        if self._frame is not None and entry.sequence >= self._frame.last_sequence:
            self._frame.in_log.set()
        if entry.sequence == self.sequence and self._sent_by_sequence:
            # Frames are in order, so what is left could not be decoded here.
            self._fail_sent(entry.sequence, "the record could not be read back")

    def _on_restart(self) -> None:
        """Fail the records whose verdicts were skipped by a snapshot."""
        folded = self.view.sequence_by_writer.get(self.writer, 0)
        self._fail_sent(folded, "the verdict was skipped by a snapshot")
        if self._frame is not None and folded >= self._frame.last_sequence:
            self._frame.in_log.set()

    def _fail_sent(self, upto: int, reason: str) -> None:
        for sequence in [n for n in self._sent_by_sequence if n <= upto]:
            record = self._sent_by_sequence.pop(sequence)
            self._bytes -= record.size
            self._fail(record, reason)

    @staticmethod
    def _fail(record: _pending.PendingRecord, reason: str) -> None:
        if not record.done.done():
            record.done.set_exception(errors.LogUnavailable(reason))
            record.done.exception()


@dataclasses.dataclass(slots=True)
class StreamWriter:
    """Appends lines to a stream that is not read back, such as ``accounts``.

    One append is in flight at a time. A lost answer is sent again, so lines
    can be in the stream twice; its readers merge them.

    Args:
        log: Client of the log.
        stream: Name of the stream.
        clock: Time of this process.
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
            lines: Records of the frame; at most 256 KB in all.
            timeout_s: Seconds over all attempts and waits.

        Raises:
            LogUnavailable: No answer in time; the lines may be in the stream.
            ValueError: The frame is too large.
        """
        if sum(map(len, lines)) > FRAME_MAX_BYTES:
            raise ValueError(f"a frame holds at most {FRAME_MAX_BYTES} bytes")
        try:
            async with asyncio.timeout(timeout_s):
                return await self._append(lines)
        except TimeoutError as error:
            raise errors.LogUnavailable(f"{self.stream}: no answer") from error

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
