"""Tells whether a task waits for its organisation's limit or share."""

from typing import Any

from limpetstream import amounts
from limpetstream.organisations import limits, reports, settings, shares
from limpetstream.shard import state, turn_order
from limpetstream.workflow import state as workflow_state

LIMIT = "limit"  # The task would bring its organisation over its limit.
# Other organisations wait that use less of the service for their weight, or it
# is far above its share and leaves the headroom free.
SHARE = "share"


def fields(shard: state.Shard, task: workflow_state.Task) -> dict[str, Any]:
    """Return what a log line on a waiting task tells of its organisation.

    Args:
        shard: Shard of the task.
        task: Task that waits.

    Returns:
        The organisation and why it lets the task wait, or an empty text if it
        does not; nothing if the configuration names no organisation.
    """
    configuration = shard.view.configuration
    if configuration is None or not configuration.organisation_by_name:
        return {}
    by_name = configuration.organisation_by_name
    name = task.job.submission.organisation
    held_by = ""
    if not limits.allows(shard, task):
        held_by = LIMIT
    elif turn_order.is_over_share(shard, task) or _waits_for_others(
        shard, task, by_name
    ):
        held_by = SHARE
    return {"organisation": name or reports.NO_ORGANISATION, "held_by": held_by}


def _waits_for_others(
    shard: state.Shard,
    task: workflow_state.Task,
    by_name: dict[str, settings.Organisation],
) -> bool:
    """Return whether an organisation with a smaller weighted share waits.

    Only the service of the task counts.
    """
    service, name = shard.service_of(task.job), task.job.submission.organisation
    capacity = reports.capacity_of(shard, service)
    use_by_name = shard.usage.short_by_organisation(service)

    def weighted_share(each: str) -> float:
        weight = by_name[each].weight if each in by_name else 1.0
        share = shares.dominant_share(use_by_name.get(each, amounts.ZERO), capacity)
        return share / weight if weight > 0 else float("inf")

    own_share = weighted_share(name)
    names = {
        waiting.job.submission.organisation
        for waiting in shard.waiting_tasks
        if shard.service_of(waiting.job) == service
    }
    return any(weighted_share(other) < own_share for other in names - {name})
