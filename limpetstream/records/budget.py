"""The append budget that all streams of one instance share."""

import asyncio
import dataclasses

from limpetstream import clock

# 7 instances x 20 appends a second stay under half of the log's 300.
APPENDS_PER_S = 20.0


@dataclasses.dataclass(slots=True)
class AppendBudget:
    """Hands out turns to append, one per tick, first come first served.

    Every writer asks for one turn at a time, so with three streams the control
    stream gets at least every third turn and renewals of rights never starve.
    A slow append takes no turn from the others.
    """

    clock: clock.Clock
    appends_per_s: float = APPENDS_PER_S
    last_granted_at: float = float("-inf")
    appends_granted: int = 0
    _lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    async def acquire(self) -> None:
        """Wait for the next turn; return at once if a tick has passed."""
        async with self._lock:
            wait_s = (
                self.last_granted_at + 1 / self.appends_per_s - self.clock.monotonic()
            )
            if wait_s > 0:
                await self.clock.sleep(wait_s)
            self.last_granted_at = self.clock.monotonic()
            self.appends_granted += 1
