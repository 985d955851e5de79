"""Lifecycle state, signals and supervised tasks of an entry instance."""

import asyncio
import contextlib
import dataclasses
import signal
from collections.abc import AsyncIterator, Awaitable, Callable

from limpetstream import clock
from limpetstream.entry import events
from limpetstream.telemetry import logs

STARTING = "starting"
SERVING = "serving"
LEAVING = "leaving"
LOG_UNREACHABLE = "log-unreachable"

TASK_RESTART_DELAY_S = 0.5


@dataclasses.dataclass(slots=True)
class Lifecycle:
    """Lifecycle state of one entry instance.

    Args:
        state: ``starting``, ``serving`` or ``leaving``.
        stop: Set when a planned stop has been requested.
        abort: Set when the planned stop must end at once.
    """

    state: str = STARTING
    stop: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    abort: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def request_stop(self) -> None:
        """Request a planned stop; a second request aborts it."""
        if self.stop.is_set():
            logs.emit(events.STOP_CUT_SHORT)
            self.abort.set()
        self.stop.set()


@contextlib.asynccontextmanager
async def signal_handlers(lifecycle: Lifecycle) -> AsyncIterator[None]:
    """Make SIGTERM and SIGINT request a planned stop within the block."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lifecycle.request_stop)
    try:
        yield
    finally:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(number)


async def supervise(
    name: str, run: Callable[[], Awaitable[None]], clock_: clock.Clock
) -> None:
    """Run a task; after an unexpected error, log it and restart the task.

    Args:
        name: Name of the task in log lines.
        run: Starts the task; called again for each restart.
        clock_: Time source.
    """
    while True:
        try:
            await run()
            return
        except asyncio.CancelledError:
            raise
        except Exception as error:
            text = f"{type(error).__name__}: {error}"
            logs.emit(events.TASK_FAILED, task=name, error=text)
            await clock_.sleep(TASK_RESTART_DELAY_S)


@contextlib.asynccontextmanager
async def run_in_background(
    clock_: clock.Clock, run_by_name: dict[str, Callable[[], Awaitable[None]]]
) -> AsyncIterator[None]:
    """Run supervised tasks within the block and cancel them at its end."""
    tasks = [
        asyncio.create_task(supervise(name, run, clock_), name=name)
        for name, run in run_by_name.items()
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def wait_or_abort(lifecycle: Lifecycle, work: Awaitable[None]) -> bool:
    """Wait for a step of the planned stop, or until the stop is aborted.

    Returns:
        Whether the step completed; an aborted step is cancelled.
    """
    step = asyncio.ensure_future(work)
    abort = asyncio.create_task(lifecycle.abort.wait())
    try:
        await asyncio.wait({step, abort}, return_when=asyncio.FIRST_COMPLETED)
        return step.done() and not step.cancelled()
    finally:
        for task in (step, abort):
            task.cancel()
        await asyncio.gather(step, abort, return_exceptions=True)
