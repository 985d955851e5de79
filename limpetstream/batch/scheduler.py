"""Starts and ends the duties that follow from the rights held here."""

import asyncio
import dataclasses
from collections.abc import Awaitable
from typing import Any

from limpetstream import errors
from limpetstream.batch import (
    colocation_monitor,
    configured_jobs,
    context,
    data_centre_scheduler,
    demand,
    events,
    explain,
    fleet,
    jobs,
    messages,
    planner,
    quarantine,
)
from limpetstream.telemetry import logs

RECONCILE_INTERVAL_S = 0.2
USAGE_INTERVAL_S = 1.0
CONFIGURED_JOBS_INTERVAL_S = 5.0
RETRY_DELAY_S = 1.0
MAX_SAMPLE_AHEAD_MS = 5000
"""Difference of clocks that a usage sample may show."""


def make_scheduler(
    data_centre: str,
    epoch: int,
    context: context.Context,
    guard: quarantine.Quarantine | None = None,
) -> data_centre_scheduler.DataCentreScheduler:
    """Return the duty for one holding of a data centre's workers."""
    guard = guard or quarantine.Quarantine()
    workers = fleet.Fleet(
        data_centre, context.state, context.tree, context.directory, context.usage_model
    )
    waiting = demand.Demand(context.state, data_centre)
    return data_centre_scheduler.DataCentreScheduler(
        data_centre,
        epoch,
        context,
        workers,
        planner.Planner(data_centre, context, workers, guard, waiting),
        guard,
        colocation_monitor.ColocationMonitor(context, workers),
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

    context: context.Context
    scheduler_by_data_centre: dict[str, data_centre_scheduler.DataCentreScheduler] = (
        dataclasses.field(default_factory=dict)
    )
    runner_by_data_centre: dict[str, asyncio.Task[None]] = dataclasses.field(
        default_factory=dict
    )
    retry_at_by_data_centre: dict[str, float] = dataclasses.field(default_factory=dict)
    usage_seq: int = 0
    released_epochs: set[int] = dataclasses.field(default_factory=set)
    refused_jobs: set[str] = dataclasses.field(default_factory=set)

    async def run(self) -> None:
        """Work until cancelled; duties end with this task."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_usage())
            group.create_task(self._keep_standing_work())
            while True:
                self.reconcile(group)
                await self.context.clock.sleep(RECONCILE_INTERVAL_S)

    def reconcile(self, group: asyncio.TaskGroup) -> None:
        """Have one running duty for each right that is held now."""
        now = self.context.clock.monotonic()
        self.stop_lost(now)
        for name in self.context.tree.names("data-centre"):
            right = self.context.membership_agent.usable_right(
                jobs.resource_of(name), now
            )
            if right is None or name in self.scheduler_by_data_centre:
                continue
            if right.epoch in self.released_epochs:
                continue
            if now < self.retry_at_by_data_centre.get(name, now):
                continue
            made = make_scheduler(name, right.epoch, self.context)
            self.scheduler_by_data_centre[name] = made
            self.runner_by_data_centre[name] = group.create_task(self._run_duty(made))
            logs.emit(events.DUTY_STARTED, data_centre=name)

    def stop_lost(self, now: float) -> None:
        """End the duties whose rights are no longer held."""
        for name, known in list(self.scheduler_by_data_centre.items()):
            right = self.context.membership_agent.usable_right(known.resource, now)
            if right is None or right.epoch != known.epoch:
                self.runner_by_data_centre.pop(name).cancel()
                del self.scheduler_by_data_centre[name]
                logs.emit(events.DUTY_ENDED, data_centre=name)

    async def hand_over(self, resource: str) -> None:
        """End the duty for a resource whose right is about to be released.

        Running attempts go on under their leases; the next holder adopts them.
        """
        name = resource.removeprefix(jobs.RESOURCE_PREFIX)
        made = self.scheduler_by_data_centre.pop(name, None)
        if made is None:
            return
        self.released_epochs.add(made.epoch)
        task = self.runner_by_data_centre.pop(name)
        task.cancel()
        await asyncio.wait([task])
        logs.emit(events.DUTY_ENDED, data_centre=name)

    async def _run_duty(self, made: data_centre_scheduler.DataCentreScheduler) -> None:
        try:
            await made.run()
        except Exception as error:
            # One faulty duty must not end those of other data centres.
            logs.emit(
                events.DUTY_FAILED, data_centre=made.data_centre, error=repr(error)
            )
            name = made.data_centre
            self.retry_at_by_data_centre[name] = (
                self.context.clock.monotonic() + RETRY_DELAY_S
            )
            if self.scheduler_by_data_centre.get(name) is made:
                del self.scheduler_by_data_centre[name]
                del self.runner_by_data_centre[name]

    async def _follow_usage(self) -> None:
        while True:
            await self.context.clock.sleep(USAGE_INTERVAL_S)
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
            samples = list(await self.context.workers.usage(self.usage_seq))
        except errors.PlatformUnavailable:
            logs.emit(events.USAGE_UNAVAILABLE)
        for sample in samples:
            self.usage_seq = max(self.usage_seq, sample.seq)
        # A sample from the future would make all later ones count as old.
        latest_ms = self.context.clock.wall_ms() + MAX_SAMPLE_AHEAD_MS
        samples = [sample for sample in samples if sample.at_ms <= latest_ms]
        self.context.on_samples(samples)
        for made in list(self.scheduler_by_data_centre.values()):
            shares = made.share_by_task()
            made.colocation_monitor.add(samples, shares)
            made.apply_actions(
                made.colocation_monitor.decide(shares, self.context.clock.wall())
            )

    async def _keep_standing_work(self) -> None:
        while True:
            if self.scheduler_by_data_centre:
                await self._survive(self.sync_configured_jobs())
            await self.context.clock.sleep(CONFIGURED_JOBS_INTERVAL_S)

    async def sync_configured_jobs(self) -> None:
        """Submit and cancel what operators keep in the settings tree."""
        if (
            self.context.view.age(self.context.clock.monotonic())
            >= data_centre_scheduler.MAX_VIEW_AGE_S
        ):
            return
        at_ms = self.context.clock.wall_ms()
        for kind, body in configured_jobs.changes(
            self.context.tree, self.context.state, at_ms
        ):
            if kind == "job.submit" and not self._possible(body):
                continue
            try:
                await self.context.committer.append(kind, body)
            except errors.LogUnavailable:
                logs.emit(events.LOG_UNAVAILABLE, kind=kind)
                return

    def _possible(self, submit: messages.JobSubmit) -> bool:
        """Tell whether standing work can ever run; name it once if not."""
        workers = fleet.Fleet(
            "", self.context.state, self.context.tree, self.context.directory,
            self.context.usage_model,
        )  # fmt: skip
        rooms = explain.worker_capacities(workers)
        reasons = explain.impossible_reasons(submit, rooms, self.context.state.quota)
        if reasons and submit.job not in self.refused_jobs:
            self.refused_jobs.add(submit.job)
            logs.emit(events.STANDING_REFUSED, job=submit.job, reasons=reasons)
        if not reasons:
            self.refused_jobs.discard(submit.job)
        return not reasons
