"""Simulates the platform's log.

Covers offsets per stream, retention, long polls and the rate limit of appends.
"""

import asyncio
import collections
import dataclasses

from limpetstream import clock, errors
from limpetstream.platform import messages
from standins import faults

# Keeps one answer within usual HTTP buffer sizes.
MAX_PAGE_CHARACTERS = 4_000_000
HANG_POLL_INTERVAL_S = 0.02
MAX_HANG_S = 600.0


@dataclasses.dataclass(slots=True)
class Stream:
    """Frames of one stream that have not expired.

    Args:
        first: Offset of the oldest frame that is kept.
        end: Offset of the next frame.
        frames: Frames in the order of their offsets.
        appended_at: Times at which the frames were appended.
        waiters: Futures of the reads that wait for the next frame.
    """

    first: int = 0
    end: int = 0
    frames: collections.deque[messages.Frame] = dataclasses.field(
        default_factory=collections.deque
    )
    appended_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    waiters: list[asyncio.Future[None]] = dataclasses.field(default_factory=list)

    def add(self, records: list[str], now: float) -> int:
        """Append one frame, wake the waiting reads and return its offset."""
        offset = self.end
        self.frames.append(messages.Frame(offset, records))
        self.appended_at.append(now)
        self.end += 1
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()
        return offset

    def expire(self, *, before: float, keep_frames: int) -> None:
        """Drop frames by age and by number.

        Args:
            before: Time before which appended frames are dropped.
            keep_frames: Number of newest frames that are kept at most.
        """
        while self.frames and (
            self.appended_at[0] < before or len(self.frames) > keep_frames
        ):
            self.frames.popleft()
            self.appended_at.popleft()
        self.first = self.frames[0].offset if self.frames else self.end

    def page(self, start: int, max_frames: int) -> messages.Page:
        """Return the frames from offset ``start`` on.

        Args:
            start: Offset of the first frame.
            max_frames: Largest number of frames.

        Raises:
            OffsetExpired: The frame at ``start`` has expired.
        """
        if start < self.first:
            raise errors.OffsetExpired(self.first)
        found: list[messages.Frame] = []
        characters = 0
        for index in range(start - self.first, len(self.frames)):
            frame = self.frames[index]
            characters += sum(map(len, frame.records))
            if len(found) >= max_frames or (found and characters > MAX_PAGE_CHARACTERS):
                break
            found.append(frame)
        return messages.Page(self.first, start + len(found), self.end, found)


class LogService:
    """The streams of the log under the fault switches.

    Args:
        clock: Source of time.
        switches: Fault switches.
        sampler: Decides at random which answers are lost.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        switches: faults.Faults,
        sampler: faults.FaultSampler,
    ) -> None:
        self._clock = clock
        self._switches = switches
        self._sampler = sampler
        self._next_append_at = 0.0
        self.stream_by_name: dict[str, Stream] = {}
        self.appends = 0
        self.reads = 0

    async def append(self, stream: str, records: list[str]) -> int:
        """Append one frame and return its offset.

        Raises:
            LogUnavailable: The log is down; nothing was appended.
            AnswerLost: The frame was appended and the answer was dropped.
        """
        await self._apply_switches()
        await self._limit_append_rate()
        offset = self.stream(stream).add(records, self._clock.monotonic())
        self.appends += 1
        if self._sampler.drops_answer("append"):
            raise faults.AnswerLost(f"answer to append {offset} lost")
        return offset

    async def read(
        self, stream: str, start: int, *, max_frames: int = 500, wait_ms: int = 0
    ) -> messages.Page:
        """Return frames; if there is none, wait for the next append.

        Args:
            stream: Name of the stream.
            start: Offset of the first frame.
            max_frames: Largest number of frames.
            wait_ms: Longest wait for a frame.

        Raises:
            LogUnavailable: The log is down.
            AnswerLost: The answer was dropped.
            OffsetExpired: The frame at ``start`` has expired.
        """
        await self._apply_switches()
        self.reads += 1
        source = self.stream(stream)
        if start >= source.end and wait_ms > 0:
            waiter = asyncio.get_running_loop().create_future()
            source.waiters.append(waiter)
            await asyncio.wait([waiter], timeout=wait_ms / 1000)
            if not waiter.done():
                source.waiters.remove(waiter)
            await self._apply_switches()
        if self._sampler.drops_answer("read"):
            raise faults.AnswerLost(f"answer to read from {start} lost")
        return self.stream(stream).page(start, max_frames)

    def stream(self, name: str) -> Stream:
        """Return a stream after dropping its expired frames."""
        found = self.stream_by_name.setdefault(name, Stream())
        found.expire(
            before=self._clock.monotonic() - self._switches.log_keep_s,
            keep_frames=self._switches.log_keep_frames,
        )
        return found

    async def _apply_switches(self) -> None:
        """Apply the delay, hang and outage switches to a call.

        A call that hangs is executed once the log answers again, like a
        request that waited in a socket buffer.

        Raises:
            LogUnavailable: The log is down, or it hung for ``MAX_HANG_S``.
        """
        gives_up_at = self._clock.monotonic() + MAX_HANG_S
        while self._switches.log_hang and self._clock.monotonic() < gives_up_at:
            await self._clock.sleep(HANG_POLL_INTERVAL_S)
        if self._switches.log_down or self._switches.log_hang:
            raise errors.LogUnavailable("log outage set by a fault switch")
        if self._switches.log_delay_ms > 0:
            await self._clock.sleep(self._switches.log_delay_ms / 1000)

    async def _limit_append_rate(self) -> None:
        rate = self._switches.log_appends_per_s
        if rate <= 0:
            return
        now = self._clock.monotonic()
        # A burst may use the unused rate of up to a twentieth of a second.
        append_at = max(self._next_append_at, now - 0.05)
        self._next_append_at = append_at + 1 / rate
        if append_at > now:
            await self._clock.sleep(append_at - now)
