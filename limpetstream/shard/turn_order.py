"""Orders waiting tasks by their priority and by when their jobs are due.

Where the configuration names organisations, those share a full service by
their weights.
"""

from collections.abc import Callable, Collection, Iterable

from limpetstream import amounts
from limpetstream.executors import tracking
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
    if _has_organisations(shard) and (
        _has_short_wait(due, now, SHARE_WAIT_S)
        or _has_best_effort_wait(due, now, SHARE_WAIT_S)
    ):
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
    return _has_waited(filter(victims.is_short, due), now, longer_than_s)


def _has_best_effort_wait(
    due: list[workflow_state.Task], now: float, longer_than_s: float
) -> bool:
    """Return whether a best-effort task waits for longer than a time."""
    return _has_waited((task for task in due if task.step.fills), now, longer_than_s)


def _has_waited(
    tasks: Iterable[workflow_state.Task], now: float, longer_than_s: float
) -> bool:
    """Return whether one of the tasks waits for longer than a time.

    Time for which a limit held it back does not count.
    """
    return any(
        now - task.ready_at > longer_than_s and now - task.held_back_at > longer_than_s
        for task in tasks
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

    Those that would use up the headroom of a service are left out.
    """
    configuration = shard.view.configuration
    assert configuration is not None
    service_by_queue = {queue.name: queue.service for queue in configuration.queues}

    def service_of(task: workflow_state.Task) -> str:
        submission = task.job.submission
        return service_by_queue.get(submission.queue, submission.service)

    weights = _weights(shard)
    pools = _pools(shard, {service_of(task) for task in due})
    ordered = shares.order_by_service(due, key_of, weights, service_of, pools)
    headroom_by_service = {
        service: headroom.Headroom(pool, weights) for service, pool in pools.items()
    }
    return headroom.leave(ordered, service_of, headroom_by_service)


def is_over_share(shard: state.Shard, task: workflow_state.Task) -> bool:
    """Return whether a task's organisation has to leave the headroom free."""
    service = shard.service_of(task.job)
    pool = _pools(shard, {service})[service]
    kept_free = headroom.Headroom(pool, _weights(shard))
    return kept_free.is_over_share(task.job.submission.organisation)


def _weights(shard: state.Shard) -> dict[str, float]:
    configuration = shard.view.configuration
    assert configuration is not None
    return {
        name: organisation.weight
        for name, organisation in configuration.organisation_by_name.items()
    }


def _pools(shard: state.Shard, services: Collection[str]) -> dict[str, shares.Pool]:
    """Return the executors of each service, with what their runs use."""
    executors_by_service: dict[str, list[tracking.Executor]] = {
        service: [] for service in services
    }
    for executor in shard.executor_by_id.values():
        executors = executors_by_service.get(executor.listing.service)
        if executors is not None:
            executors.append(executor)
    return {
        service: _pool(shard, service, executors)
        for service, executors in executors_by_service.items()
    }


def _pool(
    shard: state.Shard, service: str, executors: Iterable[tracking.Executor]
) -> shares.Pool:
    """Return the executors of a service, with what their runs use.

    Only executors that may get new tasks count as free.
    """
    cpu = memory = accelerators = 0
    free_rows = [amounts.ZERO]
    available = shard.searches.available
    for executor in executors:
        each = executor.listing.capacity
        cpu += each.cpu_millicores
        memory += each.memory_mb
        accelerators += each.accelerators
        if executor.listing.executor_id in available:
            free_rows.append(
                (
                    max(0, each.cpu_millicores - executor.reserved_millicores),
                    max(0, each.memory_mb - executor.reserved_memory_mb),
                    max(0, each.accelerators - executor.reserved_accelerators),
                )
            )
    columns = list(zip(*free_rows, strict=True))
    return shares.Pool(
        shard.usage.short_by_organisation(service),
        (cpu, memory, accelerators),
        (max(columns[0]), max(columns[1]), max(columns[2])),
        (sum(columns[0]), sum(columns[1]), sum(columns[2])),
        shard.usage.long_running_in(service),
    )
