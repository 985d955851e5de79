"""Starts and ends the duties that follow from the rights held here."""

import asyncio
import dataclasses
from collections.abc import Awaitable
from typing import Any

from limpetstream import errors
from limpetstream.batch import (
    context,
    demand,
    duty,
    events,
    explain,
    fleet,
    jobs,
    messages,
    neighbourhood,
    quarantine,
    rounds,
    standing,
)
from limpetstream.telemetry import logs

LOOK_S = 0.2
USAGE_S = 1.0
STANDING_S = 5.0
RETRY_S = 1.0
MAX_AHEAD_MS = 5000
"""Difference of clocks that a usage sample may show."""


def make_duty(
    data_centre: str,
    epoch: int,
    parts: context.Context,
    guard: quarantine.Quarantine | None = None,
) -> duty.Duty:
    """Return the duty for one holding of a data centre's workers."""
    guard = guard or quarantine.Quarantine()
    workers = fleet.Fleet(
        data_centre, parts.state, parts.tree, parts.directory, parts.learned
    )
    waiting = demand.Demand(parts.state, data_centre)
    return duty.Duty(
        data_centre,
        epoch,
        parts,
        workers,
        rounds.Rounds(data_centre, parts, workers, guard, waiting),
        guard,
        neighbourhood.Neighbourhood(parts, workers),
    )


@dataclasses.dataclass(slots=True)
class Scheduler:
    """Batch work of one entry instance.

    Args:
        parts: Parts of the process that are used.
        duty_by_centre: Duties that run now.
        usage_seq: Number of the last usage sample read.
        leaving: Epochs of the rights that are being handed over.
        refused: Standing work that was found to be impossible.
    """

    parts: context.Context
    duty_by_centre: dict[str, duty.Duty] = dataclasses.field(default_factory=dict)
    running: dict[str, asyncio.Task[None]] = dataclasses.field(default_factory=dict)
    retry_at: dict[str, float] = dataclasses.field(default_factory=dict)
    usage_seq: int = 0
    leaving: set[int] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)

    async def run(self) -> None:
        """Work until cancelled; duties end with this task."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_usage())
            group.create_task(self._keep_standing_work())
            while True:
                self.match(group)
                await self.parts.clock.sleep(LOOK_S)

    def match(self, group: asyncio.TaskGroup) -> None:
        """Have one running duty for each right that is held now."""
        now = self.parts.clock.monotonic()
        self.end_lost(now)
        for name in self.parts.tree.names("data-centre"):
            right = self.parts.membership_agent.usable_right(
                jobs.resource_of(name), now
            )
            if right is None or name in self.duty_by_centre:
                continue
            if right.epoch in self.leaving:
                continue
            if now < self.retry_at.get(name, now):
                continue
            made = make_duty(name, right.epoch, self.parts)
            self.duty_by_centre[name] = made
            self.running[name] = group.create_task(self._run_duty(made))
            logs.emit(events.DUTY_STARTED, data_centre=name)

    def end_lost(self, now: float) -> None:
        """End the duties whose rights are no longer held."""
        for name, known in list(self.duty_by_centre.items()):
            right = self.parts.membership_agent.usable_right(known.resource, now)
            if right is None or right.epoch != known.epoch:
                self.running.pop(name).cancel()
                del self.duty_by_centre[name]
                logs.emit(events.DUTY_ENDED, data_centre=name)

    async def hand_over(self, resource: str) -> None:
        """End the duty for a resource whose right is about to be released.

        Running attempts go on under their leases; the next holder adopts them.
        """
        name = resource.removeprefix(jobs.RESOURCE_PREFIX)
        made = self.duty_by_centre.pop(name, None)
        if made is None:
            return
        self.leaving.add(made.epoch)
        task = self.running.pop(name)
        task.cancel()
        await asyncio.wait([task])
        logs.emit(events.DUTY_ENDED, data_centre=name)

    async def _run_duty(self, made: duty.Duty) -> None:
        try:
            await made.run()
        except Exception as error:
            # One faulty duty must not end those of other data centres.
            logs.emit(
                events.DUTY_FAILED, data_centre=made.data_centre, error=repr(error)
            )
            name = made.data_centre
            self.retry_at[name] = self.parts.clock.monotonic() + RETRY_S
            if self.duty_by_centre.get(name) is made:
                del self.duty_by_centre[name]
                del self.running[name]

    async def _follow_usage(self) -> None:
        while True:
            await self.parts.clock.sleep(USAGE_S)
            await self._survive(self.read_usage())

    async def _survive(self, step: Awaitable[None]) -> None:
        """Await one step; an error in it must not end the duties."""
        try:
            await step
        except Exception as error:
            logs.emit(events.DUTY_FAILED, data_centre="", error=repr(error))

    async def read_usage(self) -> None:
        """Read new samples and take the steps that follow."""
        samples: list[Any] = []
        try:
            samples = list(await self.parts.workers.usage(self.usage_seq))
        except errors.PlatformUnavailable:
            logs.emit(events.USAGE_UNAVAILABLE)
        for sample in samples:
            self.usage_seq = max(self.usage_seq, sample.seq)
        # A sample from the future would make all later ones count as old.
        latest_ms = self.parts.clock.wall_ms() + MAX_AHEAD_MS
        samples = [sample for sample in samples if sample.at_ms <= latest_ms]
        self.parts.on_samples(samples)
        for made in list(self.duty_by_centre.values()):
            shares = made.shares()
            made.near.add(samples, shares)
            made.steps(made.near.decide(shares, self.parts.clock.wall()))

    async def _keep_standing_work(self) -> None:
        while True:
            if self.duty_by_centre:
                await self._survive(self.submit_standing())
            await self.parts.clock.sleep(STANDING_S)

    async def submit_standing(self) -> None:
        """Submit and cancel what operators keep in the settings tree."""
        if self.parts.view.age(self.parts.clock.monotonic()) >= duty.FRESH_VIEW_S:
            return
        at_ms = self.parts.clock.wall_ms()
        for kind, body in standing.changes(self.parts.tree, self.parts.state, at_ms):
            if kind == "job.submit" and not self._possible(body):
                continue
            try:
                await self.parts.committer.append(kind, body)
            except errors.LogUnavailable:
                logs.emit(events.LOG_UNAVAILABLE, kind=kind)
                return

    def _possible(self, submit: messages.JobSubmit) -> bool:
        """Tell whether standing work can ever run; name it once if not."""
        workers = fleet.Fleet(
            "", self.parts.state, self.parts.tree, self.parts.directory,
            self.parts.learned,
        )  # fmt: skip
        rooms = explain.rooms_of(workers)
        reasons = explain.never_reasons(submit, rooms, self.parts.state.quota)
        if reasons and submit.job not in self.refused:
            self.refused.add(submit.job)
            logs.emit(events.STANDING_REFUSED, job=submit.job, reasons=reasons)
        if not reasons:
            self.refused.discard(submit.job)
        return not reasons
