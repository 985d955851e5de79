"""Bounds what an owner has under way to its executors.

All calls of an owner share the link of its instance. Once the link is full,
each further call makes all others later. Calls that are then given up and
repeated fill it with requests that nobody waits for any more, and executors
that work well seem to be silent.

Two measures prevent that. Calls wait for their turn while a window of bytes
is under way: stops first, then polls, which carry ends and leases, then paces,
then starts by priority. And the time limits of all calls grow with the
measured delay, so that an answer that is late is still used.

The delay is the shortest one of all prompt answers of an interval: a queue
that lasts delays every answer, a slow executor only its own (K. Nichols and
V. Jacobson, "Controlling Queue Delay", ACM Queue, 2012). The window grows
slowly and shrinks by a factor (D. Chiu and R. Jain, "Analysis of the Increase
and Decrease Algorithms", 1989).
"""

import asyncio
import collections
import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator, Callable, Iterator

from limpetstream import clock as clock_module
from limpetstream.executors import lateness

INITIAL_BYTES = 16_384
# Four starts of usual size: enough for 100 KB/s at a round trip of 40 ms.
MIN_BYTES = 4_096
MAX_BYTES = 262_144
GROWTH = 1.1  # Per interval in which calls have waited for the window.
SHRINKAGE = 0.5
# Ten times the round trip between data centres.
MAX_DELAY_S = 0.1
TICK_S = 0.05
TICKS_PER_INTERVAL = 5
LATE_INTERVALS = 4  # A second.
# Executors that did not answer in an interval in which none answered.
MIN_SILENT_EXECUTORS = 3
# Beyond the usual limits. With it a poll still ends before an executor counts
# as silent for so long that its lease is not extended.
MAX_EXTRA_S = 0.6
DELAYS_ALLOWED = 2.0
# A call without an answer has passed the link after so many delays.
MIN_HOLD_S = 0.03
MAX_HOLD_S = 0.3
HOLD_DELAYS = 3.0
# The polls of all executors pass the smallest window in so many holds, which
# is about a second.
MAX_HOLDS_OF_POLLS = 4
# While calls wait, no more starts are decided once so many are not sent yet.
MAX_UNSENT_STARTS = 32
# Between the polls of an executor while calls wait. Each end of a run is
# answered with all runs; with a pause several share an answer. A later poll
# could not acknowledge the ends (``shard.sessions.MIN_RESTART_S``).
MIN_PAUSE_S = 0.025
MAX_PAUSE_S = 0.2
STOP_RANK = (-3.0, 0.0)
POLL_RANK = (-2.0, 0.0)
PACE_RANK = (-1.0, 0.0)
HEAD_BYTES = 250  # Of a request, and what the body has besides long texts.


