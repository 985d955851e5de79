"""Judges ordinary jobs beside a client whose jobs are large."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from kit_3 import world as world_module

JOBS_PER_S = 2.0
BEFORE_S = 4.0
AFTER_S = 20.0
FINISH_S = 14.0  # ``finish_s``
ASKED_JOBS = 8  # Of those that were accepted last.
ASKED_FOR_S = 10.0  # Clients go on asking for so long.
IDLE_S = 3.0  # "for 3 s, a job has nothing running"
OWN_ENDS = 3  # "processes end by themselves three times in the day"
MACHINES = 2  # "a tenth of the machines in use (two at least)"
KNOWN_STATES = ("queued", "running", "completed")
SMALL_JOB = {
    "spec": "ms=300",
    "steps": [{"count": 4, "cpu": 2000, "mem_mb": 500, "estimate_ms": 300}],
}

Trouble = Callable[[], Awaitable[None]]


async def play(world: world_module.World, trouble: Trouble) -> None:
    """Submit ordinary jobs, with the trouble among them, and ask for them."""
    accepted: list[str] = []
    await _submit_for(world, BEFORE_S, accepted)
    await trouble()
    world.note("the large jobs were sent")
    first_after = len(accepted)
    await _submit_for(world, AFTER_S, accepted)
    world.note(f"end of the traffic; {len(accepted)} ordinary jobs accepted")
    await asyncio.sleep(FINISH_S)
    asked = accepted[first_after:][-ASKED_JOBS:]
    await asyncio.gather(*[_ask(world, job_id) for job_id in asked])
    over = [
        front
        for front in world.fronts
        if front.memory_kills + front.own_ends >= OWN_ENDS
    ]
    if len(over) >= MACHINES:
        names = ", ".join(front.name for front in over)
        world.breaks("Fault", f"processes ended three times or more on {names}")


async def _submit_for(
    world: world_module.World, seconds: float, accepted: list[str]
) -> None:
    async def submit() -> None:
        job_id = world_module.new_id()
        if await world.submit(job_id, SMALL_JOB) == 200:
            accepted.append(job_id)

    tasks = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(submit()))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*tasks)


async def _ask(world: world_module.World, job_id: str) -> None:
    """Ask for an accepted job, again and again until it is answered for.

    A job that is known and has not started counts as lost only if nothing at
    all runs: then less than half of the capacity is in use, and there is room.
    """
    until = time.monotonic() + ASKED_FOR_S
    state = ""
    while state not in KNOWN_STATES and time.monotonic() < until:
        state = await world.state(job_id)
        await asyncio.sleep(0.3)
    if state not in KNOWN_STATES:
        shown = state or "no answer"
        world.breaks("LOST", f"{job_id} was accepted and is asked for: {shown}")
        return
    until = time.monotonic() + IDLE_S
    while time.monotonic() < until:
        if any(task.startswith(job_id) for _, _, task, _ in world.starts):
            return
        if any(executor.run_by_task for executor in world.executors):
            return
        await asyncio.sleep(0.02)
    world.breaks("LOST", f"{job_id} was accepted, is {state}, and nothing runs")
