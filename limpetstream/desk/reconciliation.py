"""Reconciles a holder's slots with the instance list, settings and rights."""

import dataclasses
from typing import TYPE_CHECKING, Any

from limpetstream.desk import events
from limpetstream.telemetry import logs

if TYPE_CHECKING:
    from limpetstream.desk import holder as holders

# Time in which executors get back all of their slots after their data centre
# has returned to service.
RETURN_RAMP_S = 30.0
HAND_OVER_POLL_INTERVAL_S = 0.02


@dataclasses.dataclass(slots=True)
class ObservedState:
    """Instance list, settings and rights as a holder last adopted them.

    Args:
        group_sizes_by_service: Number of executors of each group, by service.
        in_service_by_data_centre: Whether each data centre was in service.
        groups_to_close: Lost groups whose idle connections are closed once
            their last request has ended.
        epoch_by_leaving_group: Epochs of the groups that are being handed
            over.
        versions: Versions of the list and the settings, and the epochs of the
            held groups.
    """

    group_sizes_by_service: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    in_service_by_data_centre: dict[str, bool] = dataclasses.field(default_factory=dict)
    groups_to_close: set[str] = dataclasses.field(default_factory=set)
    epoch_by_leaving_group: dict[str, int] = dataclasses.field(default_factory=dict)
    versions: Any = None


def refresh(holder: "holders.Holder") -> None:
    """Bring the slots of a holder up to date.

    This does nothing unless the instance list, the settings or the rights have
    changed, except that it closes the connections of lost groups.
    """
    context = holder.context
    now = context.clock.monotonic()
    epoch_by_group = _epoch_by_held_group(holder, now)
    versions = (context.directory.fresh_at, context.tree.version, epoch_by_group)
    if versions != holder.observed.versions:
        _reconcile(holder, now, epoch_by_group)
        epoch_by_group = _epoch_by_held_group(holder, now)
        if epoch_by_group != versions[2]:  # The list has named new groups.
            _reconcile(holder, now, epoch_by_group)
        holder.observed.versions = (*versions[:2], epoch_by_group)
    _close_lost_groups(holder)


def _epoch_by_held_group(holder: "holders.Holder", now: float) -> dict[str, int]:
    group_sizes = holder.observed.group_sizes_by_service.values()
    epoch_by_group = {}
    for group in {group for sizes in group_sizes for group in sizes}:
        right = holder.context.membership_agent.usable_right(group, now)
        if (
            right is not None
            and holder.observed.epoch_by_leaving_group.get(group) != right.epoch
        ):
            epoch_by_group[group] = right.epoch
    return epoch_by_group


def _reconcile(
    holder: "holders.Holder", now: float, epoch_by_group: dict[str, int]
) -> None:
    listed = holder.context.listed_executors()
    observed, slot_table = holder.observed, holder.slot_table
    observed.group_sizes_by_service = {}
    for executor in listed:
        group_sizes = observed.group_sizes_by_service.setdefault(executor.service, {})
        group_sizes[executor.group] = group_sizes.get(executor.group, 0) + 1
    observed.groups_to_close |= slot_table.epoch_by_group.keys()
    observed.groups_to_close -= epoch_by_group.keys()
    clean = {group for group in epoch_by_group if _was_handed_over(holder, group)}
    entered = slot_table.reconcile(
        now, epoch_by_group, listed, holder.context.service, clean=clean
    )
    for group in entered:
        logs.emit(events.GROUP_ENTERED, group=group, epoch=epoch_by_group[group])
    holder.health.track(
        {executor.id: executor.service for executor in slot_table.by_executor.values()}
    )
    _ramp_returned_data_centres(holder, now)


def _was_handed_over(holder: "holders.Holder", group: str) -> bool:
    holding = holder.context.rights.holding_of(group)
    return holding is not None and holding.clean


async def hand_over(holder: "holders.Holder", group: str) -> None:
    """Stop sending to a group and wait until its requests have ended.

    Afterwards the right may be released as clean, so that the next holder need
    not treat the slots as used.

    Args:
        holder: Holder of the group.
        group: Resource name of the group.
    """
    context = holder.context
    right = context.membership_agent.usable_right(group, context.clock.monotonic())
    if right is None:
        return
    holder.observed.epoch_by_leaving_group[group] = right.epoch
    refresh(holder)
    while any(
        executor.group == group and executor.used_slots(context.clock.monotonic())
        for executor in holder.slot_table.by_executor.values()
    ):
        await context.clock.sleep(HAND_OVER_POLL_INTERVAL_S)


def _close_lost_groups(holder: "holders.Holder") -> None:
    for group in list(holder.observed.groups_to_close):
        executors = holder.slot_table.by_executor.values()
        if not any(
            executor.group == group and executor.expires_at_by_slot
            for executor in executors
        ):
            holder.sender.close(group)
            holder.observed.groups_to_close.discard(group)


def _ramp_returned_data_centres(holder: "holders.Holder", now: float) -> None:
    context, observed = holder.context, holder.observed
    data_centres = {
        instance.data_centre for instance in context.directory.by_id.values()
    }
    in_service = {name: context.is_in_service(name) for name in data_centres}
    was_in_service = observed.in_service_by_data_centre
    returned = {
        name
        for name in data_centres
        if in_service[name] and not was_in_service.get(name, True)
    }
    observed.in_service_by_data_centre = in_service
    for executor in holder.slot_table.by_executor.values():
        if executor.data_centre in returned:
            health = holder.health.by_executor[executor.id]
            holder.health.start_ramp(health, now, RETURN_RAMP_S)
