"""Bounds the time of requests at an instance that is being stopped.

A request that waits for others, such as the owner of a shard or the store,
does not know when its instance will close. It waits within a bound here, and
is told in time to answer what is certain by then.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

from limpetstream import clock as clock_module


class Closing:
    """Tells by when requests must have been answered.

    Args:
        clock: Source of time.

    Attributes:
        answer_by: Monotonic time in seconds by which each request is to be
            answered; infinity until a stop has begun.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self.answer_by = math.inf
        self._clock = clock
        self._timeouts: set[asyncio.Timeout] = set()

    def begin(self, answer_by: float) -> None:
        """Bound the requests that wait, and all later ones."""
        self.answer_by = answer_by
        for timeout in self._timeouts:
            timeout.reschedule(self._loop_time())

    @contextlib.asynccontextmanager
    async def bounded(self) -> AsyncIterator[None]:
        """End what is done within the block at ``answer_by``.

        Nothing of the block is begun after that time, so that what it would
        have sent is certainly not under way.

        Raises:
            TimeoutError: The time has come.
        """
        if self._clock.monotonic() >= self.answer_by:
            raise TimeoutError
        async with asyncio.timeout_at(self._loop_time()) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def _loop_time(self) -> float | None:
        """Return ``answer_by`` as a time of the event loop."""
        if not math.isfinite(self.answer_by):
            return None
        now = asyncio.get_running_loop().time()
        return now + self.answer_by - self._clock.monotonic()
