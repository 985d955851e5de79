"""One scheduled job whose occurrences are all due ends every process.

The job has 3,000 occurrences, a second apart, of which the first was due 3,000
seconds ago. Each has four steps of 36 tasks. The owner makes all its tasks at
once, exceeds the memory of its machine and is killed; so is each next owner.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from kit_3 import cases, overload, world as world_module

OCCURRENCES = 3000
INTERVAL_MS = 1000
STEPS, WIDTH = 4, 36


async def play(world: world_module.World, has_trouble: bool) -> None:
    """Submit the scheduled job among ordinary ones."""
    step = {"count": WIDTH, "cpu": 4200, "mem_mb": 8400, "estimate_ms": 300}
    steps = [{**step, "after": [number - 1]} for number in range(1, STEPS)]
    body = {
        "spec": "ms=300",
        "steps": [step, *steps],
        "run_count": OCCURRENCES if has_trouble else 6,
        "interval_ms": INTERVAL_MS,
    }

    async def trouble() -> None:
        past_ms = OCCURRENCES * INTERVAL_MS if has_trouble else 0
        body["start_time_ms"] = int(time.time() * 1000) - past_ms
        status = await world.submit(world_module.new_id(), body)
        world.note(f"the scheduled job was answered with {status}")

    await overload.play(world, trouble)


if __name__ == "__main__":
    cases.main(__file__, play, fronts=6, executors=24)
