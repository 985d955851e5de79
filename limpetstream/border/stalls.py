"""Tells for how long requests may have lain unread before a process took them.

A process that was suspended, or had no processor, reads what has come in the
meantime. The time limits of those requests count from when they came.
"""

from limpetstream import clock as clock_module

CHECK_INTERVAL_S = 0.25
MIN_STALL_S = 0.5  # Shorter ones do not matter beside a caller's time limit.
# What has come during a stall is read within this time after it.
BACKLOG_S = 0.3


class Stalls:
    """Notes for how long the event loop stood still.

    Args:
        clock: Source of time that includes suspensions of the machine.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._checked_at = clock.monotonic()
        self._stall_s = 0.0
        self._ended_at = float("-inf")

    async def run(self) -> None:
        """Watch the event loop until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Note a stall that ends now, if there was one."""
        now = self._clock.monotonic()
        stall_s = now - self._checked_at - CHECK_INTERVAL_S
        if stall_s >= MIN_STALL_S:
            self._stall_s, self._ended_at = stall_s + CHECK_INTERVAL_S, now
        self._checked_at = now

    def longest_unread_s(self) -> float:
        """Return how long a request that was read just now may have waited."""
        self.check()
        now = self._clock.monotonic()
        if now - self._ended_at > BACKLOG_S:
            return 0.0
        return self._stall_s + now - self._ended_at
