"""Logs entries of the store that cannot be used, in a bounded volume."""

import dataclasses

from limpetstream import clock as clock_module
from limpetstream.shard import events
from limpetstream.store import messages
from limpetstream.telemetry import logs

MAX_CHARACTERS = 200  # Of a key or an error.
INTERVAL_S = 60.0
MAX_PER_INTERVAL = 10


def log(
    topic: str, entry: messages.Entry, error: Exception, *, suppressed: int = 0
) -> None:
    """Log one entry that is ignored.

    Args:
        topic: Topic of the entry.
        entry: The entry.
        error: Why it cannot be used.
        suppressed: Number of entries that were not logged before it.
    """
    logs.emit(
        events.ENTRY_UNREADABLE,
        topic=topic,
        key=entry.key[:MAX_CHARACTERS],
        offset=entry.offset,
        error=str(error)[:MAX_CHARACTERS],
        suppressed=suppressed,
    )


@dataclasses.dataclass(slots=True)
class LimitedLog:
    """Logs the first entries of each interval and counts the others.

    A program may write an entry again and again, and a list may be read again.

    Args:
        clock: Source of time.
    """

    clock: clock_module.Clock
    _interval_ends_at: float = float("-inf")
    _logged: int = 0
    _suppressed: int = 0

    def log(self, topic: str, entry: messages.Entry, error: Exception) -> None:
        """Log one entry that is ignored, or count it."""
        now = self.clock.monotonic()
        if now >= self._interval_ends_at:
            self._interval_ends_at = now + INTERVAL_S
            self._logged = 0
        if self._logged >= MAX_PER_INTERVAL:
            self._suppressed += 1
            return
        self._logged += 1
        suppressed, self._suppressed = self._suppressed, 0
        log(topic, entry, error, suppressed=suppressed)
