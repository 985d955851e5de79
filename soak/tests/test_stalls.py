"""Tests of the watch for times in which the platform of a run stands still."""

import asyncio
import time

from soak import _stalls


def test_a_stall_is_noted_with_its_length():
    """Guards against red runs that hide that the platform stood still."""

    async def run():
        async with _stalls.watch() as watch:
            await asyncio.sleep(0.01)
            time.sleep(0.5)
            await asyncio.sleep(0.2)
        return watch.stalls

    stalls = asyncio.run(run())
    assert stalls
    assert max(stall.lasted_s for stall in stalls) >= 0.35
    assert "stood still" in _stalls.summarize(stalls)
    assert _stalls.summarize([]) == "the platform never stood still"
