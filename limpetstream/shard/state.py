"""State of a shard while this instance owns it."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

from limpetstream import clock as clock_module
from limpetstream.executors import messages as executor_messages, tracking
from limpetstream.shard import journal as journal_module
from limpetstream.store import follower, messages as store_messages
from limpetstream.workflow import (
    capacity_forecast,
    interference,
    messages as workflow_messages,
    state as workflow_state,
)

# What the journal holds of an executor.
WRITING = "writing"
KEPT = "kept"
DROPPING = "dropping"


@dataclasses.dataclass(slots=True)
class Timing:
    """Times that the deployment fixes.

    Args:
        max_stop_s: Longest time that a stop takes.
        status_retention_s: How long the final state of a job can be asked for.
        max_lease_s: Longest lease that executors grant.
        gang_wait_s: How long members of a gang wait for each other.
    """

    max_stop_s: float = 0.9
    status_retention_s: float = 120.0
    max_lease_s: float = 6.0
    gang_wait_s: float = 3.0


@dataclasses.dataclass(slots=True)
class DeploymentView:
    """What every instance knows of the deployment, owner or not.

    Args:
        configuration: Configuration in force; None before the first.
        closed_data_centres: Data centres that get no new work.
        wave_by_number: Waves of upkeep that were asked for.
    """

    configuration: workflow_messages.Configuration | None = None
    closed_data_centres: frozenset[str] = frozenset()
    wave_by_number: dict[int, workflow_messages.MaintenanceWave] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Shard:
    """Everything that the owner of a shard knows.

    Args:
        number: Number of the shard.
        shard_count: Number of shards in use.
        epoch: Epoch of the journal and fencing token of all orders.
        store: Store of keyed topics.
        orders: Orders to executors.
        clock: Source of time.
        view: Configuration and closed data centres.
        timing: Times that the deployment fixes.
        journal: Durable state.
        spawn: Starts a task that ends with the ownership.
        job_by_id: Open jobs, and final ones that can still be asked for.
        executor_by_id: Executors of this shard.
        record_state_by_id: What the journal holds of executors: ``writing``,
            ``kept`` or ``dropping``.
        inherited_executors: Executors that the journal named when this owner
            loaded it.
        waiting_tasks: Tasks that wait for room.
        changed: Set when something may have become placeable.
        ownership_proven_at: Monotonic time at which the ownership was proven
            last.
        claimed_at: Monotonic time of the claim.
        recovered: Whether jobs and executors have been loaded.
        majority_reached_at: Monotonic time from which half of the inherited
            executors were reached; None before.
        maybe_started_job_ids: Ids of jobs that an earlier owner may have
            started.
        earlier_runs_settled: Whether every run of earlier owners is known or
            has lapsed.
        next_occurrence_by_job: Next occurrence of each scheduled job, by job
            id.
        interference_model: What is known of images beside each other.
        outlooks: What filling work can expect on each executor.
        long_running_preempted_at: Monotonic time at which a lasting run was
            last stopped for short work.
        run_s_by_queue: Mean seconds of a run that ended as done, by queue.
        submissions_follower: Position in the topic of submissions.
    """

    number: int
    shard_count: int
    epoch: int
    store: store_messages.Store
    orders: executor_messages.ExecutorClient
    clock: clock_module.Clock
    view: DeploymentView
    timing: Timing
    journal: journal_module.Journal
    spawn: Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]]
    job_by_id: dict[str, workflow_state.Job] = dataclasses.field(default_factory=dict)
    executor_by_id: dict[str, tracking.Executor] = dataclasses.field(
        default_factory=dict
    )
    record_state_by_id: dict[str, str] = dataclasses.field(default_factory=dict)
    inherited_executors: set[str] = dataclasses.field(default_factory=set)
    waiting_tasks: list[workflow_state.Task] = dataclasses.field(default_factory=list)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    ownership_proven_at: float = 0.0
    claimed_at: float = 0.0
    recovered: bool = False
    majority_reached_at: float | None = None
    maybe_started_job_ids: set[str] = dataclasses.field(default_factory=set)
    earlier_runs_settled: bool = False
    next_occurrence_by_job: dict[str, int] = dataclasses.field(default_factory=dict)
    interference_model: interference.InterferenceModel = dataclasses.field(
        default_factory=interference.InterferenceModel
    )
    outlooks: capacity_forecast.ForecastCache = dataclasses.field(
        default_factory=capacity_forecast.ForecastCache
    )
    long_running_preempted_at: float = float("-inf")
    run_s_by_queue: dict[str, float] = dataclasses.field(default_factory=dict)
    submissions_follower: follower.Follower | None = None

    def queue_of(self, job: workflow_state.Job) -> workflow_messages.Queue | None:
        """Return the queue of a job by the configuration in force."""
        if self.view.configuration is None:
            return None
        return self.view.configuration.queue_by_name(job.submission.queue)

    def service_of(self, job: workflow_state.Job) -> str:
        """Return the service that runs a job now."""
        queue = self.queue_of(job)
        return queue.service if queue else job.submission.service

    def priority_of(self, job: workflow_state.Job) -> int:
        """Return the priority of a job; removed queues come last."""
        queue = self.queue_of(job)
        return queue.priority if queue else 1_000_000
