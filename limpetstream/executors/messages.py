"""Types of the list of executors and of the orders to them."""

import dataclasses
from typing import Protocol

READY = "ready"
DRAINING = "draining"

DONE = "done"
FAILED = "failed"
STOPPED = "stopped"

STARTED = "started"
OUTDATED_RUN = "outdated-run"
LATE = "late"
NO_ROOM = "no-room"
NO_TICKET = "no-ticket"
UNWILLING = "unwilling"
INVALID = "invalid"


@dataclasses.dataclass(slots=True)
class Capacity:
    """Room of an executor.

    Args:
        cpu_millicores: Processors, in thousandths of a core.
        memory_mb: Memory.
        accelerators: Accelerators.
    """

    cpu_millicores: int
    memory_mb: int
    accelerators: int


@dataclasses.dataclass(slots=True)
class Listing:
    """What an executor says of itself in the platform's list.

    Args:
        executor_id: Id of this life of the machine.
        address: Host and port for orders.
        data_centre: Where it stands.
        service: Service whose tasks it runs.
        state: ``ready`` or ``draining``.
        capacity: Room.
        labels: Kind and rack.
        born_ms: Unix milliseconds of its start; 0 if it does not say.
        remaining_ms: Least time that is left while it drains; None otherwise.
        cold_remaining_ms: How long it stays slow after its start.
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
    """A run that an executor holds.

    Args:
        task: Name of the task.
        run: Number of the run.
        checkpoint: Newest checkpoint; empty for none.
        percent: Progress, or how far a serving task is at work.
        load: Tail in ms of a serving task, else millicores in use.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float


@dataclasses.dataclass(slots=True)
class EndRow:
    """A run that has ended and is not yet acknowledged.

    Args:
        number: Number of the end within this life of the executor.
        task: Name of the task.
        run: Number of the run.
        how: ``done``, ``failed``, ``stopped``, ``lapsed``, ``broken`` or
            ``alone``.
        checkpoint: Newest checkpoint; empty for none.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


@dataclasses.dataclass(slots=True)
class PollReply:
    """Answer to one look at an executor.

    Args:
        clock_ms: Executor's steady clock while it answered.
        born_ms: Unix milliseconds of its start; 0 if it does not say.
        running: Everything that it holds.
        ended: Ends that are not yet acknowledged, oldest first.
    """

    clock_ms: int
    born_ms: int
    running: list[RunningRow]
    ended: list[EndRow]


@dataclasses.dataclass(slots=True)
class StartRequest:
    """Order to start one run.

    Args:
        task: Name of the task.
        run: Number of the run.
        spec: Text of the job.
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
    """Answer to a start.

    Args:
        outcome: ``started``, or why it did not start.
        clock_ms: Executor's steady clock; None if it did not say.
    """

    outcome: str
    clock_ms: int | None = None


class ExecutorClient(Protocol):
    """Orders to executors.

    Every method raises ``PlatformUnavailable`` when no usable answer came
    (the order may still be carried out, seconds later), ``TokenOutdated``
    when the executor has seen a higher token, and ``ExecutorReplaced`` when
    another incarnation answers.
    """

    async def start(
        self, listing: Listing, order: StartRequest, *, timeout_s: float
    ) -> StartReply:
        """Start one run; a repeat of a started run is answered likewise."""
        ...

    async def stop(
        self, listing: Listing, task: str, run: int, token: int, *, timeout_s: float
    ) -> None:
        """Stop one run; one that is not there yet can not start any more."""
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
        """Extend the lease, acknowledge ends and return what runs there.

        Args:
            listing: Executor.
            token: Fencing token of the owner.
            acknowledged: Number of the last end that is durable here.
            deadline_ms: New end of the lease; None leaves it.
            wait_ms: How long to wait for an end; 0 for not at all.
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
        """Let a run work at a share of its speed, 0 to 100."""
        ...
