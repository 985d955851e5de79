"""Time source that components receive, so that tests can replace it."""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable


@dataclasses.dataclass(slots=True)
class Clock:
    """Time source of one process.

    Args:
        monotonic: Returns seconds of a monotonic clock.
        wall: Returns seconds since the Unix epoch; for display and accounts
            only, because this clock may jump.
        sleep: Suspends the calling task for a number of seconds.
        processor: Returns seconds of processor time that the process has used.
    """

    monotonic: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    processor: Callable[[], float] = time.process_time

    def wall_ms(self) -> int:
        """Return the wall time in whole milliseconds since the Unix epoch."""
        return int(self.wall() * 1000)
