"""Holds tasks back whose start would exceed the limit of their organisation.

A task that is held back waits without any effect on others. What its
organisation holds is counted from before a start is sent until the end is
known, so a single owner needs no further state to keep within a limit.
"""

import sys
from collections.abc import Collection

from limpetstream import amounts
from limpetstream.organisations import claims, settings, unseen, usage
from limpetstream.shard import state
from limpetstream.workflow import state as workflow_state


def startable(shard: state.Shard, now: float) -> Collection[workflow_state.Task]:
    """Return the waiting tasks that no limit holds back.

    Args:
        shard: Shard of the tasks.
        now: Monotonic time.
    """
    waiting = shard.waiting_tasks
    if not _organisation_by_name(shard):
        return waiting
    unseen.refresh(shard, now)
    shard.claims.drop_ended(now)
    free_by_organisation: dict[str, amounts.Amount | None] = {}
    claimable_by_organisation: dict[str, amounts.Amount] = {}
    with_room = []
    for task in waiting:
        name = task.job.submission.organisation
        if name not in free_by_organisation:
            free_by_organisation[name] = _free(shard, name)
            claimable_by_organisation[name] = _claimable(shard, name)
        free = free_by_organisation[name]
        if free is None:
            with_room.append(task)
            continue
        need = _need(task)
        if amounts.fits(need, free):
            with_room.append(task)
            may_claim, held_at = claims.may_claim_with_room(task, now), task.ready_at
        else:
            task.held_back_at = now
            may_claim, held_at = claims.may_claim(task, now), now
        if may_claim and amounts.fits(need, claimable_by_organisation[name]):
            shard.claims.request(task, need, held_at)
    if not shard.claims:
        return with_room
    may_start = []
    for task in with_room:
        free = free_by_organisation[task.job.submission.organisation]
        if _is_allowed(shard, task, free):
            may_start.append(task)
        else:
            task.held_back_at = now
    return may_start


def may_have_turn(shard: state.Shard, task: workflow_state.Task, now: float) -> bool:
    """Return whether a task may start now; note it if it is held back."""
    if allows(shard, task):
        return True
    task.held_back_at = now
    return False


def allows(shard: state.Shard, task: workflow_state.Task) -> bool:
    """Return whether a task may start now, with its whole gang."""
    name = task.job.submission.organisation
    return not name or _is_allowed(shard, task, _free(shard, name))


def allows_preemption(shard: state.Shard, task: workflow_state.Task) -> bool:
    """Return whether runs may be stopped for a task of the present turn.

    The tasks for which others are being stopped need their room first. Without
    that, every waiting task of an organisation with room for one would stop
    runs of other organisations.
    """
    name = task.job.submission.organisation
    free = _free(shard, name) if name else None
    if free is None:
        return True
    need = _need(task)
    for other in shard.claims.preempting_tasks(name):
        if other is not task:
            need = amounts.add(need, _need(other))
    return amounts.fits(need, free)


def note_preemption(
    shard: state.Shard, task: workflow_state.Task, until: float
) -> None:
    """Note that runs are being stopped for a task.

    Args:
        shard: Shard of the task.
        task: Task that waits for their ends.
        until: Monotonic time until which they end.
    """
    name = task.job.submission.organisation
    if name in _organisation_by_name(shard):
        shard.claims.note_preemption(task, until)


def allows_again(shard: state.Shard, task: workflow_state.Task) -> bool:
    """Return whether a task could start again once its run has ended."""
    free = _free(shard, task.job.submission.organisation, without=task)
    return _is_allowed(shard, task, free)


def _is_allowed(
    shard: state.Shard, task: workflow_state.Task, free: amounts.Amount | None
) -> bool:
    """Return whether a task fits into free room beside a claim of another."""
    if free is None:
        return True
    left = amounts.subtract(free, shard.claims.kept_from(task))
    return amounts.fits(_need(task), _at_least_zero(left))


def _organisation_by_name(shard: state.Shard) -> dict[str, settings.Organisation]:
    configuration = shard.view.configuration
    return {} if configuration is None else configuration.organisation_by_name


def _free(
    shard: state.Shard, name: str, *, without: workflow_state.Task | None = None
) -> amounts.Amount | None:
    """Return what an organisation may start; None if it has no limit.

    Args:
        shard: Shard of its tasks.
        name: Its name.
        without: Task whose run is not counted.
    """
    organisation = _organisation_by_name(shard).get(name)
    if organisation is None:
        return None
    held = shard.usage.at_most(name)
    if without is not None:
        held = amounts.subtract(held, usage.need_of(without.step))
    return _at_least_zero(amounts.subtract(_bound(organisation.limit), held))


def _claimable(shard: state.Shard, name: str) -> amounts.Amount:
    """Return how much room ends of short runs can make, if tasks may claim it.

    Before earlier runs are settled, the task itself may be running unseen.
    """
    organisation = _organisation_by_name(shard).get(name)
    if organisation is None or not shard.earlier_runs_settled:
        return amounts.ZERO
    return amounts.subtract(_bound(organisation.limit), shard.usage.lasting_of(name))


def _bound(limit: amounts.Amount) -> amounts.Amount:
    """Return a limit, with a large amount of each resource without one."""
    return (limit[0] or sys.maxsize, limit[1] or sys.maxsize, limit[2] or sys.maxsize)


def _at_least_zero(amount: amounts.Amount) -> amounts.Amount:
    """Return an amount without negative parts.

    A task that needs nothing of a resource is not held back by its use.
    """
    return (max(0, amount[0]), max(0, amount[1]), max(0, amount[2]))


def _need(task: workflow_state.Task) -> amounts.Amount:
    """Return what a task needs, with the gang that starts with it."""
    need = usage.need_of(task.step)
    return usage.times(need, task.step.count) if task.step.gang else need