class SendWindow:
    """What one owner has under way to executors, and how long answers take.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self.limit_bytes = float(INITIAL_BYTES)
        self.under_way_bytes = 0
        self.unsent_by_priority: collections.Counter[int] = collections.Counter()
        self.is_pass_left_out = False  # Because of the backlog.
        self.poll_pause_s = 0.0
        self.delay_s = 0.0  # Shortest delay of the last interval.
        self.lateness = lateness.Lateness()
        self._waiting: list[
            tuple[tuple[float, ...], int, int, asyncio.Future[None]]
        ] = []
        self._numbers = itertools.count()
        self._was_full = False
        self._has_answer = False
        self._shortest_s: float | None = None
        self._silent_ids: set[str] = set()

    @property
    def waiting_count(self) -> int:
        """Number of calls that wait for their turn."""
        return len(self._waiting)

    @property
    def unsent_starts(self) -> int:
        """Number of starts that were decided and are not sent yet."""
        return self.unsent_by_priority.total()

    def has_backlog(self, priority: int) -> bool:
        """Return whether no more starts of a priority are due.

        Many that were decided are not sent yet. Less urgent ones do not count,
        as the urgent one is sent before them.
        """
        is_narrow = bool(self._waiting) or self.poll_pause_s > 0
        if not is_narrow or self.unsent_starts < MAX_UNSENT_STARTS:
            return False
        before = sum(
            count
            for other, count in self.unsent_by_priority.items()
            if other <= priority
        )
        return before >= MAX_UNSENT_STARTS

    @contextlib.contextmanager
    def unsent_start(self, priority: int) -> Iterator[Callable[[], None]]:
        """Count a start that was decided until it is sent or dropped.

        Args:
            priority: Priority of its queue; 0 comes first.

        Yields:
            Function to call when its turn has come.
        """
        is_counted = True
        self.unsent_by_priority[priority] += 1

        def end() -> None:
            nonlocal is_counted
            if is_counted:
                is_counted = False
                self.unsent_by_priority[priority] -= 1

        try:
            yield end
        finally:
            end()

    def time_limit_s(self, usual_s: float) -> float:
        """Return the time limit of a call for the present delay.

        Args:
            usual_s: Time limit where answers are not delayed.
        """
        return usual_s + self.extra_s

    @property
    def extra_s(self) -> float:
        """Seconds to add to the usual time limits."""
        delay_s = self.delay_s + self.lateness.lag_s
        if delay_s <= MAX_DELAY_S:
            return 0.0
        return min(MAX_EXTRA_S, DELAYS_ALLOWED * delay_s)

    @contextlib.asynccontextmanager
    async def turn(self, size: int, rank: tuple[float, ...]) -> AsyncIterator[None]:
        """Wait until a call may be sent, and count it as under way.

        It counts until the context ends, or for as long as it can be on the
        link: executors that do not answer do not hold up the others.

        Args:
            size: Bytes of the request.
            rank: Calls of the lowest rank go first; for a start its priority,
                which is at least 0, and the time of the decision.
        """
        if self._waiting or self.under_way_bytes >= self.limit_bytes:
            await self._wait(size, rank)
        else:
            self.under_way_bytes += size
        with self._counted(size):
            yield

    async def admit(self, size: int, rank: tuple[float, ...]) -> None:
        """Wait until a call may be sent; count it for as long as it may take.

        Args:
            size: Bytes of the request.
            rank: See ``turn``.
        """
        if self._waiting or self.under_way_bytes >= self.limit_bytes:
            await self._wait(size, rank)
        else:
            self.under_way_bytes += size
        asyncio.get_running_loop().call_later(self._hold_s(), self._release, size)

    @contextlib.contextmanager
    def _counted(self, size: int) -> Iterator[None]:
        """Take bytes off what is under way at the end, or after a while."""
        is_counted = True

        def end() -> None:
            nonlocal is_counted
            if is_counted:
                is_counted = False
                self._release(size)

        timer = asyncio.get_running_loop().call_later(self._hold_s(), end)
        try:
            yield
        finally:
            timer.cancel()
            end()

    def _hold_s(self) -> float:
        return min(MAX_HOLD_S, max(MIN_HOLD_S, HOLD_DELAYS * self.delay_s))

    def _release(self, size: int) -> None:
        self.under_way_bytes -= size
        self._admit()

    def note_answer(self, delay_s: float) -> None:
        """Note an executor's answer.

        Args:
            delay_s: How much later it came than the call had asked for;
                negative if that is not known.
        """
        self._has_answer = True
        if delay_s >= 0 and (self._shortest_s is None or delay_s < self._shortest_s):
            self._shortest_s = delay_s

    def note_silence(self, executor_id: str) -> None:
        """Note that a call to an executor has no answer."""
        self._silent_ids.add(executor_id)

    async def run(
        self,
        count_executors: Callable[[], int],
        report: Callable[[bool], None] = lambda is_full: None,
        report_lateness: Callable[[bool], None] = lambda is_late: None,
    ) -> None:
        """Adapt the window at the end of each interval, until cancelled.

        Args:
            count_executors: Returns how many executors are polled.
            report: Called once calls have waited or been late for about a
                second, with true, and once they no longer are, with false.
            report_lateness: Called likewise for a late event loop.
        """
        is_reported = is_late_reported = False
        lag_s = 0.0
        for tick in itertools.count(1):
            due_at = self._clock.monotonic() + TICK_S
            await self._clock.sleep(TICK_S)
            tick_lag_s = max(0.0, self._clock.monotonic() - due_at)
            self.lateness.note_lag(tick_lag_s)
            lag_s = max(lag_s, tick_lag_s)
            if tick % TICKS_PER_INTERVAL == 0:
                self.end_interval(lag_s, count_executors())
                lag_s = 0.0
                is_full = self.poll_pause_s >= (0.0 if is_reported else MAX_PAUSE_S)
                is_full = is_full and self.poll_pause_s > 0
                if is_full != is_reported:
                    is_reported = is_full
                    report(is_full)
                is_late = self.lateness.late_intervals >= (
                    1 if is_late_reported else LATE_INTERVALS
                )
                if is_late != is_late_reported:
                    is_late_reported = is_late
                    report_lateness(is_late)

    def end_interval(self, lag_s: float, executors: int) -> None:
        """Set the window by what was noted since the last call.

        Args:
            lag_s: Longest time by which the event loop was late. An answer may
                have been read that much later, and its call been sent.
            executors: Number of executors that are polled.
        """
        self.lateness.end_interval(lag_s)
        is_late = False
        if self._shortest_s is not None:
            self.delay_s = max(0.0, self._shortest_s - 2 * lag_s)
            is_late = self.delay_s > MAX_DELAY_S
        elif not self._has_answer and len(self._silent_ids) >= MIN_SILENT_EXECUTORS:
            is_late = True
            self.delay_s = min(MAX_EXTRA_S, max(MAX_DELAY_S, self.delay_s) * 2)
        if is_late:
            polls_bytes = executors * HEAD_BYTES / MAX_HOLDS_OF_POLLS
            smallest = max(MIN_BYTES, polls_bytes)
            self.limit_bytes = max(smallest, self.limit_bytes * SHRINKAGE)
        elif self._was_full and self._has_answer:
            self.limit_bytes = min(MAX_BYTES, self.limit_bytes * GROWTH)
        if is_late or self._was_full:
            self.poll_pause_s = min(
                MAX_PAUSE_S, max(MIN_PAUSE_S, self.poll_pause_s * 2)
            )
        else:
            self.poll_pause_s /= 2
            if self.poll_pause_s < MIN_PAUSE_S:
                self.poll_pause_s = 0.0
        self._has_answer = False
        self._shortest_s = None
        self._silent_ids.clear()
        self._was_full = bool(self._waiting)
        self._admit()

    async def _wait(self, size: int, rank: tuple[float, ...]) -> None:
        """Wait until the call is admitted, which counts its bytes."""
        self._was_full = True
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (rank, next(self._numbers), size, future))
        try:
            await future
        except asyncio.CancelledError:
            if not future.cancelled():
                self.under_way_bytes -= size
            raise

    def _admit(self) -> None:
        """Admit the first calls that wait while the window is not full."""
        while self._waiting and self.under_way_bytes < self.limit_bytes:
            _, _, size, future = heapq.heappop(self._waiting)
            if not future.done():
                self.under_way_bytes += size
                future.set_result(None)


def start_bytes(spec: str) -> int:
    """Return about how many bytes a start request has.

    >>> start_bytes("x" * 100)
    350
    """
    return HEAD_BYTES + len(spec)
