"""Chooses running tasks to evict in favour of a task with a higher claim."""

import dataclasses
from collections.abc import Callable, Iterable

from limpetstream import amounts
from limpetstream.batch import jobs, messages, tasks, worker_index

MAX_VICTIMS = 6
"""More evictions than this are not justified by the start of one task."""

VictimOrder = Callable[[tasks.Task], tuple[float, ...] | None]
"""Sort key by which tasks are evicted, lowest first; None for never."""


@dataclasses.dataclass(slots=True)
class PreemptionPlan:
    """A worker and the tasks that must be evicted there first."""

    worker: str
    victims: list[str]


def victim_order_for(task: tasks.Task, state: jobs.Jobs) -> VictimOrder:
    """Return the order in which other tasks are evicted for a task.

    An urgent task may evict tasks of lower priority. A task within its team's
    own quota may evict tasks of teams that have borrowed. Tasks that must not
    run twice are evicted only if they write checkpoints to resume from.
    """
    submit = state.job_by_id[task.job].submit
    priority = messages.PRIORITIES.index(submit.priority)
    reclaims = state.quota.within_own_quota(submit.team, task.size)

    def order_key(other: tasks.Task) -> tuple[float, ...] | None:
        other_submit = state.job_by_id[other.job].submit
        if not other_submit.idempotent and not other_submit.checkpoint_s:
            return None
        other_priority = messages.PRIORITIES.index(other_submit.priority)
        borrowed_share = (
            state.quota.borrowed_share(other_submit.team)
            if other_submit.team != submit.team
            else 0.0
        )
        outranked = submit.priority == "urgent" and other_priority > priority
        borrowed = reclaims and borrowed_share > 0 and other_priority >= priority
        if not outranked and not borrowed:
            return None
        watcher = other_submit.kind == "watcher"
        return (watcher, -other_priority, -borrowed_share, -other.placed_ms)

    return order_key


def plan(
    task: tasks.Task,
    capacities: Iterable[worker_index.WorkerCapacity],
    state: jobs.Jobs,
    evicting: set[str],
) -> PreemptionPlan | None:
    """Return the plan with the fewest and cheapest evictions, or None.

    Args:
        task: The task that needs capacity.
        capacities: Workers to consider.
        state: Batch state applied from the log.
        evicting: Tasks that are already being evicted for another task.
    """
    order_key = victim_order_for(task, state)
    best: tuple[tuple[float, ...], PreemptionPlan] | None = None
    for capacity in capacities:
        found = _victims(task, capacity, state, order_key, evicting)
        if found is None:
            continue
        cost, victims = found
        if best is None or (cost, capacity.id) < (best[0], best[1].worker):
            best = (cost, PreemptionPlan(capacity.id, victims))
    return best[1] if best else None


def _victims(
    task: tasks.Task,
    capacity: worker_index.WorkerCapacity,
    state: jobs.Jobs,
    order_key: VictimOrder,
    evicting: set[str],
) -> tuple[tuple[float, ...], list[str]] | None:
    if not amounts.fits(task.size, capacity.size):
        return None
    candidates = []
    for task_id in state.task_ids_by_worker.get(capacity.id, ()):
        other = state.task_by_id[task_id]
        key = order_key(other) if task_id not in evicting else None
        if key is not None:
            candidates.append((key, other))
    candidates.sort(key=lambda pair: (pair[0], pair[1].id))
    free, chosen = capacity.free, []
    for key, other in candidates:
        if amounts.fits(task.size, free):
            break
        chosen.append((key, other))
        free = amounts.add(free, other.size)
    if not chosen or len(chosen) > MAX_VICTIMS or not amounts.fits(task.size, free):
        return None
    worst = max(key for key, _ in chosen)
    return (float(len(chosen)), *worst), [other.id for _, other in chosen]
