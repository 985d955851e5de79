"""A rolling restart cuts off cancels that a leaving instance has read."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit_2"))

import wire  # noqa: E402
import world as world_module  # noqa: E402

GAP_S = 2.4  # Between two stops; the site plays 1.0 to 2.0 (``roll_term``).
INSTANCES = 7  # As on the site.
SLACK_S = 0.2  # ``loss_slack_ms``.
# Each client has submitted its job over its connection, which is open since
# before the first stop, and cancels the job so long after that stop.
CANCELS_AFTER_S = [2.3 + 0.1 * number for number in range(16)]


async def cancel(
    world: world_module.World,
    connection: wire.Connection,
    path: str,
    at: float,
) -> str:
    """Cancel a job at a time; return what broke the rule, or nothing."""
    await asyncio.sleep(at - time.monotonic())
    sent_at = time.monotonic()
    world.record.note("DELETE is sent", path=path)
    status, _ = await connection.call("DELETE", path, world_module.HOST)
    took_s = time.monotonic() - sent_at
    world.record.note("DELETE ends", path=path, status=status, after_s=f"{took_s:.3f}")
    if status == 0 and took_s > SLACK_S:
        return f"no answer to {path}, cut off {took_s:.2f} s after it was sent"
    return ""


async def case(folder: pathlib.Path, with_trouble: bool) -> str:
    """Stop an instance, then the owner; clients of the first cancel jobs."""
    async with world_module.world(folder, INSTANCES, 4) as world:
        owner = await world.owner()
        first = next(each for each in world.instances if each is not owner)
        world.record.note("ready", owner=owner.name, clients_at=first.name)
        clients = []
        for _ in CANCELS_AFTER_S:
            connection = await wire.connect(first.front)
            path = world_module.PREFIX + world_module.job_id()
            body = world_module.job(ms=20_000)
            status, _ = await connection.call("POST", path, world_module.HOST, body)
            world.record.note("submitted", path=path, status=status)
            if status != 200:
                raise world_module.CannotRunError(f"a job got {status}")
            clients.append((connection, path))
        await asyncio.sleep(3.5)  # Calm for more than ``stable_window_ms``.
        began_at = time.monotonic()
        calls = [
            asyncio.create_task(cancel(world, connection, path, began_at + after_s))
            for (connection, path), after_s in zip(
                clients, CANCELS_AFTER_S, strict=True
            )
        ]
        if with_trouble:
            world.record.note("SIGTERM", instance=first.name)
            first.send(signal.SIGTERM)
            await asyncio.sleep(GAP_S)
            world.record.note("SIGTERM", instance=owner.name)
            owner.send(signal.SIGTERM)
        found = [each for each in await asyncio.gather(*calls) if each]
        if with_trouble:
            by_itself = await first.ended(6.0)
            world.record.note("has ended", instance=first.name, by_itself=by_itself)
            first.start()
            await owner.ended(6.0)
            owner.start()
        return f"LOST: {len(found)} requests; {found[0]}" if found else ""


if __name__ == "__main__":
    world_module.main(case, FOLDER)
