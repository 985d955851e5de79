"""Keeps a part of a busy service free for organisations below their share.

An organisation with a long backlog takes whatever becomes free, so that tasks
of the others would wait for the end of a run. Organisations far above their
share therefore leave a small part of the service free. The share of an
organisation is what its weight entitles it to of the capacity that is not held
by long-running runs.
"""

from collections.abc import Iterable, Mapping

from limpetstream import amounts
from limpetstream.organisations import shares
from limpetstream.workflow import state

# Part of each resource of the service. Runs of 2 s free as much in 0.06 s.
HEADROOM_SHARE = 0.03
# A factor of 1 holds back use that varies about the share, and the waits of
# all get longer (bench organisation_shares).
OVER_SHARE_FACTOR = 2.0


class Headroom:
    """Decides which tasks of one pass leave enough of the service free.

    Args:
        capacity: Capacity of all executors.
        free: What is free on the executors that may get tasks.
        weight_by_organisation: Weights, by name of the organisation.
        use_by_organisation: What its runs use that are not long-running.
        long_running_use: What all long-running runs use.
    """

    __slots__ = ("_capacity", "_entitled", "_free", "_kept", "_use_by_organisation")

    def __init__(
        self,
        capacity: amounts.Amount,
        free: amounts.Amount,
        weight_by_organisation: Mapping[str, float],
        use_by_organisation: Mapping[str, amounts.Amount],
        long_running_use: amounts.Amount,
    ) -> None:
        self._capacity = capacity
        self._free = free
        self._kept = tuple(each * HEADROOM_SHARE for each in capacity)
        self._use_by_organisation = dict(use_by_organisation)
        names = weight_by_organisation.keys() | use_by_organisation.keys()
        weights = {
            name: max(0.0, weight_by_organisation.get(name, shares.DEFAULT_WEIGHT))
            for name in names
        }
        left = 1.0 - shares.dominant_share(long_running_use, capacity)
        total = sum(weights.values())
        self._entitled = {
            name: left * weight / total if total else left
            for name, weight in weights.items()
        }

    def is_over_share(self, organisation: str) -> bool:
        """Return whether an organisation is far above its share."""
        use = self._use_by_organisation.get(organisation, amounts.ZERO)
        share = shares.dominant_share(use, self._capacity)
        return share > OVER_SHARE_FACTOR * self._entitled.get(organisation, 0.0)

    def admit(self, task: state.Task) -> bool:
        """Return whether a task may have a turn; count it as started if so.

        Long-running tasks have to run also on a full service, and best-effort
        tasks use what others leave.
        """
        step = task.step
        if step.long_running or step.fills:
            return True
        name = task.job.submission.organisation
        need = (step.cpu_millicores, step.memory_mb, step.accelerators)
        free = amounts.subtract(self._free, need)
        if self.is_over_share(name) and any(
            asked and left < kept
            for asked, left, kept in zip(need, free, self._kept, strict=True)
        ):
            return False
        self._free = free
        use = self._use_by_organisation.get(name, amounts.ZERO)
        self._use_by_organisation[name] = amounts.add(use, need)
        return True


def leave(
    tasks: Iterable[state.Task],
    headroom: Headroom,
    largest_free: amounts.Amount,
) -> list[state.Task]:
    """Return the tasks, in their order, that leave the headroom free.

    Args:
        tasks: Tasks in the order of their turns.
        headroom: Headroom of this pass.
        largest_free: Most of each resource that is free on any one executor.
            A larger task does not count as started; it has its turn, since
            runs may be stopped for it, unless its organisation is over its
            share.
    """
    kept = []
    for task in tasks:
        if shares.may_fit(task.step, largest_free):
            may_have_turn = headroom.admit(task)
        else:
            may_have_turn = task.step.long_running or not headroom.is_over_share(
                task.job.submission.organisation
            )
        if may_have_turn:
            kept.append(task)
    return kept
