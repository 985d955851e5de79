"""Keeps a part of a busy service free for organisations below their share.

An organisation with a long backlog takes whatever becomes free, so that tasks
of the others would wait for the end of a run. Organisations far above their
share therefore leave a small part of the service free. The share of an
organisation is what its weight entitles it to of the capacity that is not held
by long-running runs.
"""

from collections.abc import Callable, Iterable, Mapping

from limpetstream import amounts
from limpetstream.organisations import shares
from limpetstream.workflow import state

# Part of each resource of the service. Runs of 2 s free as much in 0.06 s.
HEADROOM_SHARE = 0.03
# A factor of 1 holds back use that varies about the share, and the waits of
# all get longer (bench organisation_shares).
OVER_SHARE_FACTOR = 2.0


class Headroom:
    """Decides which tasks of one pass leave enough of a service free.

    Args:
        pool: Executors of the service.
        weight_by_organisation: Weights, by name of the organisation.
    """

    __slots__ = ("_entitled", "_free", "_kept", "_pool", "_use_by_organisation")

    def __init__(
        self, pool: shares.Pool, weight_by_organisation: Mapping[str, float]
    ) -> None:
        self._pool = pool
        self._free = pool.free
        self._kept = tuple(each * HEADROOM_SHARE for each in pool.capacity)
        self._use_by_organisation = dict(pool.use_by_organisation)
        names = weight_by_organisation.keys() | pool.use_by_organisation.keys()
        weights = {
            name: max(0.0, weight_by_organisation.get(name, shares.DEFAULT_WEIGHT))
            for name in names
        }
        left = 1.0 - shares.dominant_share(pool.long_running_use, pool.capacity)
        total = sum(weights.values())
        self._entitled = {
            name: left * weight / total if total else left
            for name, weight in weights.items()
        }

    def is_over_share(self, organisation: str) -> bool:
        """Return whether an organisation is far above its share."""
        use = self._use_by_organisation.get(organisation, amounts.ZERO)
        share = shares.dominant_share(use, self._pool.capacity)
        return share > OVER_SHARE_FACTOR * self._entitled.get(organisation, 0.0)

    def may_have_turn(self, task: state.Task) -> bool:
        """Return whether a task has a turn, in the order of turns.

        A task that fits nowhere does not count as started; it has its turn,
        since runs may be stopped for it, unless its organisation is far above
        its share.
        """
        largest_free = self._pool.largest_free
        if largest_free is None or shares.may_fit(task.step, largest_free):
            return self._admit(task)
        is_over = self.is_over_share(task.job.submission.organisation)
        return task.step.long_running or not is_over

    def _admit(self, task: state.Task) -> bool:
        """Return whether a task leaves the headroom; count it if so.

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
    service_of: Callable[[state.Task], str],
    headroom_by_service: Mapping[str, Headroom],
) -> list[state.Task]:
    """Return the tasks, in their order, that leave the headroom free.

    Args:
        tasks: Tasks in the order of their turns.
        service_of: Returns the service of a task.
        headroom_by_service: Headroom of each service that has a task.
    """
    return [
        task
        for task in tasks
        if headroom_by_service[service_of(task)].may_have_turn(task)
    ]
