"""Clients that call the simulated platform directly, on virtual time.

They serve deterministic tests. ``MemoryLog`` and ``MemoryWorkers`` have the
methods of ``platform.log.Log`` and ``platform.workers.WorkerClient`` and use a
``simulation.Platform``, which the clients of several simulated processes may
share. Fault switches, breaches and time limits are those of the HTTP stand-in.

>>> from standins import virtual_time
>>> loop = virtual_time.Loop()
>>> clock_of_test = virtual_time.make_clock(loop)
>>> platform = simulation.Platform(clock=clock_of_test)
>>> log = MemoryLog(platform)
>>> async def main():
...     offset = await log.append("control", ["a"])
...     return offset, (await log.read("control", 0)).frames[0].records
>>> virtual_time.run(main(), loop=loop)
(0, ['a'])
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from limpetstream import clock, errors
from limpetstream.platform import instances, messages, workers
from standins import simulation


class _TimeLimitedCaller:
    """Makes calls with a time limit; a call may take effect after it.

    While ``cut`` is set, this client alone cannot reach the platform: its
    calls are lost without an effect.

    Args:
        fails_as: Error that a failed call raises.
    """

    def __init__(self, *, fails_as: type[errors.PlatformUnavailable]) -> None:
        self.cut = False
        self._fails_as = fails_as
        self._running: set[asyncio.Task[Any]] = set()

    async def call(self, work: Coroutine[Any, Any, Any], timeout_s: float) -> Any:
        """Run ``work``; after the time limit it continues in the background.

        Raises:
            PlatformUnavailable: No answer within ``timeout_s``, or the call
                failed; the class is ``fails_as``.
        """
        if self.cut:
            work.close()
            await asyncio.sleep(timeout_s)
            raise self._fails_as("client is cut off from the platform")
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._forget_task)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(task)
        except TimeoutError:
            raise self._fails_as(f"no answer within {timeout_s} s") from None
        except errors.PlatformUnavailable as error:
            raise self._fails_as(str(error)) from error

    def _forget_task(self, task: asyncio.Task[Any]) -> None:
        self._running.discard(task)
        if not task.cancelled():
            # Marks the exception as retrieved: the caller may have given up.
            task.exception()


class MemoryLog:
    """Client of the log with the methods of ``platform.log.Log``.

    Args:
        platform: Platform that may be shared with other clients.
        append_timeout_s: Time limit of an append.
        read_timeout_s: Time limit of a read, in addition to its wait.
    """

    def __init__(
        self,
        platform: simulation.Platform,
        *,
        append_timeout_s: float = 2.0,
        read_timeout_s: float = 1.0,
    ) -> None:
        self._platform = platform
        self._append_timeout_s = append_timeout_s
        self._read_timeout_s = read_timeout_s
        self._caller = _TimeLimitedCaller(fails_as=errors.LogUnavailable)

    def set_cut(self, cut: bool) -> None:
        """Cut this client off from the log, or reconnect it."""
        self._caller.cut = cut

    async def append(self, stream: str, lines: Iterable[str]) -> int:
        """Append one frame; see ``platform.log.Log.append``."""
        work = self._platform.append(stream, list(lines))
        return await self._caller.call(work, self._append_timeout_s)

    async def read(
        self, stream: str, start: int, *, max_frames: int = 500, wait_ms: int = 0
    ) -> messages.Page:
        """Read frames; see ``platform.log.Log.read``."""
        work = self._platform.read(
            stream, start, max_frames=max_frames, wait_ms=wait_ms
        )
        return await self._caller.call(work, wait_ms / 1000 + self._read_timeout_s)


class MemoryWorkers:
    """Client of the workers, as ``platform.workers.WorkerClient``.

    Args:
        platform: Platform that may be shared with other clients.
        clock: Clock of the simulated process; the platform's clock by
            default.
        timeout_s: Time limit of a call.
    """

    def __init__(
        self,
        platform: simulation.Platform,
        *,
        clock: clock.Clock | None = None,
        timeout_s: float = 1.0,
    ) -> None:
        self._platform = platform
        self._clock = clock or platform.clock
        self._timeout_s = timeout_s
        self._caller = _TimeLimitedCaller(fails_as=errors.PlatformUnavailable)
        self.reading_by_worker: dict[str, workers.ClockReading] = {}

    def set_cut(self, cut: bool) -> None:
        """Cut this client off from the workers, or reconnect it."""
        self._caller.cut = cut

    async def status(self, worker: str) -> messages.Status:
        """Return the worker's clock and the states of its attempts."""
        return await self._call_worker("status", worker, self._platform.fleet.status)

    async def start(
        self, worker: str, starts: Iterable[messages.Start]
    ) -> messages.Started:
        """Start attempts; each has an answer of its own."""
        return await self._call_worker(
            "start", worker, self._platform.fleet.start, list(starts)
        )

    async def renew(
        self, worker: str, leases: Iterable[messages.Lease]
    ) -> messages.Renewed:
        """Extend leases; a lease never gets shorter."""
        return await self._call_worker(
            "renew", worker, self._platform.fleet.renew, list(leases)
        )

    async def throttle(
        self, worker: str, attempt: str, share: float
    ) -> messages.Changed:
        """Limit an attempt to a share of its processors."""
        return await self._call_worker(
            "throttle", worker, self._platform.fleet.throttle, attempt, share
        )

    async def checkpoint(self, worker: str, attempt: str) -> messages.Checkpointed:
        """Take a checkpoint of a running attempt and return its name."""
        return await self._call_worker(
            "checkpoint", worker, self._platform.fleet.checkpoint, attempt
        )

    async def stop(self, worker: str, attempt: str) -> messages.Changed:
        """Stop an attempt permanently and return its final state."""
        return await self._call_worker(
            "stop", worker, self._platform.fleet.stop, attempt
        )

    async def usage(self, since: int) -> list[messages.Sample]:
        """Return the delivered samples numbered above ``since``."""
        work = self._platform.read_usage(since)
        return (await self._caller.call(work, self._timeout_s)).samples

    async def _call_worker(
        self, name: str, worker: str, effect: Callable[..., Any], *values: Any
    ) -> Any:
        work = self._platform.call_worker(
            name, worker, lambda now: effect(worker, *values, now)
        )
        answer = await self._caller.call(work, self._timeout_s)
        self.reading_by_worker[worker] = workers.ClockReading(
            answer.clock_ms, self._clock.monotonic()
        )
        return answer


def instance_fetcher(
    platform: simulation.Platform, *, timeout_s: float = instances.READ_TIMEOUT_S
) -> instances.Fetch:
    """Return the fetch function of a ``platform.instances.Directory``."""
    caller = _TimeLimitedCaller(fails_as=errors.PlatformUnavailable)

    async def fetch(version: str) -> messages.InstanceList:
        return await caller.call(platform.read_instances(version), timeout_s)

    return fetch
