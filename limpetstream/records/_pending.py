"""Records and frames that have not been read back from the log yet."""

import asyncio
import dataclasses
from typing import Any

from limpetstream.records import view


@dataclasses.dataclass(slots=True, eq=False)
class PendingRecord:
    """One record between ``append`` and its result.

    Args:
        kind: Kind of the record.
        body: Body, a dataclass instance.
        resource: Resource whose right the writer uses, if any.
        epoch: Epoch of that right.
        size: Approximate size in bytes.
        future: Result of the record, set when it has been read back.
        sequence: Sequence number at the writer; 0 until it is put in a frame.
    """

    kind: str
    body: Any
    resource: str | None
    epoch: int
    size: int
    future: asyncio.Future[view.ApplyResult]
    sequence: int = 0


@dataclasses.dataclass(slots=True)
class Frame:
    """Records that are appended together, and sent again until in the log.

    Args:
        lines: Encoded records.
        last_sequence: Sequence number of the last record.
        size: Approximate size in bytes.
        in_log: Set when the frame is known to be in the log, since its last
            record was read back or is covered by a loaded snapshot; also set
            to stop sending the frame.
    """

    lines: list[str] = dataclasses.field(default_factory=list)
    last_sequence: int = 0
    size: int = 0
    in_log: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


async def wait_for_first(
    *awaitables: Any, keep: asyncio.Future[Any] | None = None
) -> None:
    """Wait until one awaitable is done; cancel the others except ``keep``.

    If the caller is cancelled, ``keep`` is cancelled as well.
    """
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
