"""Logs what organisations use, what they may use, and what waits for them."""

import dataclasses
import heapq
from typing import Any

from limpetstream import amounts
from limpetstream.organisations import (
    limits,
    owner_events,
    settings,
    shares,
    usage as usage_module,
)
from limpetstream.shard import state
from limpetstream.telemetry import logs

# Of one report; above the 72 organisations of the target.
MAX_LINES = 100
# In the log, for work without an organisation.
NO_ORGANISATION = "(none)"


@dataclasses.dataclass(slots=True)
class Waiting:
    """Waiting tasks of one organisation.

    Args:
        tasks: Number of tasks.
        held_back: Number of those that the limit does not allow now.
        longest_s: Longest time that one has waited, without its pause.
    """

    tasks: int = 0
    held_back: int = 0
    longest_s: float = 0.0


def log(shard: state.Shard, reported: frozenset[str]) -> frozenset[str]:
    """Log each organisation that has work, or had some in the last report.

    Nothing is computed if the configuration names no organisation.

    Args:
        shard: Shard to report on.
        reported: Names of the organisations that had work in the last report.

    Returns:
        Names of the organisations that have work now.
    """
    configuration = shard.view.configuration
    if configuration is None or not configuration.organisation_by_name:
        return frozenset()
    by_name = configuration.organisation_by_name
    usage = shard.usage
    waiting_by_name = _count_waiting(shard)
    used = {name for name in (*by_name, *reported, "") if any(usage.of(name))}
    busy = frozenset(used | waiting_by_name.keys())
    capacity = capacity_of(shard)
    for name in _choose(busy | reported, waiting_by_name):
        organisation = by_name.get(name) or settings.Organisation(name)
        waiting = waiting_by_name.get(name, Waiting())
        logs.emit(
            owner_events.ORGANISATION_STATE,
            **_fields(organisation, usage, waiting, capacity),
        )
    return busy


def _choose(names: frozenset[str], waiting_by_name: dict[str, Waiting]) -> list[str]:
    """Return the names to report, those with the longest waits first."""
    chosen = heapq.nsmallest(
        MAX_LINES,
        names,
        key=lambda name: (-waiting_by_name.get(name, Waiting()).longest_s, name),
    )
    if len(names) > len(chosen):
        logs.emit(
            owner_events.ORGANISATIONS_LEFT_OUT,
            organisations=len(names),
            left_out=len(names) - len(chosen),
        )
    return chosen


def _fields(
    organisation: settings.Organisation,
    usage: usage_module.Usage,
    waiting: Waiting,
    capacity: amounts.Amount,
) -> dict[str, Any]:
    used, limit = usage.of(organisation.name), organisation.limit
    share = shares.dominant_share(usage.short_of(organisation.name), capacity)
    return {
        "organisation": organisation.name or NO_ORGANISATION,
        "weight": organisation.weight,
        "share_percent": round(share * 100, 2),
        "weighted_share_percent": round(share * 100 / organisation.weight, 2)
        if organisation.weight > 0
        else 0.0,
        "used_millicores": used[0],
        "used_memory_mb": used[1],
        "used_accelerators": used[2],
        "limit_millicores": limit[0],
        "limit_memory_mb": limit[1],
        "limit_accelerators": limit[2],
        "waiting": waiting.tasks,
        "held_back": waiting.held_back,
        "longest_wait_ms": round(waiting.longest_s * 1000),
    }


def _count_waiting(shard: state.Shard) -> dict[str, Waiting]:
    """Return what waits by organisation, without tasks that still pause.

    Whether the limit holds tasks back is decided once for all of a step.
    """
    now = shard.clock.monotonic()
    is_held_back_by_step: dict[int, bool] = {}
    waiting_by_name: dict[str, Waiting] = {}
    for task in shard.waiting_tasks:
        if task.not_before > now:
            continue
        name, step = task.job.submission.organisation, task.step
        waiting = waiting_by_name.get(name)
        if waiting is None:
            waiting = waiting_by_name[name] = Waiting()
        waiting.tasks += 1
        waited_s = now - max(task.ready_at, task.not_before)
        if waited_s > waiting.longest_s:
            waiting.longest_s = waited_s
        is_held_back = is_held_back_by_step.get(id(step))
        if is_held_back is None:
            is_held_back = not limits.allows(shard, task)
            is_held_back_by_step[id(step)] = is_held_back
        waiting.held_back += is_held_back
    return waiting_by_name


def capacity_of(shard: state.Shard, service: str | None = None) -> amounts.Amount:
    """Return what all listed executors have, or those of one service."""
    total = amounts.ZERO
    for executor in shard.executor_by_id.values():
        listing = executor.listing
        if executor.listed and service in (None, listing.service):
            each = listing.capacity
            total = amounts.add(
                total, (each.cpu_millicores, each.memory_mb, each.accelerators)
            )
    return total
