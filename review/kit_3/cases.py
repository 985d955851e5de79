"""Runs one case: its exit code, its time limit and its record."""

import asyncio
import os
import pathlib
import signal
import sys
import types
from collections.abc import Awaitable, Callable

from kit_3 import world as world_module

LIMIT_S = 110.0

Play = Callable[[world_module.World, bool], Awaitable[None]]


class CannotRun(Exception):
    """The case could not be brought to the point where a rule is judged."""


def main(file: str, play: Play, *, fronts: int, executors: int) -> None:
    """Play a case; exit with 1 if a rule was broken, 0 if it held.

    It exits with 2 if the case could not run.

    Args:
        file: Path of the case's program; the record goes beside it.
        play: Plays it; gets the deployment and whether there is a disruption.
        fronts: Number of machines of the system.
        executors: Number of executors.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = pathlib.Path(file).resolve().parent / "record.txt"

    async def run() -> world_module.World:
        world = world_module.World(record, fronts=fronts, executors=executors)
        async with asyncio.timeout(LIMIT_S), world.running():
            if not await world.wait_until_ready(25.0):
                raise CannotRun("the machines were not ready in time")
            await asyncio.sleep(1.0)
            await play(world, has_trouble)
        return world

    def stop(number: int, frame: types.FrameType | None) -> None:
        raise KeyboardInterrupt  # Leaves the contexts, which end all processes.

    signal.signal(signal.SIGTERM, stop)
    try:
        world = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError, KeyboardInterrupt) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    for rule in sorted(set(world.broken)):
        print(f"broken: {rule}, {world.broken.count(rule)} times")
    if not world.broken:
        print("held")
    sys.exit(1 if world.broken else 0)
