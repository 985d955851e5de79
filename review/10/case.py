"""A job is unknown to the owner after one of its connections goes silent."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit_2"))

import world as world_module  # noqa: E402

# ``visible_ms`` and 2 s.
BOUND_S = 5.0
STABLE_S = 3.0  # ``stable_window_ms``.
ASKED_UNTIL_S = 8.0
ASK_INTERVAL_S = 0.1


async def submit(
    world: world_module.World, instance: world_module.Instance, ms: int
) -> str:
    """Hand a job in and return its id."""
    job_id = world_module.job_id()
    path = world_module.PREFIX + job_id
    status, _ = await world.call(instance, "POST", path, world_module.job(ms=ms))
    world.record.note("POST", job=job_id, instance=instance.name, status=status)
    if status != 200:
        raise world_module.CannotRunError(f"a job got {status}")
    return job_id


async def case(folder: pathlib.Path, with_trouble: bool) -> str:
    """Let the connection of the owner's present read of new jobs go silent."""
    async with world_module.world(folder, 3, 4) as world:
        owner = await world.owner()
        other = next(each for each in world.instances if each is not owner)
        world.record.note("ready", owner=owner.name, client_at=other.name)
        await asyncio.sleep(3.5)
        await submit(world, other, 100)  # Answers the read; the next one begins.
        await asyncio.sleep(0.1)
        if with_trouble:
            world.record.note("an open connection goes silent", of=owner.name)
            line = owner.name, "keyed.limpetstream.submissions"
            world.store.silent_before[line] = time.monotonic()
        await asyncio.sleep(0.05)
        job_id = await submit(world, other, 100)
        accepted_at = time.monotonic()
        broken = ""
        while time.monotonic() < accepted_at + ASKED_UNTIL_S:
            status, body = await world.call(other, "GET", world_module.PREFIX)
            after_s = time.monotonic() - accepted_at
            has_begun = bool(world.record.starts_of(job_id))
            world.record.note("GET", status=status, body=body, begun=has_begun)
            # The job's start is seen before the answer, so it has not begun.
            if after_s > BOUND_S and not has_begun and status == 200:
                if body["waiting"] == 0 and not broken:
                    broken = (
                        f"MIXED: 0 jobs wait {after_s:.2f} s after one was "
                        "accepted that has not begun"
                    )
            await asyncio.sleep(ASK_INTERVAL_S)
        return broken


if __name__ == "__main__":
    world_module.main(case, FOLDER)
