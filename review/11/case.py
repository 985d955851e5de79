"""A new owner, and executors that list more than 500 ends.

A job has 1,200 tasks for one rack, where two executors take 600 each. All
tasks work until the same moment. Shortly before, the process that last wrote
to the store under a condition is killed. The tasks end while nobody owns them,
so each executor has 600 ends to list, which it does 500 at a time. Every task
has run to its end, and none may start again.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from kit_3 import cases, world as world_module

TASKS = 1200
WORK_MS = 9000
KILLED_BEFORE_S = 0.2
EXECUTORS = 20  # Six a rack: r0, r1 and r2 are full, r3 has two.
DONE_S = 45.0


async def play(world: world_module.World, has_trouble: bool) -> None:
    """Submit the job, kill its owner, and look for second starts."""
    end_at = time.time() + WORK_MS / 1000
    step = {
        "count": TASKS,
        "cpu": 50,
        "mem_mb": 50,
        "estimate_ms": WORK_MS,
        "required_label": "r3",
    }
    body = {"spec": f"until={int(end_at * 1000)}", "steps": [step]}
    job_id = world_module.new_id()
    status = await world.submit(job_id, body)
    if status != 200:
        raise cases.CannotRun(f"the job was not accepted: {status}")
    await asyncio.sleep(end_at - KILLED_BEFORE_S - time.time())
    world.note(f"{len(world.starts)} tasks have started")
    if len(world.starts) < TASKS:
        raise cases.CannotRun("the tasks did not start in time")
    owner = world.find_owner()
    if owner is None:
        raise cases.CannotRun("no process has claimed to own the jobs")
    if has_trouble:
        world.stop(owner, signal.SIGKILL)
    until = time.monotonic() + DONE_S
    while time.monotonic() < until and await world.state(job_id) != "completed":
        await asyncio.sleep(0.3)
    await asyncio.sleep(3.0)
    for executor in world.executors:
        if executor.last_end:
            world.note(
                f"{executor.id}: {executor.last_end} ends, of which"
                f" {executor.last_end_at_lapse} before its lease had lapsed"
            )
    for text in world.starts_after_done():
        world.breaks("TWICE", text)


if __name__ == "__main__":
    cases.main(__file__, play, fronts=6, executors=EXECUTORS)
