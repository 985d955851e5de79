"""Records and frames between an append and its verdict."""

import asyncio
import dataclasses
from typing import Any

from limpetstream.records import view


@dataclasses.dataclass(slots=True, eq=False)
class PendingRecord:
    """One record between ``append`` and its verdict."""

    kind: str
    body: Any
    resource: str | None
    epoch: int
    size: int
    done: asyncio.Future[view.ApplyResult]
    sequence: int = 0


@dataclasses.dataclass(slots=True)
class Frame:
    """Records under way in one append, sent again until it is in the log."""

    lines: list[str] = dataclasses.field(default_factory=list)
    last_sequence: int = 0
    size: int = 0
    in_log: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


async def wait_for_first(
    *awaitables: Any, keep: asyncio.Future[Any] | None = None
) -> None:
    """Wait until one of several is done; cancel the others except ``keep``."""
    tasks = [asyncio.ensure_future(each) for each in awaitables]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    except asyncio.CancelledError:
        if keep is not None:
            keep.cancel()
        raise
    finally:
        for task in tasks:
            if task is not keep:
                task.cancel()
