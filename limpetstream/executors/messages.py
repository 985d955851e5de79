"""Defines the types of the list of executors and of the calls to them."""

import dataclasses
from typing import Protocol

READY = "ready"
DRAINING = "draining"

DONE = "done"
FAILED = "failed"
STOPPED = "stopped"

# Outcomes of a start request.
STARTED = "started"
# Another run of the task is present, or this or a later one has ended.
OUTDATED_RUN = "outdated-run"
LATE = "late"  # The deadline of the request has passed.
NO_ROOM = "no-room"
NO_TICKET = "no-ticket"
UNWILLING = "unwilling"  # The executor is unhealthy or does not listen.
INVALID = "invalid"


@dataclasses.dataclass(slots=True)
class Capacity:
    """Capacity of an executor.

    Args:
        cpu_millicores: CPU, in thousandths of a core.
        memory_mb: Memory.
        accelerators: Number of accelerators.
    """

    cpu_millicores: int
    memory_mb: int
    accelerators: int


@dataclasses.dataclass(slots=True)
class Listing:
    """Entry of an executor in the platform's list, written by the executor.

    Args:
        executor_id: Id of this incarnation; a restarted machine gets another.
        address: Host and port for calls.
        data_centre: Data centre in which it runs.
        service: Service whose tasks it runs.
        state: ``ready``, or ``draining`` when it is about to shut down.
        capacity: Total capacity.
        labels: Kind and rack.
        born_ms: Unix milliseconds of its start; 0 if unknown.
        remaining_ms: Minimum time that is left before the shutdown while it
            drains; None otherwise.
        cold_remaining_ms: How long it is still slow after its start.
    """

    executor_id: str
    address: str
    data_centre: str
    service: str
    state: str
    capacity: Capacity
    labels: tuple[str, ...]
    born_ms: int = 0
    remaining_ms: int | None = None
    cold_remaining_ms: int = 0


@dataclasses.dataclass(slots=True)
class RunningRow:
    """A run that is present on an executor.

    Args:
        task: Name of the task.
        run: Number of the run.
        checkpoint: Newest checkpoint; empty for none.
        percent: Progress of the work. For a serving task, how far it has
            started to serve.
        load: Tail latency in ms of a serving task, otherwise millicores in
            use.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float


@dataclasses.dataclass(slots=True)
class EndRow:
    """A run that has ended and whose end is not yet acknowledged.

    Args:
        number: Number of the end within this incarnation of the executor.
        task: Name of the task.
        run: Number of the run.
        how: ``done``, ``failed``, ``stopped``, ``lapsed`` (its lease has
            expired), ``broken`` or ``alone``.
        checkpoint: Newest checkpoint; empty for none.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


@dataclasses.dataclass(slots=True)
class PollReply:
    """Answer to one poll of an executor.

    Args:
        clock_ms: Executor's steady clock while it answered.
        born_ms: Unix milliseconds of its start; 0 if unknown.
        running: All runs that are present on it.
        ended: Ends that are not yet acknowledged, oldest first.
    """

    clock_ms: int
    born_ms: int
    running: list[RunningRow]
    ended: list[EndRow]


@dataclasses.dataclass(slots=True)
class StartRequest:
    """Request to start one run.

    Args:
        task: Name of the task.
        run: Number of the run.
        spec: Text that the job passes to each task.
        deadline_ms: End of the lease on the executor's clock.
        token: Fencing token of the owner.
        checkpoint: Checkpoint to resume from; empty for none.
        ticket: Permission of the advice service; empty for none.
    """

    task: str
    run: int
    spec: str
    deadline_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


@dataclasses.dataclass(slots=True)
class StartReply:
    """Answer to a start request.

    Args:
        outcome: ``started``, or the reason why the run did not start.
        clock_ms: Executor's steady clock; None if the answer lacks it.
    """

    outcome: str
    clock_ms: int | None = None


class ExecutorClient(Protocol):
    """Client for calls to executors.

    Every method raises ``PlatformUnavailable`` when it receives no usable
    answer (the call may still take effect seconds later), ``TokenOutdated``
    when the executor has seen a higher fencing token, and
    ``ExecutorReplaced`` when another incarnation answers.
    """

    async def start(
        self, listing: Listing, request: StartRequest, *, timeout_s: float
    ) -> StartReply:
        """Start one run; a repeated call for a started run also succeeds."""
        ...

    async def stop(
        self, listing: Listing, task: str, run: int, token: int, *, timeout_s: float
    ) -> None:
        """Stop one run; a run that has not arrived yet can no longer start."""
        ...

    async def poll(
        self,
        listing: Listing,
        *,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> PollReply:
        """Extend the lease, acknowledge ends and return the executor's runs.

        Args:
            listing: Executor.
            token: Fencing token of the owner.
            acknowledged: Number of the last end that is durable at the owner.
            deadline_ms: New end of the lease on the executor's clock; None
                leaves it unchanged.
            wait_ms: How long the executor may wait for a run to end; 0 for an
                immediate answer.
            timeout_s: Time limit of the call.
        """
        ...

    async def pace(
        self,
        listing: Listing,
        task: str,
        run: int,
        percent: int,
        token: int,
        *,
        timeout_s: float,
    ) -> None:
        """Set the percentage of full speed that a run may use, 0 to 100."""
        ...
