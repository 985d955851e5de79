"""Event loop on virtual time.

Timers fire without waiting, so a seeded test is fast and repeatable.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from limpetstream import clock

EPOCH_S = 1_800_000_000.0
# Turns a busy loop, in which the time never advances, into a failure.
MAX_STEPS_AT_ONE_TIME = 100_000


class _Selector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self._steps = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return ready files; if there are none, advance the time.

        Raises:
            RuntimeError: Nothing can wake the loop, or the time has not
                advanced for ``MAX_STEPS_AT_ONE_TIME`` steps.
        """
        # The loop's own wake-up socket is always registered: the system is
        # asked only if there is another file, as that call takes a tenth of
        # the time of a search.
        ready = super().select(0) if len(self._fd_to_key) > 1 else []
        if not ready and timeout is None:
            raise RuntimeError("virtual time: no timer is set and no file is ready")
        before = self.now
        if not ready and timeout:
            self.now += timeout
        self._steps = 0 if self.now > before else self._steps + 1
        if self._steps > MAX_STEPS_AT_ONE_TIME:
            self._steps = 0
            raise RuntimeError(
                f"virtual time does not advance from {self.now} s: {_describe_tasks()}"
            )
        return ready


def _describe_tasks() -> list[str]:
    """Return the innermost stack frame of each task of the running loop."""
    return [
        f"{task.get_name()}: {task.get_stack(limit=1)}" for task in asyncio.all_tasks()
    ]


class Loop(asyncio.SelectorEventLoop):
    """Event loop whose timers fire without waiting."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        self.processor_s = 0.0
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return virtual seconds since the start of the loop."""
        return self._virtual.now

    def use_processor(self, seconds: float) -> None:
        """Advance the time by what the running callback takes.

        All timers and callbacks of the loop are late meanwhile.
        """
        self._virtual.now += seconds
        self.processor_s += seconds


def make_clock(loop: Loop, *, rate: float = 1.0, offset: float = 0.0) -> clock.Clock:
    """Return the clock of one simulated process on the loop's time.

    Args:
        loop: Loop that drives the time.
        rate: Rate of its monotonic clock relative to the loop's, such as
            1.01.
        offset: Offset of its monotonic clock in seconds.
    """

    async def sleep(seconds: float) -> None:
        await asyncio.sleep(seconds / rate)

    return clock.Clock(
        monotonic=lambda: loop.time() * rate + offset,
        wall=lambda: EPOCH_S + loop.time(),
        sleep=sleep,
        processor=lambda: loop.processor_s,
    )


def run(main: Coroutine[Any, Any, Any], *, loop: Loop | None = None) -> Any:
    """Run a coroutine on virtual time and return its result.

    >>> async def two_hours() -> str:
    ...     await asyncio.sleep(7200)
    ...     return "done"
    >>> run(two_hours())
    'done'
    """
    event_loop = loop or Loop()
    try:
        return event_loop.run_until_complete(main)
    finally:
        pending = asyncio.all_tasks(event_loop)
        for task in pending:
            task.cancel()
        if pending:
            event_loop.run_until_complete(
                asyncio.gather(*pending, return_exceptions=True)
            )
        event_loop.close()
