"""Orders waiting tasks by their priority and by when their jobs are due.

Where the configuration names organisations, those share a full service by
their weights.
"""

import dataclasses
from collections.abc import Callable

from limpetstream import amounts
from limpetstream.organisations import headroom, shares
from limpetstream.shard import objectives, state, victims
from limpetstream.workflow import placement, state as workflow_state

LATE_PENALTY_MS = 20_000  # Jobs that can still be on time go before late ones.
# Short tasks that wait longer than this miss latency objectives of 1.5 s.
BACKLOG_WAIT_S = 0.3
# After this wait, organisations share. An organisation with many times its
# usual load takes what becomes free until then (bench organisation_shares).
SHARE_WAIT_S = 0.05


def sort(
    shard: state.Shard, due: list[workflow_state.Task], now: float
) -> list[workflow_state.Task]:
    """Return due tasks in the order in which they have their turns.

    Args:
        shard: Shard of the tasks.
        due: Waiting tasks that may be placed now.
        now: Monotonic time.
    """
    key_of = _key_function(shard, has_backlog=_has_short_wait(due, now, BACKLOG_WAIT_S))
    if _has_organisations(shard) and _has_short_wait(due, now, SHARE_WAIT_S):
        return _sort_by_shares(shard, due, key_of)
    return sorted(due, key=key_of)


def _key_function(
    shard: state.Shard, *, has_backlog: bool
) -> Callable[[workflow_state.Task], shares.Key]:
    """Return a function that returns the key of a task without shares."""
    now_ms = shard.clock.wall_ms()
    rank_by_job: dict[str, tuple[int, float]] = {}
    key_by_job: dict[str, shares.Key] = {}  # Unless long-running.

    def key(task: workflow_state.Task) -> shares.Key:
        job_id = task.job.submission.job_id
        shared = None if task.step.long_running else key_by_job.get(job_id)
        if shared is not None:
            return shared
        rank = rank_by_job.get(job_id)
        if rank is None:
            due_ms = objectives.due_ms(shard, task.job)
            if due_ms < now_ms:
                due_ms += LATE_PENALTY_MS
            rank = rank_by_job[job_id] = shard.priority_of(task.job), due_ms
        order = placement.order_key(
            task,
            *rank,
            backlog=has_backlog and not victims.has_waited_long(shard, task),
        )
        if not task.step.long_running:
            key_by_job[job_id] = order
        return order

    return key


def _has_short_wait(
    due: list[workflow_state.Task], now: float, longer_than_s: float
) -> bool:
    """Return whether a short task waits for longer than a time."""
    return any(
        victims.is_short(task)
        and now - task.ready_at > longer_than_s
        and now - task.held_back_at > longer_than_s
        for task in due
    )


def _has_organisations(shard: state.Shard) -> bool:
    configuration = shard.view.configuration
    return configuration is not None and bool(configuration.organisation_by_name)


def _sort_by_shares(
    shard: state.Shard,
    due: list[workflow_state.Task],
    key_of: Callable[[workflow_state.Task], shares.Key],
) -> list[workflow_state.Task]:
    """Return due tasks in the order of the shares of their organisations.

    Those that would use up the headroom of the service are left out.
    """
    names = {task.job.submission.organisation for task in due}
    room, use_by_organisation = _measure_room(shard), _short_use(shard, names)
    ordered = shares.order(
        due,
        key_of,
        _weights(shard),
        use_by_organisation,
        room.capacity,
        room.largest_free,
    )
    kept_free = _headroom(shard, room, use_by_organisation)
    return headroom.leave(ordered, kept_free, room.largest_free)


def is_over_share(shard: state.Shard, organisation: str) -> bool:
    """Return whether an organisation has to leave the headroom free."""
    use_by_organisation = _short_use(shard, {organisation})
    kept_free = _headroom(shard, _measure_room(shard), use_by_organisation)
    return kept_free.is_over_share(organisation)


def _weights(shard: state.Shard) -> dict[str, float]:
    configuration = shard.view.configuration
    assert configuration is not None
    return {
        name: organisation.weight
        for name, organisation in configuration.organisation_by_name.items()
    }


def _short_use(shard: state.Shard, names: set[str]) -> dict[str, amounts.Amount]:
    """Return what runs use that are not long-running, by organisation."""
    return {name: shard.usage.short_of(name) for name in names}


def _headroom(
    shard: state.Shard,
    room: "_Room",
    use_by_organisation: dict[str, amounts.Amount],
) -> headroom.Headroom:
    return headroom.Headroom(
        room.capacity,
        room.free,
        _weights(shard),
        use_by_organisation,
        shard.usage.long_running_in_all(),
    )


@dataclasses.dataclass(slots=True)
class _Room:
    """Room on the executors.

    Args:
        capacity: Capacity of all executors.
        free: What is free on those that may get new tasks.
        largest_free: Most of each resource that is free on one of them.
    """

    capacity: amounts.Amount
    free: amounts.Amount
    largest_free: amounts.Amount


def _measure_room(shard: state.Shard) -> _Room:
    cpu = memory = accelerators = 0
    free_rows = []
    available = shard.searches.available
    for executor_id, executor in shard.executor_by_id.items():
        each = executor.listing.capacity
        cpu += each.cpu_millicores
        memory += each.memory_mb
        accelerators += each.accelerators
        if executor_id in available:
            free_rows.append(
                (
                    max(0, each.cpu_millicores - executor.reserved_millicores),
                    max(0, each.memory_mb - executor.reserved_memory_mb),
                    max(0, each.accelerators - executor.reserved_accelerators),
                )
            )
    free_rows.append(amounts.ZERO)
    columns = list(zip(*free_rows, strict=True))
    return _Room(
        (cpu, memory, accelerators),
        (sum(columns[0]), sum(columns[1]), sum(columns[2])),
        (max(columns[0]), max(columns[1]), max(columns[2])),
    )
