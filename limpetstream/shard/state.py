"""Holds the state of a shard while this instance owns it."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

from limpetstream import clock as clock_module
from limpetstream.executors import (
    messages as executor_messages,
    sending,
    tracking,
)
from limpetstream.organisations import claims as claims_module, usage as usage_module
from limpetstream.shard import (
    instance_quorum as quorum_module,
    journal as journal_module,
    owner_load as owner_load_module,
    proof_ends as proof_ends_module,
    searches as searches_module,
)
from limpetstream.shard.queueing import (
    backlog as backlog_module,
    job_memory as job_memory_module,
)
from limpetstream.store import follower, messages as store_messages
from limpetstream.workflow import (
    capacity_forecast,
    interference,
    messages as workflow_messages,
    state as workflow_state,
    waiting_tasks as waiting_tasks_module,
)

# State of an executor's record in the journal.
WRITING = "writing"
KEPT = "kept"
DROPPING = "dropping"


@dataclasses.dataclass(slots=True)
class Timing:
    """Durations that the deployment sets, in seconds.

    Args:
        max_stop_s: Longest time that the stop of a run takes.
        status_retention_s: Time for which callers can query the final state
            of a job.
        max_lease_s: Longest lease that executors grant.
        gang_wait_s: Time that the members of a gang wait for each other.
    """

    max_stop_s: float = 0.9
    status_retention_s: float = 120.0
    max_lease_s: float = 6.0
    gang_wait_s: float = 3.0


@dataclasses.dataclass(slots=True)
class DeploymentView:
    """State of the deployment that every instance keeps, owner or not.

    Args:
        configuration: Configuration in force; None until one was read.
        closed_data_centres: Data centres that get no new work.
        wave_by_number: Requested maintenance waves, by number.
    """

    configuration: workflow_messages.Configuration | None = None
    closed_data_centres: frozenset[str] = frozenset()
    wave_by_number: dict[int, workflow_messages.MaintenanceWave] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Shard:
    """State of one shard at its owner; times are monotonic, in seconds.

    Args:
        number: Number of the shard.
        shard_count: Number of shards in use.
        epoch: Epoch of the journal, and fencing token of all requests to
            executors.
        store: Store of keyed topics.
        executor_client: Sends requests to executors.
        clock: Source of time.
        view: Configuration and closed data centres.
        timing: Durations that the deployment sets.
        journal: Writes the durable state.
        spawn: Starts an asyncio task that ends with the ownership.
        job_by_id: Open jobs, and final ones that can still be queried.
        executor_by_id: Executors of this shard.
        record_state_by_id: State of the journal's record of each executor:
            ``writing``, ``kept`` or ``dropping``; by executor id.
        inherited_executors: Ids of executors that earlier owners recorded in
            the journal.
        inherited_voters: Ids of those among them that belong to the quorum.
        unreadable_executors: Ids of executors whose records cannot be read.
        nonvoting_executors: Ids of executors whose records do not belong to
            the quorum.
        unread_executor_by_id: Executors that may hold ends of runs by earlier
            owners that they have not listed yet.
        waiting_tasks: Tasks that wait for capacity.
        job_memory: Memory that the jobs take.
        backlog: Released tasks that are not among these yet.
        searches: What scheduling passes keep of earlier searches.
        changed: Set when a waiting task may have become placeable; starts a
            scheduling pass.
        ownership_proven_at: Time at which the ownership was last proven.
        unproven_since: Time at which the last proof was found to be too old;
            None while there is a recent one.
        claimed_at: Time of the claim.
        load_began_at: Time from which there was a configuration to load with;
            None before.
        claim_proven_at: Time until which no other instance had claimed the
            shard after this one.
        recovered: Whether jobs and executors have been loaded.
        ended: Whether the ownership has ended. What a request still holds of
            the shard proves nothing then.
        instance_quorum: Instances that vote on an owner that acts without
            appends.
        earlier_proofs_ended_at: Time at which half of the inherited executors
            had replied or were removed, half of the instances that vote knew
            the epoch of this owner, or earlier owners could act no more
            without an append; None before. From then on no earlier owner gets
            a new proof of its ownership.
        proof_ends: Since when owners of low epochs get no proof, as this
            instance knows, also from other instances.
        leases_recorded_from: Lowest epoch from which on every owner before
            this one recorded an executor under its epoch before it extended a
            lease there; None if that is not known of any.
        starts_recorded_from: Lowest epoch from which on no owner before this
            one started a long-running task on an executor whose record said
            that none runs there; None if that is not known of any.
        without_long_running: Ids of the inherited executors whose records say
            that no long-running task runs there.
        offset_by_voter: Offsets of the records of executors and instances
            that the journal held at the claim, by key.
        previous_epoch: Epoch of the owner before; 0 if its claim is unknown.
        previous_member: Name of that owner; empty if it is unknown.
        previous_ended_at: Time by which it had released the shard, or its
            process had ended; infinity if that is not known.
        read_as_claimed: Whether these records were loaded as they were at the
            claim, so that no later owner has changed them.
        recorded_born_ms_by_executor: Start of each inherited executor by its
            record, in Unix milliseconds.
        process_born_ms_by_executor: Start of the process of each inherited
            executor on which its newest owner may have started runs, by its
            record, in Unix milliseconds; None if the record does not tell.
        longest_leased_executors: Ids of the inherited executors whose records
            tell that a call to a former process may have granted the longest
            lease, or cannot be read, or do not tell.
        unfenced_executors: Ids of the inherited executors whose records tell
            that the executor had restarted and was not fenced, or do not tell.
        token_raises: By how much the highest fencing token of this owner
            exceeds its epoch. It is raised when an executor restarts.
        removed_executors: Ids of executors that this owner has removed. One
            that comes back may be the former process or another one.
        lease_records_complete: Whether this owner records each executor before
            it extends a lease there.
        lessor_by_executor: Epoch in the record of each inherited executor,
            by executor id; 0 if an owner of an earlier version wrote it.
        earlier_job_ids: Ids of jobs that an earlier owner may have started.
        maybe_started_job_ids: Ids of jobs that an earlier owner may have
            started or that this owner has started.
        early_job_by_id: Final jobs whose state no owner tells before earlier
            owners have stopped, by job id.
        inherited_early_job_ids: Ids of those among them of which an earlier
            owner may have told a state that this one does not know.
        unreadable_job_ids: Ids of jobs whose stored progress cannot be read.
        cancelled_at_by_unknown_job: Time of the newest cancelling of jobs
            that were not stored then, oldest first, by job id.
        earlier_runs_settled: Whether every run of earlier owners is known or
            the lease on its executor has expired.
        settling: Whether earlier runs are settled once an append is confirmed.
        long_running_settled: Whether every run of a long-running task by
            earlier owners is known or its lease has expired.
        settling_long_running: Whether these are settled once an append is
            confirmed.
        next_occurrence_by_job: Number of the next occurrence of each
            scheduled job, by job id.
        interference_model: Learned effect of best-effort images on serving
            images.
        forecasts: Expected spare capacity and pace for best-effort work on
            each executor.
        long_running_preempted_at: Time at which a long-running run was last
            stopped for a short task.
        run_s_by_queue: Mean duration in seconds of runs that ended as done, by
            queue.
        submissions_follower: Reads the topic of submissions.
        usage: What the runs of each organisation hold.
        claims: Tasks that have the first use of their organisations' room.
        send_window: Bounds what is under way to executors.
        load: What keeps the owner busy.
    """

    number: int
    shard_count: int
    epoch: int
    store: store_messages.Store
    executor_client: executor_messages.ExecutorClient
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
    inherited_voters: set[str] = dataclasses.field(default_factory=set)
    unreadable_executors: set[str] = dataclasses.field(default_factory=set)
    nonvoting_executors: set[str] = dataclasses.field(default_factory=set)
    unread_executor_by_id: dict[str, tracking.Executor] = dataclasses.field(
        default_factory=dict
    )
    waiting_tasks: waiting_tasks_module.WaitingTasks = dataclasses.field(
        default_factory=waiting_tasks_module.WaitingTasks
    )
    job_memory: job_memory_module.JobMemory = dataclasses.field(
        default_factory=job_memory_module.JobMemory
    )
    backlog: backlog_module.Backlog = dataclasses.field(
        default_factory=backlog_module.Backlog
    )
    searches: searches_module.Searches = dataclasses.field(
        default_factory=searches_module.Searches
    )
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    ownership_proven_at: float = 0.0
    unproven_since: float | None = None
    claimed_at: float = 0.0
    claim_proven_at: float = 0.0
    load_began_at: float | None = None
    recovered: bool = False
    ended: bool = False
    instance_quorum: quorum_module.Quorum = dataclasses.field(
        default_factory=quorum_module.Quorum
    )
    earlier_proofs_ended_at: float | None = None
    proof_ends: proof_ends_module.ProofEnds = dataclasses.field(
        default_factory=proof_ends_module.ProofEnds
    )
    leases_recorded_from: int | None = None
    starts_recorded_from: int | None = None
    without_long_running: set[str] = dataclasses.field(default_factory=set)
    offset_by_voter: dict[str, int] = dataclasses.field(default_factory=dict)
    previous_epoch: int = 0
    previous_member: str = ""
    previous_ended_at: float = float("inf")
    read_as_claimed: bool = False
    recorded_born_ms_by_executor: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    process_born_ms_by_executor: dict[str, int | None] = dataclasses.field(
        default_factory=dict
    )
    longest_leased_executors: set[str] = dataclasses.field(default_factory=set)
    unfenced_executors: set[str] = dataclasses.field(default_factory=set)
    token_raises: int = 0
    removed_executors: set[str] = dataclasses.field(default_factory=set)
    lease_records_complete: bool = True
    lessor_by_executor: dict[str, int] = dataclasses.field(default_factory=dict)
    earlier_job_ids: set[str] = dataclasses.field(default_factory=set)
    maybe_started_job_ids: set[str] = dataclasses.field(default_factory=set)
    early_job_by_id: dict[str, workflow_state.Job] = dataclasses.field(
        default_factory=dict
    )
    inherited_early_job_ids: set[str] = dataclasses.field(default_factory=set)
    cancelled_at_by_unknown_job: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    unreadable_job_ids: set[str] = dataclasses.field(default_factory=set)
    earlier_runs_settled: bool = False
    settling: bool = False
    long_running_settled: bool = False
    settling_long_running: bool = False
    next_occurrence_by_job: dict[str, int] = dataclasses.field(default_factory=dict)
    interference_model: interference.InterferenceModel = dataclasses.field(
        default_factory=interference.InterferenceModel
    )
    forecasts: capacity_forecast.ForecastCache = dataclasses.field(
        default_factory=capacity_forecast.ForecastCache
    )
    long_running_preempted_at: float = float("-inf")
    run_s_by_queue: dict[str, float] = dataclasses.field(default_factory=dict)
    submissions_follower: follower.Follower | None = None
    send_window: sending.SendWindow = dataclasses.field(init=False)
    usage: usage_module.Usage = dataclasses.field(default_factory=usage_module.Usage)
    claims: claims_module.Claims = dataclasses.field(
        default_factory=claims_module.Claims
    )
    load: owner_load_module.OwnerLoad = dataclasses.field(
        default_factory=owner_load_module.OwnerLoad
    )

    def __post_init__(self) -> None:
        self.send_window = sending.SendWindow(self.clock)
        owner_load_module.begin(self.load, self.clock)

    def queue_of(self, job: workflow_state.Job) -> workflow_messages.Queue | None:
        """Return the queue of a job by the configuration in force."""
        if self.view.configuration is None:
            return None
        return self.view.configuration.queue_by_name(job.submission.queue)

    def service_of(self, job: workflow_state.Job) -> str:
        """Return the service that runs a job by the present configuration."""
        queue = self.queue_of(job)
        return queue.service if queue else job.submission.service

    def priority_of(self, job: workflow_state.Job) -> int:
        """Return the priority of a job; a removed queue has the lowest."""
        queue = self.queue_of(job)
        return queue.priority if queue else 1_000_000
