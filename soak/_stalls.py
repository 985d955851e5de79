"""Notes when the process that serves the platform of a run stands still.

Store and executors answer nobody then, which the instances take for faults
that no seed has drawn. The time for jobs to settle does not count it.
"""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator

BEAT_INTERVAL_S = 0.1
# Instances wait as long for a store that answers (``journal`` and others).
MIN_STALL_S = 0.25


@dataclasses.dataclass(slots=True)
class Stall:
    """One time in which the event loop ran nothing else, or did not run.

    Args:
        at_s: Seconds from the start of the watch to the beginning.
        lasted_s: Its length in seconds.
        cpu_s: Processor time of this process in it, in seconds: about as long
            if the process was busy, little if it waited for a processor.
    """

    at_s: float
    lasted_s: float
    cpu_s: float


class Watch:
    """Notes the stalls of the running loop and measures the time without them.

    ``stalls`` holds those that have ended.
    """

    def __init__(self) -> None:
        self.stalls: list[Stall] = []
        self._loop = asyncio.get_running_loop()
        self._started_at = self._beat_at = self._loop.time()
        self._undisturbed_s = 0.0  # Until ``_beat_at``.

    def undisturbed_s(self) -> float:
        """Return the seconds since the start without the stalls.

        What passed since the last beat may turn out to be a stall, so no more
        of it counts than the time from one beat to the next.
        """
        passed_s = self._loop.time() - self._beat_at
        return self._undisturbed_s + min(passed_s, BEAT_INTERVAL_S)

    async def beat(self) -> None:
        """Measure until cancelled."""
        while True:
            cpu_s = time.process_time()
            await asyncio.sleep(BEAT_INTERVAL_S)
            passed_s = self._loop.time() - self._beat_at
            late_s = passed_s - BEAT_INTERVAL_S
            if late_s >= MIN_STALL_S:
                used_s = time.process_time() - cpu_s
                at_s = self._beat_at - self._started_at
                self.stalls.append(Stall(at_s, late_s, used_s))
                passed_s = BEAT_INTERVAL_S
            self._undisturbed_s += passed_s
            self._beat_at = self._loop.time()


@contextlib.asynccontextmanager
async def watch() -> AsyncIterator[Watch]:
    """Yield a watch that measures while the context is open."""
    opened = Watch()
    beating = asyncio.create_task(opened.beat())
    try:
        yield opened
    finally:
        beating.cancel()
        await asyncio.gather(beating, return_exceptions=True)


def summarize(stalls: list[Stall]) -> str:
    """Return number, total length and the longest of the stalls as text."""
    if not stalls:
        return "the platform never stood still"
    longest = max(stalls, key=lambda stall: stall.lasted_s)
    return (
        f"the platform stood still {len(stalls)} times, "
        f"{sum(stall.lasted_s for stall in stalls):.1f} s in all "
        f"({sum(stall.cpu_s for stall in stalls):.1f} s of processor time), "
        f"longest {longest.lasted_s:.1f} s at {longest.at_s:.1f} s"
    )
