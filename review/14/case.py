"""Starts that were decided before a zone is emptied go on for seconds.

Large jobs need the rack of one zone. Their tasks are placed within a second,
and their starts wait for one another at the rack's six executors. The operator
has the zone emptied meanwhile. The starts that wait are sent all the same.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from kit_3 import cases, world as world_module

JOBS = 3
TASKS = 4096
ZONE = "gl-erie"  # Of rack r0.
EVACUATED_AFTER_S = 3.0
EVACUATE_S = 5.0  # ``evacuate_ms``
WATCHED_S = 25.0


async def play(world: world_module.World, has_trouble: bool) -> None:
    """Submit the jobs, have the zone emptied, and look for late starts."""
    step = {
        "count": TASKS,
        "cpu": 30,
        "mem_mb": 20,
        "estimate_ms": 60_000,
        "required_label": "r0",
    }
    body = {"spec": "ms=60000", "steps": [step]}
    for _ in range(JOBS):
        status = await world.submit(world_module.new_id(), body)
        if status != 200:
            raise cases.CannotRun(f"a job was not accepted: {status}")
    await asyncio.sleep(EVACUATED_AFTER_S)
    if has_trouble:
        world.store.write("keyed.op", f"evacuate/{ZONE}", b"{}")
    acked_at = time.monotonic()
    world.note(f"{ZONE} is to be emptied; {len(world.starts)} tasks have started")
    await asyncio.sleep(WATCHED_S)
    last_s = max(at for at, _, _, _ in world.starts) - acked_at
    world.note(f"the last one {last_s:.1f} s after the acknowledgement")
    zone_by_id = {executor.id: executor.zone for executor in world.executors}
    world.note(f"{len(world.starts)} tasks have started in all")
    for at, executor, task, number in world.starts:
        late_s = at - acked_at
        if has_trouble and zone_by_id[executor] == ZONE and late_s > EVACUATE_S:
            text = f"{task} run {number} on {executor}, {late_s:.3f} s after"
            world.breaks("EVAC", text)


if __name__ == "__main__":
    cases.main(__file__, play, fronts=6, executors=24)
