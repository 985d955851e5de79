"""Batch scheduling of one entry instance.

Runs one scheduler for each data centre whose workers this instance holds the
right to, reads usage samples, and submits the jobs of the settings tree.
"""

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
"""Samples that are dated further than this into the future are dropped."""


def make_scheduler(
    data_centre: str,
    epoch: int,
    context: context.Context,
    worker_quarantine: quarantine.Quarantine | None = None,
) -> data_centre_scheduler.DataCentreScheduler:
    """Return the scheduler for a data centre, with all of its parts.

    Args:
        data_centre: The data centre.
        epoch: Epoch of the right to its workers.
        context: Dependencies from the rest of the process.
        worker_quarantine: Quarantine of its workers; a new one by default.
    """
    worker_quarantine = worker_quarantine or quarantine.Quarantine()
    workers = fleet.Fleet(
        data_centre, context.state, context.tree, context.directory, context.usage_model
    )
    pending = demand.Demand(context.state, data_centre)
    return data_centre_scheduler.DataCentreScheduler(
        data_centre,
        epoch,
        context,
        workers,
        planner.Planner(data_centre, context, workers, worker_quarantine, pending),
        worker_quarantine,
        colocation_monitor.ColocationMonitor(context, workers),
    )


@dataclasses.dataclass(slots=True)
class Scheduler:
    """Batch scheduling of one entry instance.

    Args:
        context: Dependencies from the rest of the process.
        scheduler_by_data_centre: Data centre schedulers that run now.
        runner_by_data_centre: The asyncio task that runs each of them.
        retry_at_by_data_centre: Monotonic time before which a scheduler that
            failed is not started again.
        usage_seq: Sequence number of the last usage sample read.
        released_epochs: Epochs of rights that are being handed over; no
            scheduler starts under them any more.
        refused_jobs: Configured jobs that were logged as impossible to run.
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
        """Run until cancelled; all data centre schedulers end with it."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_usage())
            group.create_task(self._follow_configured_jobs())
            while True:
                self.reconcile(group)
                await self.context.clock.sleep(RECONCILE_INTERVAL_S)

    def reconcile(self, group: asyncio.TaskGroup) -> None:
        """Run one data centre scheduler for each right that is held now."""
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
            centre_scheduler = make_scheduler(name, right.epoch, self.context)
            self.scheduler_by_data_centre[name] = centre_scheduler
            self.runner_by_data_centre[name] = group.create_task(
                self._run_data_centre(centre_scheduler)
            )
            logs.emit(events.DUTY_STARTED, data_centre=name)

    def stop_lost(self, now: float) -> None:
        """Stop the schedulers whose rights are no longer held."""
        for name, centre_scheduler in list(self.scheduler_by_data_centre.items()):
            right = self.context.membership_agent.usable_right(
                centre_scheduler.resource, now
            )
            if right is None or right.epoch != centre_scheduler.epoch:
                self.runner_by_data_centre.pop(name).cancel()
                del self.scheduler_by_data_centre[name]
                logs.emit(events.DUTY_ENDED, data_centre=name)

    async def hand_over(self, resource: str) -> None:
        """Stop the scheduler of a resource before its right is released.

        Running attempts continue under their leases; the next holder adopts
        them.
        """
        name = resource.removeprefix(jobs.RESOURCE_PREFIX)
        centre_scheduler = self.scheduler_by_data_centre.pop(name, None)
        if centre_scheduler is None:
            return
        self.released_epochs.add(centre_scheduler.epoch)
        task = self.runner_by_data_centre.pop(name)
        task.cancel()
        await asyncio.wait([task])
        logs.emit(events.DUTY_ENDED, data_centre=name)

    async def _run_data_centre(
        self, centre_scheduler: data_centre_scheduler.DataCentreScheduler
    ) -> None:
        try:
            await centre_scheduler.run()
        except Exception as error:
            # A fault in one scheduler must not stop those of other data
            # centres.
            logs.emit(
                events.DUTY_FAILED,
                data_centre=centre_scheduler.data_centre,
                error=repr(error),
            )
            name = centre_scheduler.data_centre
            self.retry_at_by_data_centre[name] = (
                self.context.clock.monotonic() + RETRY_DELAY_S
            )
            if self.scheduler_by_data_centre.get(name) is centre_scheduler:
                del self.scheduler_by_data_centre[name]
                del self.runner_by_data_centre[name]

    async def _poll_usage(self) -> None:
        while True:
            await self.context.clock.sleep(USAGE_INTERVAL_S)
            await self._run_step(self.read_usage())

    async def _run_step(self, step: Awaitable[None]) -> None:
        """Await one step; an error in it is logged and stops no scheduler."""
        try:
            await step
        except Exception as error:
            logs.emit(events.DUTY_FAILED, data_centre="", error=repr(error))

    async def read_usage(self) -> None:
        """Read new usage samples and act on slowdowns that they show."""
        samples: list[Any] = []
        try:
            samples = list(await self.context.workers.usage(self.usage_seq))
        except errors.PlatformUnavailable:
            logs.emit(events.USAGE_UNAVAILABLE)
        for sample in samples:
            self.usage_seq = max(self.usage_seq, sample.seq)
        # A sample dated in the future would make all later ones look old.
        latest_ms = self.context.clock.wall_ms() + MAX_SAMPLE_AHEAD_MS
        samples = [sample for sample in samples if sample.at_ms <= latest_ms]
        self.context.on_samples(samples)
        for centre_scheduler in list(self.scheduler_by_data_centre.values()):
            shares = centre_scheduler.share_by_task()
            centre_scheduler.colocation_monitor.add(samples, shares)
            centre_scheduler.apply_actions(
                centre_scheduler.colocation_monitor.decide(
                    shares, self.context.clock.wall()
                )
            )

    async def _follow_configured_jobs(self) -> None:
        while True:
            if self.scheduler_by_data_centre:
                await self._run_step(self.sync_configured_jobs())
            await self.context.clock.sleep(CONFIGURED_JOBS_INTERVAL_S)

    async def sync_configured_jobs(self) -> None:
        """Submit and cancel jobs so that they match the settings tree."""
        if (
            self.context.view.age(self.context.clock.monotonic())
            >= data_centre_scheduler.MAX_VIEW_AGE_S
        ):
            return
        at_ms = self.context.clock.wall_ms()
        for kind, body in configured_jobs.reconciling_records(
            self.context.tree, self.context.state, at_ms
        ):
            if kind == "job.submit" and not self._can_run(body):
                continue
            try:
                await self.context.committer.append(kind, body)
            except errors.LogUnavailable:
                logs.emit(events.LOG_UNAVAILABLE, kind=kind)
                return

    def _can_run(self, submit: messages.JobSubmit) -> bool:
        """Return whether a configured job can ever run; log once if not."""
        workers = fleet.Fleet(
            "", self.context.state, self.context.tree, self.context.directory,
            self.context.usage_model,
        )  # fmt: skip
        capacities = explain.worker_capacities(workers)
        reasons = explain.impossible_reasons(
            submit, capacities, self.context.state.quota
        )
        if reasons and submit.job not in self.refused_jobs:
            self.refused_jobs.add(submit.job)
            logs.emit(events.STANDING_REFUSED, job=submit.job, reasons=reasons)
        if not reasons:
            self.refused_jobs.discard(submit.job)
        return not reasons
