"""A cancelled job runs: its cancel is forgotten as the owner is restarted."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit_2"))

import wire  # noqa: E402
import world as world_module  # noqa: E402

LATE_S = 5.5  # A write without an answer is done 1 to 6 s later.
GIVE_UP_S = 0.15  # The client leaves so long after it has sent its job.
CANCEL_S = 3.0  # ``cancel_ms``.
STABLE_S = 3.0  # ``stable_window_ms``.


async def case(folder: pathlib.Path, with_trouble: bool) -> str:
    """Lose the answer to the append of one job, and restart the owner."""
    async with world_module.world(folder, 3, 4) as world:
        owner = await world.owner()
        first = next(each for each in world.instances if each is not owner)
        world.record.note("ready", owner=owner.name, first=first.name)
        await asyncio.sleep(3.5)
        job_id = world_module.job_id()
        path = world_module.PREFIX + job_id

        def lose(instance: str, request: wire.Request) -> float | None:
            if job_id.encode() not in request.body:
                return None
            if request.query["topic"] != "keyed.limpetstream.submissions":
                return None
            world.record.note("append is done late", instance=instance, in_s=LATE_S)
            return LATE_S

        if with_trouble:
            world.store.lose = lose
        connection = await wire.connect(first.front)
        body = world_module.job(ms=500)
        call = asyncio.create_task(
            connection.call("POST", path, world_module.HOST, body)
        )
        world.record.note("POST is sent", path=path, instance=first.name)
        for each in world.instances:  # Their appends are not lost.
            other_path = world_module.PREFIX + world_module.job_id()
            status, _ = await world.call(each, "POST", other_path, body)
            world.record.note("POST of another job", path=other_path, status=status)
        await asyncio.sleep(GIVE_UP_S)
        connection.close()
        await asyncio.gather(call, return_exceptions=True)
        world.record.note("the client has left")
        await asyncio.sleep(0.5)
        world.store.lose = lambda instance, request: None
        counts = {"appends": world.store.appends, "lost": world.store.lost}
        world.record.note("the store is in order again", **counts)
        other = next(each for each in world.instances if each not in (owner, first))
        status, _ = await world.call(other, "DELETE", path)
        cancelled_at = world.record.now()
        world.record.note("DELETE is answered", status=status, instance=other.name)
        if status not in (200, 410):
            raise world_module.CannotRunError(f"the cancel got {status}")
        if with_trouble:
            world.record.note("SIGTERM", instance=owner.name)
            owner.send(signal.SIGTERM)
        until = time.monotonic() + LATE_S + 6.0
        while time.monotonic() < until:
            await asyncio.sleep(0.1)
        world.record.note("state", answer=await world.call(other, "GET", path))
        late = [
            at - cancelled_at
            for at in world.record.starts_of(job_id)
            if at - cancelled_at > CANCEL_S
        ]
        if late:
            return f"UNASKED: a task started {late[0]:.2f} s after the cancel"
        return ""


if __name__ == "__main__":
    world_module.main(case, FOLDER)
