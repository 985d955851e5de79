"""Follows one partition of a keyed topic from its newest values on."""

import dataclasses
from collections.abc import Callable

from limpetstream import clock as clock_module, errors
from limpetstream.store import messages

# A call that meets a silent store should not hold up a start for long; twice
# the answer of a store that is fifty times slower than usual fits.
INITIAL_LOAD_TIMEOUT_S = 0.5
MAX_LOAD_TIMEOUT_S = 2.0
ANSWER_SLACK_S = 0.7  # What a read may take beyond the wait that it asks for.
FIRST_BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 0.5

Apply = Callable[[list[messages.Entry], bool], None]


@dataclasses.dataclass(slots=True)
class Follower:
    """Position in a partition, and whether it can be read.

    Args:
        store: Store of keyed topics.
        topic: Topic.
        partition: Partition.
        clock: Source of time.
        apply: Takes entries in the order of their offsets, and whether they
            are all newest values, so that keys that are not among them are
            gone.
        wait_s: How long a read waits for a record; 0 for not at all.
        pause_s: Pause between reads, to take several records with one.
        on_failure: Called with the error when reading begins to fail.
        on_recovery: Called with the seconds since then when it works again.
        position: Offset from which the next read goes on; None to load all.
        read_at: Monotonic time before the newest read that was answered.
        load_timeout_s: Time limit of the next load; it grows with failures.
    """

    store: messages.Store
    topic: str
    partition: int
    clock: clock_module.Clock
    apply: Apply
    wait_s: float
    pause_s: float = 0.0
    on_failure: Callable[[Exception], None] = lambda error: None
    on_recovery: Callable[[float], None] = lambda after_s: None
    position: int | None = None
    read_at: float = float("-inf")
    failing_since: float | None = None
    load_timeout_s: float = INITIAL_LOAD_TIMEOUT_S

    async def load(self) -> None:
        """Read the newest value of every key.

        Raises:
            PlatformUnavailable: No usable answer came.
        """
        sent_at = self.clock.monotonic()
        timeout_s = self.load_timeout_s
        self.load_timeout_s = min(MAX_LOAD_TIMEOUT_S, 2 * timeout_s)
        page = await self.store.newest(self.topic, self.partition, timeout_s=timeout_s)
        self.load_timeout_s = INITIAL_LOAD_TIMEOUT_S
        self.apply(page.entries, True)
        self.position = page.end
        self.read_at = sent_at

    async def advance(self, *, wait_s: float) -> None:
        """Read once from the position on.

        Raises:
            PlatformUnavailable: No usable answer came.
        """
        if self.position is None:
            await self.load()
            return
        sent_at = self.clock.monotonic()
        try:
            page = await self.store.read(
                self.topic,
                self.partition,
                self.position,
                wait_s=wait_s,
                timeout_s=wait_s + ANSWER_SLACK_S,
            )
        except errors.OffsetExpired:
            self.position = None
            await self.load()
            return
        if page.entries:
            self.apply(page.entries, False)
            # Another reader may have moved it on meanwhile.
            self.position = max(self.position or 0, page.entries[-1].offset + 1)
        self.read_at = sent_at

    async def run(self) -> None:
        """Follow for ever."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                await self.advance(wait_s=self.wait_s)
            except errors.PlatformUnavailable as error:
                if self.failing_since is None:
                    self.failing_since = self.clock.monotonic()
                    self.on_failure(error)
                await self.clock.sleep(backoff_s)
                backoff_s = min(LONGEST_BACKOFF_S, backoff_s * 2)
                continue
            backoff_s = FIRST_BACKOFF_S
            if self.failing_since is not None:
                self.on_recovery(self.clock.monotonic() - self.failing_since)
                self.failing_since = None
            if self.pause_s:
                await self.clock.sleep(self.pause_s)
