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
class Followed:
    """What was last seen.

    Args:
        groups_by_service: Number of executors by group and service.
        in_by_data_centre: Whether each data centre was in service.
        closing: Groups that were lost while requests were in flight.
        leaving: Groups that are being handed over, with their epochs.
        seen: Versions of everything that was read.
    """

    groups_by_service: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    in_by_data_centre: dict[str, bool] = dataclasses.field(default_factory=dict)
    closing: set[str] = dataclasses.field(default_factory=set)
    leaving: dict[str, int] = dataclasses.field(default_factory=dict)
    seen: Any = None


def refresh(holder: "holders.Holder") -> None:
    """Bring the ledger of a holder up to date.

    Nothing is done unless the list, the settings or the rights have changed.
    """
    around = holder.around
    now = around.clock.monotonic()
    held = _held(holder, now)
    seen = (around.directory.fresh_at, around.tree.version, held)
    if seen != holder.followed.seen:
        _reconcile(holder, now, held)
        held = _held(holder, now)
        if held != seen[2]:  # groups that were not known before
            _reconcile(holder, now, held)
        holder.followed.seen = (*seen[:2], held)
    _close_lost(holder)


def _held(holder: "holders.Holder", now: float) -> dict[str, int]:
    counts = holder.followed.groups_by_service.values()
    held = {}
    for group in {group for each in counts for group in each}:
        right = holder.around.membership_agent.usable_right(group, now)
        if right is not None and holder.followed.leaving.get(group) != right.epoch:
            held[group] = right.epoch
    return held


def _reconcile(holder: "holders.Holder", now: float, held: dict[str, int]) -> None:
    listed = holder.around.listed()
    followed, ledger = holder.followed, holder.ledger
    followed.groups_by_service = {}
    for each in listed:
        counts = followed.groups_by_service.setdefault(each.service, {})
        counts[each.group] = counts.get(each.group, 0) + 1
    followed.closing |= ledger.epoch_by_group.keys()
    followed.closing -= held.keys()
    clean = {group for group in held if _is_clean(holder, group)}
    entered = ledger.reconcile(now, held, listed, holder.around.service, clean=clean)
    for group in entered:
        logs.emit(events.GROUP_ENTERED, group=group, epoch=held[group])
    holder.health.keep({e.id: e.service for e in ledger.by_executor.values()})
    _ramp_returned(holder, now)


def _is_clean(holder: "holders.Holder", group: str) -> bool:
    holding = holder.around.rights.holding_of(group)
    return holding is not None and holding.clean


async def hand_over(holder: "holders.Holder", group: str) -> None:
    """Stop sending to a group and wait until its requests have ended.

    The right may be released afterwards; the next holder then need not treat
    the slots as used.
    """
    around = holder.around
    right = around.membership_agent.usable_right(group, around.clock.monotonic())
    if right is None:
        return
    holder.followed.leaving[group] = right.epoch
    refresh(holder)
    while any(
        each.group == group and each.used(around.clock.monotonic())
        for each in holder.ledger.by_executor.values()
    ):
        await around.clock.sleep(HAND_OVER_POLL_S)


def _close_lost(holder: "holders.Holder") -> None:
    for group in list(holder.followed.closing):
        executors = holder.ledger.by_executor.values()
        if not any(e.group == group and e.until_by_slot for e in executors):
            holder.sender.close(group)
            holder.followed.closing.discard(group)


def _ramp_returned(holder: "holders.Holder", now: float) -> None:
    around, followed = holder.around, holder.followed
    names = {each.data_centre for each in around.directory.by_id.values()}
    states = {name: around.is_in(name) for name in names}
    was_in = followed.in_by_data_centre
    back = {name for name in names if states[name] and not was_in.get(name, True)}
    followed.in_by_data_centre = states
    for executor in holder.ledger.by_executor.values():
        if executor.data_centre in back:
            record = holder.health.by_executor[executor.id]
            holder.health.ramp(record, now, RETURN_RAMP_S)
