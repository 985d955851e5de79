"""Tracks the state of one executor and the capacity that its runs reserve."""

import asyncio
import dataclasses
from collections.abc import Callable

from limpetstream.executors import leases, messages
from limpetstream.leases import unsettled_starts
from limpetstream.organisations import usage as usage_module
from limpetstream.workflow import messages as workflow_messages, state

# Each start needs a connection, and the platform puts a price on new ones.
MAX_STARTS_AT_ONCE = 2


@dataclasses.dataclass(slots=True, eq=False)
class Executor:
    """One executor as the owner of its shard tracks it.

    Runs reserve capacity from before their start is requested until their end
    is known.

    Args:
        listing: Entry of the executor in the platform's list.
        lease: Clock and lease of the executor.
        run_by_task: Runs that hold capacity, by the task's name.
        born_ms: Unix milliseconds of the start of the executor that answered
            the polls.
        acked_end: Number of the last end that is durable at the owner.
        dropped_end: Number of the last end that the executor has dropped: it
            has answered a poll that acknowledged it.
        applied_end: Number of the last end that has been applied.
        reached: Whether it has answered a poll with this owner's token.
        has_listed_all: Whether a reply of the present incarnation to this
            owner has listed all its ends. A reply lists a limited number.
        first_answered_at: Monotonic time of the first answer of the present
            incarnation to a poll of this owner; minus infinity if there was
            none yet.
        confirmed: Whether an append that began after ``first_answered_at`` is
            confirmed. Before, the incarnation may have forgotten the token of
            a later owner.
        polled_at: Monotonic time at which the newest answered poll was sent.
        answered_at: Monotonic time at which its answer was received.
        earlier_leases_expire_at: Monotonic time at which every lease has
            expired that earlier owners granted before it was reached, or that
            calls to a former process of its id have granted; minus infinity
            before it was reached.
        fenced: Whether it rejects all calls to former processes of its id.
        token_raise: By how much the fencing token of calls to it exceeds the
            epoch of the owner.
        required_token_raise: The same of the first token under which a call
            to it cannot have been meant for a former process.
        longest_lease_expires_at: Monotonic time at which the longest lease has
            expired that a call to a former process may have granted; minus
            infinity without one, infinity while such calls may take effect.
        recorded_longest: Whether its record tells later owners of that lease.
        recorded_unfenced: Whether its record says that it is not fenced.
        long_running_starts: Starts of long-running tasks that it may still
            carry out, or has carried out unseen.
        record_bars_long_running: Whether its record may tell later owners that
            no long-running task runs on it.
        records_encoded: How many records of it were encoded for an append.
        giving_up: Whether its runs are given up once an append is confirmed.
        silent_since: Monotonic time of the first of the consecutive calls that
            have failed; None while calls are answered.
        failure_score: Decaying number of recent failures on it, of runs of
            several jobs.
        avoid_until: Monotonic time before which no task is placed on it.
        doubted_at: Monotonic time at which the answers to a start were last
            given up; minus infinity once a later start has been answered.
        recorded: Whether the journal durably holds a record of it under the
            epoch of this owner.
        unknown_runs: Runs on it that no open job needs; they are being stopped
            and still use capacity. By task name and run number; the value is
            the monotonic time at which the stop was confirmed, or None.
        pace_changed_at: Monotonic time of the last change of a run's pace.
        best_effort_seen: Names of the best-effort tasks at the newest poll.
        best_effort_ended_at: Monotonic time at which one of these tasks was
            last found to be gone.
        start_slots: Limits the number of concurrent start requests.
        unsent_runs: Runs whose start was decided and waits to be sent there.
        unrecorded_runs: Runs whose start waits until the journal records that
            their job may have started.
        turned_away: Whether a task was not placed there because of these runs.
        listed: Whether the list of executors still contains it.
        draining_since: Monotonic time at which its entry was first seen to
            say that it will leave; None before.
        leaves_at: Earliest monotonic time at which it leaves, by what its
            entries said when they were read; None while they say nothing.
        reserved_millicores: CPU reserved by runs that are not best-effort.
        reserved_memory_mb: Reserved memory.
        reserved_accelerators: Reserved accelerators.
        best_effort_millicores: CPU that best-effort runs use at full speed.
        long_running_count: Number of long-running runs.
        run_changes: Number of runs that were added or removed so far.
        has_freed: Whether it has freed capacity since this was last cleared.
        usage: Sums of the runs of each organisation, which include its runs;
            None if they are not counted.
    """

    listing: messages.Listing
    lease: leases.Lease = dataclasses.field(default_factory=leases.Lease)
    run_by_task: dict[str, state.Run] = dataclasses.field(default_factory=dict)
    born_ms: int = 0
    acked_end: int = 0
    dropped_end: int = 0
    applied_end: int = 0
    reached: bool = False
    has_listed_all: bool = False
    first_answered_at: float = float("-inf")
    confirmed: bool = True
    polled_at: float = float("-inf")
    answered_at: float = float("-inf")
    earlier_leases_expire_at: float = float("-inf")
    fenced: bool = True
    token_raise: int = 0
    required_token_raise: int = 0
    longest_lease_expires_at: float = float("-inf")
    recorded_longest: bool = False
    recorded_unfenced: bool = False
    long_running_starts: unsettled_starts.UnsettledStarts = dataclasses.field(
        default_factory=unsettled_starts.UnsettledStarts
    )
    record_bars_long_running: bool = False
    records_encoded: int = 0
    giving_up: bool = False
    silent_since: float | None = None
    failure_score: float = 0.0
    avoid_until: float = float("-inf")
    doubted_at: float = float("-inf")
    recorded: bool = False
    unknown_runs: dict[tuple[str, int], float | None] = dataclasses.field(
        default_factory=dict
    )
    pace_changed_at: float = float("-inf")
    best_effort_seen: frozenset[str] = frozenset()
    best_effort_ended_at: float = float("-inf")
    start_slots: asyncio.Semaphore = dataclasses.field(
        default_factory=lambda: asyncio.Semaphore(MAX_STARTS_AT_ONCE)
    )
    unsent_runs: set[state.Run] = dataclasses.field(default_factory=set)
    unrecorded_runs: set[state.Run] = dataclasses.field(default_factory=set)
    turned_away: bool = False
    listed: bool = True
    draining_since: float | None = None
    leaves_at: float | None = None
    reserved_millicores: int = 0
    reserved_memory_mb: int = 0
    reserved_accelerators: int = 0
    best_effort_millicores: int = 0
    long_running_count: int = 0
    run_changes: int = 0
    has_freed: bool = True
    usage: usage_module.Usage | None = None
    _serving_by_task: dict[str, state.Run] = dataclasses.field(default_factory=dict)
    _best_effort_by_task: dict[str, state.Run] = dataclasses.field(default_factory=dict)
    _count_by_step: dict[str, int] = dataclasses.field(default_factory=dict)
    _unknown_tasks: dict[tuple[str, int], state.Task] = dataclasses.field(
        default_factory=dict
    )

    def reserve(self, run: state.Run) -> None:
        """Reserve capacity for a run."""
        name, step = run.task.name, run.task.step
        replaced = self.run_by_task.get(name)
        if replaced is not None:
            self._change_reserved(replaced.task, -1)
        self.run_by_task[name] = run
        if step.tail_target_ms > 0:
            self._serving_by_task[name] = run
        if step.fills:
            self._best_effort_by_task[name] = run
        self._change_reserved(run.task, 1)

    def release(self, run: state.Run) -> None:
        """Release the capacity of a run; a second call has no effect."""
        if self.run_by_task.get(run.task.name) is run:
            del self.run_by_task[run.task.name]
            self._serving_by_task.pop(run.task.name, None)
            self._best_effort_by_task.pop(run.task.name, None)
            self._change_reserved(run.task, -1)
            self.has_freed = True

    def count_unknown_runs(self, find_task: Callable[[str], state.Task | None]) -> None:
        """Count ``unknown_runs``, which a poll has listed, in the usage.

        Args:
            find_task: Returns the task with a name; None if its job is not
                known. A run counts as long as it is listed, even if its job
                is forgotten meanwhile.
        """
        unknown_runs = self.unknown_runs
        if not unknown_runs and not self._unknown_tasks:
            return
        for key in self._unknown_tasks.keys() - unknown_runs.keys():
            self._count_unknown(self._unknown_tasks.pop(key), -1)
        for key in unknown_runs.keys() - self._unknown_tasks.keys():
            task = find_task(key[0])
            if task is not None:
                self._unknown_tasks[key] = task
                self._count_unknown(task, 1)

    @property
    def counts_unknown_runs(self) -> bool:
        """Whether runs that no open job needs count in the usage."""
        return bool(self._unknown_tasks)

    def unknown_tasks(self) -> list[state.Task]:
        """Return the tasks of the runs that no open job needs, if known."""
        return list(self._unknown_tasks.values())

    def uncount_unknown_runs(self) -> None:
        """Stop counting runs that no open job needs, as they have ended."""
        for task in self._unknown_tasks.values():
            self._count_unknown(task, -1)
        self._unknown_tasks.clear()

    def detach_usage(self) -> None:
        """Count none of its runs any more, as it was removed."""
        self.uncount_unknown_runs()
        if self.usage is not None:
            for run in self.run_by_task.values():
                self.usage.change(run.task, -1)
        self.usage = None

    def _count_unknown(self, task: state.Task, sign: int) -> None:
        if self.usage is not None:
            self.usage.change(task, sign)

    def fits(self, step: workflow_messages.Step) -> bool:
        """Return whether the free capacity suffices for a task of a step.

        Best-effort tasks need no free CPU.
        """
        capacity = self.listing.capacity
        cpu = 0 if step.fills else step.cpu_millicores
        return (
            self.reserved_millicores + cpu <= capacity.cpu_millicores
            and self.reserved_memory_mb + step.memory_mb <= capacity.memory_mb
            and self.reserved_accelerators + step.accelerators <= capacity.accelerators
        )

    def has_accelerators(self, step: workflow_messages.Step) -> bool:
        """Return whether enough accelerators are free for a task of a step."""
        free = self.listing.capacity.accelerators - self.reserved_accelerators
        return step.accelerators <= free

    def fits_when_idle(self, step: workflow_messages.Step) -> bool:
        """Return whether a task of a step would fit if nothing else ran."""
        capacity = self.listing.capacity
        cpu = 0 if step.fills else step.cpu_millicores
        return (
            cpu <= capacity.cpu_millicores
            and step.memory_mb <= capacity.memory_mb
            and step.accelerators <= capacity.accelerators
        )

    def serving_runs(self) -> list[state.Run]:
        """Return the runs of tasks that have a tail latency target."""
        return list(self._serving_by_task.values())

    def has_run_over_target(self) -> bool:
        """Return whether a task exceeds its tail latency target now."""
        for run in self._serving_by_task.values():
            if run.over_target_since is not None:
                return True
        return False

    def best_effort_runs(self) -> list[state.Run]:
        """Return the runs of best-effort tasks."""
        return list(self._best_effort_by_task.values())

    def count_of_step(self, task: state.Task) -> int:
        """Return how many tasks of the same step it runs."""
        return self._count_by_step.get(state.step_name(task), 0)

    def _change_reserved(self, task: state.Task, sign: int) -> None:
        step, step_name = task.step, state.step_name(task)
        self.run_changes += 1
        self.long_running_count += sign * step.long_running
        count = self._count_by_step.pop(step_name, 0) + sign
        if count:
            self._count_by_step[step_name] = count
        if step.fills:
            self.best_effort_millicores += sign * step.cpu_millicores
        else:
            self.reserved_millicores += sign * step.cpu_millicores
        self.reserved_memory_mb += sign * step.memory_mb
        self.reserved_accelerators += sign * step.accelerators
        if self.usage is not None:
            self.usage.change(task, sign)
