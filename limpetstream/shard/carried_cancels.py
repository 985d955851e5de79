"""Brings cancels to an owner whose callers were told that it is unknown.

An owner that has noted a cancel may be unable to write it to the journal, and
the next owner does not know of it then. The caller may not come back, and the
job would go on. So the instance that has told the caller goes on asking, one
cancel after the other, so that it adds little to the work of a late owner.
"""

import asyncio
from collections.abc import Awaitable, Callable

from limpetstream import clock as clock_module
from limpetstream.shard import events
from limpetstream.telemetry import logs

# Longer than an outage of the store in which an owner acts without it
# (``proof.MAX_WITHOUT_APPEND_S``), and the change of owner after it.
CARRY_ON_S = 60.0
PAUSE_S = 0.5
MAX_CANCELS = 1000  # Of 16 characters each; beyond it the oldest is dropped.


class CarriedCancels:
    """Cancels of one instance whose outcome its callers do not know.

    Args:
        cancel: Asks the owner to cancel a job; returns whether it has.
        clock: Source of time.
    """

    def __init__(
        self, cancel: Callable[[str], Awaitable[bool]], clock: clock_module.Clock
    ) -> None:
        self._cancel = cancel
        self._clock = clock
        self._told_at_by_job: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def add(self, job_id: str) -> None:
        """Go on asking for a cancel whose outcome was told as unknown."""
        self._told_at_by_job.pop(job_id, None)
        self._told_at_by_job[job_id] = self._clock.monotonic()
        if len(self._told_at_by_job) > MAX_CANCELS:
            del self._told_at_by_job[next(iter(self._told_at_by_job))]
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def discard(self, job_id: str) -> None:
        """Ask no more, as an owner has answered."""
        self._told_at_by_job.pop(job_id, None)

    def close(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        """Ask for one cancel after the other until none is left."""
        while self._told_at_by_job:
            await self._clock.sleep(PAUSE_S)
            if not self._told_at_by_job:
                return
            job_id, told_at = next(iter(self._told_at_by_job.items()))
            is_taken = await self._cancel(job_id)
            after_s = self._clock.monotonic() - told_at
            if self._told_at_by_job.get(job_id) != told_at:
                continue  # Its caller has come back meanwhile.
            del self._told_at_by_job[job_id]
            if not is_taken and after_s < CARRY_ON_S:
                self._told_at_by_job[job_id] = told_at  # The others come first.
                continue
            logs.emit(
                events.CANCEL_CARRIED,
                job=job_id,
                is_taken=is_taken,
                after_s=round(after_s, 3),
            )
