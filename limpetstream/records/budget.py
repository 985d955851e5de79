"""Rate limit of appends that all streams of one instance share."""

import asyncio
import dataclasses

from limpetstream import clock

# 7 instances x 20 appends/s stay under half of the 300 appends/s of the log.
APPENDS_PER_S = 20.0


@dataclasses.dataclass(slots=True)
class AppendBudget:
    """Limits the rate of appends; grants them in the order of the requests.

    Every writer waits for one grant at a time. With three streams, the control
    stream therefore gets at least every third grant, and renewals of rights
    are never starved. A slow append does not delay the grants of the others.

    Args:
        clock: Clock of this process.
        appends_per_s: Maximum rate of grants.
        last_granted_at: Monotonic time in seconds of the last grant.
        appends_granted: Number of grants so far.
    """

    clock: clock.Clock
    appends_per_s: float = APPENDS_PER_S
    last_granted_at: float = float("-inf")
    appends_granted: int = 0
    _lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    async def acquire(self) -> None:
        """Wait for a grant; return at once if the last one is old enough."""
        async with self._lock:
            wait_s = (
                self.last_granted_at + 1 / self.appends_per_s - self.clock.monotonic()
            )
            if wait_s > 0:
                await self.clock.sleep(wait_s)
            self.last_granted_at = self.clock.monotonic()
            self.appends_granted += 1
