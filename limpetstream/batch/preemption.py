"""Choice of running tasks that give way to a task with a higher claim."""

import dataclasses
from collections.abc import Callable, Iterable

from limpetstream.batch import jobs, messages, quotas, tasks, worker_index

MAX_VICTIMS = 6
"""A place that costs more evictions than this is not worth one start."""

Rank = Callable[[tasks.Task], tuple[float, ...] | None]
"""Order in which tasks give way, lowest first; None for never."""


@dataclasses.dataclass(slots=True)
class PreemptionPlan:
    """A worker and the tasks that must end there first."""

    worker: str
    victims: list[str]


def rank_for(task: tasks.Task, state: jobs.Jobs) -> Rank:
    """Return the order in which others give way to a task.

    Urgent work takes the place of lower priorities. Work within its team's
    own quota takes back what other teams borrowed. Work that must not run
    twice gives way only if it can go on from a checkpoint.
    """
    submit = state.job_by_id[task.job].submit
    priority = messages.PRIORITIES.index(submit.priority)
    reclaims = state.quota.within_own_quota(submit.team, task.size)

    def rank(other: tasks.Task) -> tuple[float, ...] | None:
        theirs = state.job_by_id[other.job].submit
        if not theirs.idempotent and not theirs.checkpoint_s:
            return None
        level = messages.PRIORITIES.index(theirs.priority)
        over = (
            state.quota.borrowed_share(theirs.team)
            if theirs.team != submit.team
            else 0.0
        )
        outranked = submit.priority == "urgent" and level > priority
        borrowed = reclaims and over > 0 and level >= priority
        if not outranked and not borrowed:
            return None
        watcher = theirs.kind == "watcher"
        return (watcher, -level, -over, -other.placed_ms)

    return rank


def plan(
    task: tasks.Task,
    rooms: Iterable[worker_index.WorkerCapacity],
    state: jobs.Jobs,
    leaving: set[str],
) -> PreemptionPlan | None:
    """Return the place that costs least, or None.

    Args:
        task: The task that needs a place.
        rooms: Workers to look at.
        state: Folded batch state.
        leaving: Tasks that already give way to another task.
    """
    rank = rank_for(task, state)
    best: tuple[tuple[float, ...], PreemptionPlan] | None = None
    for room in rooms:
        found = _victims(task, room, state, rank, leaving)
        if found is None:
            continue
        cost, victims = found
        if best is None or (cost, room.id) < (best[0], best[1].worker):
            best = (cost, PreemptionPlan(room.id, victims))
    return best[1] if best else None


def _victims(
    task: tasks.Task,
    room: worker_index.WorkerCapacity,
    state: jobs.Jobs,
    rank: Rank,
    leaving: set[str],
) -> tuple[tuple[float, ...], list[str]] | None:
    if not quotas.fits(task.size, room.size):
        return None
    candidates = []
    for task_id in state.task_ids_by_worker.get(room.id, ()):
        other = state.task_by_id[task_id]
        key = rank(other) if task_id not in leaving else None
        if key is not None:
            candidates.append((key, other))
    candidates.sort(key=lambda pair: (pair[0], pair[1].id))
    free, chosen = room.free, []
    for key, other in candidates:
        if quotas.fits(task.size, free):
            break
        chosen.append((key, other))
        free = quotas.add(free, other.size)
    if not chosen or len(chosen) > MAX_VICTIMS or not quotas.fits(task.size, free):
        return None
    worst = max(key for key, _ in chosen)
    return (float(len(chosen)), *worst), [other.id for _, other in chosen]
