"""Reads one stream of the log and applies its frames to the view."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import Any

from limpetstream import clock, errors
from limpetstream.records import events, view
from limpetstream.telemetry import logs

# Two polls and their delays stay well under 1 s, the age up to which a view
# counts as fresh.
POLL_MS = 200
READ_TIMEOUT_S = 1.0
# Applying this many records takes about 5 ms. Other tasks run in between, so
# that renewals and answers do not wait for a whole page.
YIELD_RECORDS = 500
INITIAL_BACKOFF_S = 0.05
# The pause is the time for which attempts have failed, divided by this.
BACKOFF_DIVISOR = 20
# A longer pause would delay the first renewals after an outage, which end the
# reliance on promises.
MAX_BACKOFF_S = 0.5

Restart = Callable[[int], Awaitable[None]]


def backoff_s(failing_s: float, random_source: random.Random) -> float:
    """Return the pause in seconds before the next attempt.

    The pause grows with the time for which attempts have failed, so that the
    end of an outage is noticed within a small fraction of its length.

    Args:
        failing_s: Seconds since the first of the consecutive failures.
        random_source: Source of the jitter: the pause is between half of the
            full pause and all of it.
    """
    full_pause_s = min(
        MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, failing_s / BACKOFF_DIVISOR)
    )
    return full_pause_s * (0.5 + random_source.random() / 2)


@dataclasses.dataclass(slots=True)
class Follower:
    """Reads a stream from ``view.next_offset`` on into a view.

    Args:
        log: Client of the log, see ``platform.log.Log``.
        stream: Name of the stream.
        view: View to which the frames are applied.
        clock: Clock of this process.
        random: Source of the jitter.
        restart: Loads a snapshot into the view if the next offset to read has
            expired; called with the oldest offset that is still in the log.
        max_frames: Maximum number of frames in one read.
        failing_since: Monotonic time in seconds of the first of the
            consecutive failures; None after a success.
    """

    log: Any
    stream: str
    view: view.View
    clock: clock.Clock
    random: random.Random
    restart: Restart
    max_frames: int = 500
    failing_since: float | None = None

    async def run(self) -> None:
        """Follow the stream until the task is cancelled."""
        while True:
            await self.step()

    async def step(self) -> None:
        """Read once and apply the frames, or pause after a failure."""
        try:
            await self._read()
        except errors.LogUnavailable as error:
            await self._pause(error)
        except errors.OffsetExpired as error:
            await self._restart(error)

    async def _read(self) -> None:
        sent_at = self.clock.monotonic()
        try:
            async with asyncio.timeout(POLL_MS / 1000 + READ_TIMEOUT_S):
                page = await self.log.read(
                    self.stream,
                    self.view.next_offset,
                    max_frames=self.max_frames,
                    wait_ms=POLL_MS,
                )
        except TimeoutError as error:
            raise errors.LogUnavailable("reading the log timed out") from error
        await self._apply_frames(page.frames)
        if self.view.next_offset >= page.end:
            self.view.fresh_at = max(self.view.fresh_at, sent_at)
        if self.failing_since is not None:
            logs.emit(events.LOG_READ_RESTORED, stream=self.stream)
        self.failing_since = None

    async def _apply_frames(self, frames: list[Any]) -> None:
        """Apply frames, and let other tasks run between frames."""
        applied = 0
        for frame in frames:
            if frame.offset >= self.view.next_offset:
                self.view.apply_frame(frame.offset, frame.records)
                applied += len(frame.records)
            if applied >= YIELD_RECORDS:
                applied = 0
                await asyncio.sleep(0)

    async def _pause(self, error: errors.LogUnavailable) -> None:
        now = self.clock.monotonic()
        if self.failing_since is None:
            self.failing_since = now
            logs.emit(events.LOG_READ_FAILED, stream=self.stream, detail=str(error))
        await self.clock.sleep(backoff_s(now - self.failing_since, self.random))

    async def _restart(self, error: errors.OffsetExpired) -> None:
        logs.emit(events.OFFSET_EXPIRED, stream=self.stream, first=error.first)
        self.view.fresh_at = float("-inf")
        try:
            await self.restart(error.first)
        except errors.LogUnavailable as unavailable:
            await self._pause(unavailable)
