"""Following of instance list, settings and rights by a holder."""

import dataclasses
from typing import TYPE_CHECKING, Any

from limpetstream.desk import events
from limpetstream.telemetry import logs

if TYPE_CHECKING:
    from limpetstream.desk import holder as holders

RETURN_RAMP_S = 30.0
HAND_OVER_POLL_S = 0.02


@dataclasses.dataclass(slots=True)
class ObservedState:
    """What was last seen.

    Args:
        group_sizes_by_service: Number of executors by group and service.
        in_service_by_data_centre: Whether each data centre was in service.
        groups_to_close: Groups that were lost while requests were in flight.
        leaving: Groups that are being handed over, with their epochs.
        seen: Versions of everything that was read.
    """

    group_sizes_by_service: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    in_service_by_data_centre: dict[str, bool] = dataclasses.field(default_factory=dict)
    groups_to_close: set[str] = dataclasses.field(default_factory=set)
    epoch_by_leaving_group: dict[str, int] = dataclasses.field(default_factory=dict)
    versions: Any = None


def refresh(holder: "holders.Holder") -> None:
    """Bring the ledger of a holder up to date.

    Nothing is done unless the list, the settings or the rights have changed.
    """
    context = holder.context
    now = context.clock.monotonic()
    held = _held(holder, now)
    seen = (context.directory.fresh_at, context.tree.version, held)
    if seen != holder.observed.versions:
        _reconcile(holder, now, held)
        held = _held(holder, now)
        if held != seen[2]:  # groups that were not known before
            _reconcile(holder, now, held)
        holder.observed.versions = (*seen[:2], held)
    _close_lost(holder)


def _held(holder: "holders.Holder", now: float) -> dict[str, int]:
    counts = holder.observed.group_sizes_by_service.values()
    held = {}
    for group in {group for each in counts for group in each}:
        right = holder.context.membership_agent.usable_right(group, now)
        if (
            right is not None
            and holder.observed.epoch_by_leaving_group.get(group) != right.epoch
        ):
            held[group] = right.epoch
    return held


def _reconcile(holder: "holders.Holder", now: float, held: dict[str, int]) -> None:
    listed = holder.context.listed_executors()
    observed, ledger = holder.observed, holder.slot_table
    observed.group_sizes_by_service = {}
    for each in listed:
        counts = observed.group_sizes_by_service.setdefault(each.service, {})
        counts[each.group] = counts.get(each.group, 0) + 1
    observed.groups_to_close |= ledger.epoch_by_group.keys()
    observed.groups_to_close -= held.keys()
    clean = {group for group in held if _is_clean(holder, group)}
    entered = ledger.reconcile(now, held, listed, holder.context.service, clean=clean)
    for group in entered:
        logs.emit(events.GROUP_ENTERED, group=group, epoch=held[group])
    holder.health.track({e.id: e.service for e in ledger.by_executor.values()})
    _ramp_returned(holder, now)


def _is_clean(holder: "holders.Holder", group: str) -> bool:
    holding = holder.context.rights.holding_of(group)
    return holding is not None and holding.clean


async def hand_over(holder: "holders.Holder", group: str) -> None:
    """Stop sending to a group and wait until its requests have ended.

    The right may be released afterwards; the next holder then need not treat
    the slots as used.
    """
    context = holder.context
    right = context.membership_agent.usable_right(group, context.clock.monotonic())
    if right is None:
        return
    holder.observed.epoch_by_leaving_group[group] = right.epoch
    refresh(holder)
    while any(
        each.group == group and each.used_slots(context.clock.monotonic())
        for each in holder.slot_table.by_executor.values()
    ):
        await context.clock.sleep(HAND_OVER_POLL_S)


def _close_lost(holder: "holders.Holder") -> None:
    for group in list(holder.observed.groups_to_close):
        executors = holder.slot_table.by_executor.values()
        if not any(e.group == group and e.expires_at_by_slot for e in executors):
            holder.sender.close(group)
            holder.observed.groups_to_close.discard(group)


def _ramp_returned(holder: "holders.Holder", now: float) -> None:
    context, observed = holder.context, holder.observed
    names = {each.data_centre for each in context.directory.by_id.values()}
    states = {name: context.is_in_service(name) for name in names}
    was_in = observed.in_service_by_data_centre
    back = {name for name in names if states[name] and not was_in.get(name, True)}
    observed.in_service_by_data_centre = states
    for executor in holder.slot_table.by_executor.values():
        if executor.data_centre in back:
            record = holder.health.by_executor[executor.id]
            holder.health.start_ramp(record, now, RETURN_RAMP_S)
