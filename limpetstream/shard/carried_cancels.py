"""Brings cancels to an owner whose callers were told that it is unknown.

An owner that has noted a cancel may be unable to write it to the journal, and
the next owner does not know of it then. The caller may not come back, and the
job would go on. So the instance that has told the caller goes on asking, one
cancel after the other, with a pause as long as the answer took, so that it
adds little to the work of a late owner.

That instance may end as well. It hands the cancel over to others at once, and
they go on asking too: a final state never changes, so a second cancel does no
harm. What an instance has got from others it hands over only when it is
stopped.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from limpetstream import clock as clock_module
from limpetstream.shard import events, peer_messages
from limpetstream.telemetry import logs

# Longer than an outage of the store in which an owner acts without it
# (``proof.MAX_WITHOUT_APPEND_S``), and the change of owner after it.
CARRY_ON_S = 60.0
PAUSE_S = 0.5  # Longest pause, and the one after a try without an answer.
MAX_SHARE_PAUSE_S = 4.0  # Each try looks the group up, if the store answers.
MAX_CANCELS = 1000  # Of 16 characters each; beyond it the oldest is dropped.


HandOver = Callable[[list[peer_messages.CarriedCancel]], Awaitable[bool]]


class CarriedCancels:
    """Cancels whose callers do not know the outcome.

    Args:
        cancel: Asks the owner to cancel a job; returns whether it has.
        hand_over: Passes cancels to other instances; returns whether one has
            taken them.
        clock: Source of time.
    """

    def __init__(
        self,
        cancel: Callable[[str], Awaitable[bool]],
        hand_over: HandOver,
        clock: clock_module.Clock,
    ) -> None:
        self._cancel = cancel
        self._hand_over = hand_over
        self._clock = clock
        self._told_at_by_job: dict[str, float] = {}
        self._unshared_jobs: dict[str, None] = {}  # In the order of their arrival.
        self._task: asyncio.Task[None] | None = None
        self._sharing: asyncio.Task[None] | None = None
        self._max_share_pause_s = MAX_SHARE_PAUSE_S

    def add(self, job_id: str) -> None:
        """Go on asking for a cancel whose outcome was told as unknown."""
        self.discard(job_id)
        self._told_at_by_job[job_id] = self._clock.monotonic()
        if len(self._told_at_by_job) > MAX_CANCELS:
            self.discard(next(iter(self._told_at_by_job)))
        self._ask()
        self._share([job_id])

    def take(self, carried: list[peer_messages.CarriedCancel]) -> bool:
        """Ask for cancels of another instance as well.

        Returns:
            Whether they were taken; not if there would be too many.
        """
        now = self._clock.monotonic()
        told_at_by_job = {
            each.job_id: now - CARRY_ON_S + min(each.left_s, CARRY_ON_S)
            for each in carried
            if each.left_s > 0 and each.job_id not in self._told_at_by_job
        }
        if len(self._told_at_by_job) + len(told_at_by_job) > MAX_CANCELS:
            return False
        self._told_at_by_job.update(told_at_by_job)
        self._ask()
        return True

    def discard(self, job_id: str) -> None:
        """Ask no more, as an owner has answered."""
        self._told_at_by_job.pop(job_id, None)
        self._unshared_jobs.pop(job_id, None)

    def share_all(self) -> None:
        """Hand everything over, as this instance is being stopped.

        It has little time, so tries are no longer spread.
        """
        if self._sharing is not None:
            self._sharing.cancel()
            self._sharing = None
        self._max_share_pause_s = PAUSE_S
        self._share(list(self._told_at_by_job))

    def is_sharing(self) -> bool:
        """Return whether something is still to be handed over."""
        return self._sharing is not None and not self._sharing.done()

    def close(self) -> None:
        """Ask no more."""
        for task in (self._task, self._sharing):
            if task is not None:
                task.cancel()

    def _ask(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def _share(self, job_ids: list[str]) -> None:
        self._unshared_jobs.update(dict.fromkeys(job_ids))
        if self._unshared_jobs and (self._sharing is None or self._sharing.done()):
            self._sharing = asyncio.create_task(self._run_sharing())

    async def _run(self) -> None:
        """Ask for one cancel after the other until none is left."""
        pause_s = PAUSE_S
        while self._told_at_by_job:
            await self._clock.sleep(pause_s)
            if not self._told_at_by_job:
                return
            job_id, told_at = next(iter(self._told_at_by_job.items()))
            asked_at = self._clock.monotonic()
            is_taken = await self._cancel(job_id)
            now = self._clock.monotonic()
            after_s = now - told_at
            pause_s = min(PAUSE_S, now - asked_at) if is_taken else PAUSE_S
            if self._told_at_by_job.get(job_id) != told_at:
                continue  # Its caller has come back meanwhile.
            if not is_taken and after_s < CARRY_ON_S:
                del self._told_at_by_job[job_id]
                self._told_at_by_job[job_id] = told_at  # The others come first.
                continue
            self.discard(job_id)
            logs.emit(
                events.CANCEL_CARRIED,
                job=job_id,
                is_taken=is_taken,
                after_s=round(after_s, 3),
            )

    async def _run_sharing(self) -> None:
        """Hand over until another instance has taken everything."""
        pause_s = PAUSE_S
        while self._unshared_jobs:
            job_ids = list(
                itertools.islice(
                    self._unshared_jobs, peer_messages.MAX_CARRIED_IN_REQUEST
                )
            )
            carried = self._describe(job_ids)
            if carried and not await self._hand_over(carried):
                await self._clock.sleep(pause_s)
                pause_s = min(self._max_share_pause_s, 2 * pause_s)
                continue
            pause_s = PAUSE_S
            for job_id in job_ids:
                self._unshared_jobs.pop(job_id, None)

    def _describe(self, job_ids: list[str]) -> list[peer_messages.CarriedCancel]:
        """Return the cancels among jobs that others are still to ask for."""
        now = self._clock.monotonic()
        left_s_by_job = {
            job_id: self._told_at_by_job[job_id] + CARRY_ON_S - now
            for job_id in job_ids
        }
        return [
            peer_messages.CarriedCancel(job_id, round(left_s, 3))
            for job_id, left_s in left_s_by_job.items()
            if left_s > 0
        ]
