"""Notes when the process that serves the platform of a run stands still.

Store and executors answer nobody then, which the instances take for faults
that no seed has drawn.
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


@contextlib.asynccontextmanager
async def watch() -> AsyncIterator[list[Stall]]:
    """Yield a list to which the stalls of the running loop are added."""
    found: list[Stall] = []
    beating = asyncio.create_task(_beat(found))
    try:
        yield found
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


async def _beat(found: list[Stall]) -> None:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while True:
        slept_at, cpu_s = loop.time(), time.process_time()
        await asyncio.sleep(BEAT_INTERVAL_S)
        late_s = loop.time() - slept_at - BEAT_INTERVAL_S
        if late_s >= MIN_STALL_S:
            used_s = time.process_time() - cpu_s
            found.append(Stall(slept_at - started_at, late_s, used_s))
