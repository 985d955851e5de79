"""Orders waiting tasks by the weighted dominant shares of organisations.

Progressive filling gives each turn to the organisation with the lowest level:
its dominant share, the largest of its shares of the processors, memory and
accelerators, divided by its weight. No run is stopped for a share.
"""

import bisect
import math
from collections.abc import Callable, Iterable, Iterator, Mapping

from limpetstream import amounts
from limpetstream.workflow import messages, state

# Of work without an organisation, and of organisations that the configuration
# no longer names.
DEFAULT_WEIGHT = 1.0
# Of one organisation in one group. A pass places no more tasks.
MAX_COUNTED_TASKS = 64

Key = tuple[int, int, float]
"""Class, priority of the queue and time at which the job is due."""


def order(
    tasks: Iterable[state.Task],
    key_of: Callable[[state.Task], Key],
    weight_by_organisation: Mapping[str, float],
    use_by_organisation: Mapping[str, amounts.Amount],
    capacity: amounts.Amount,
    largest_free: amounts.Amount | None = None,
) -> list[state.Task]:
    """Return tasks in the order in which they have their turns.

    Classes and priorities come first, and the tasks of one organisation keep
    the order of their keys. Long-running tasks are ordered by their keys only.
    A task counts as use for later ones of its class and priority. When tasks
    of the next priority have their turns, those that are left fit nowhere.

    Args:
        tasks: Tasks to order.
        key_of: Returns the key of a task by the order without shares.
        weight_by_organisation: Weights, by name of the organisation.
        use_by_organisation: Use by runs that are not long-running, by name of
            the organisation; none where a name is missing.
        capacity: Capacity of all executors.
        largest_free: Most of each resource that one executor has free. Larger
            tasks fit nowhere and do not count as use; None counts all.
    """
    ordered: list[state.Task] = []
    for group in _groups(list(tasks), key_of):
        if not group[0].step.long_running:
            filling_by_name = {
                name: _Filling(
                    use_by_organisation.get(name, amounts.ZERO),
                    weight_by_organisation.get(name, DEFAULT_WEIGHT),
                    capacity,
                )
                for name in {task.job.submission.organisation for task in group}
            }
            group = _fill(group, filling_by_name, largest_free)
        ordered += group
    return ordered


def _groups(
    tasks: list[state.Task], key_of: Callable[[state.Task], Key]
) -> Iterator[list[state.Task]]:
    """Yield the tasks of each class and priority, ordered by their keys."""
    keys = [key_of(task) for task in tasks]
    indices = sorted(range(len(tasks)), key=keys.__getitem__)
    keys.sort()
    first = 0
    while first < len(tasks):
        end = bisect.bisect_right(keys, (*keys[first][:2], math.inf), first)
        yield [tasks[index] for index in indices[first:end]]
        first = end


def dominant_share(use: amounts.Amount, capacity: amounts.Amount) -> float:
    """Return the largest of the shares of the resources that there are.

    >>> dominant_share((4000, 1024, 0), (16_000, 16_384, 0))
    0.25
    """
    return max(
        (part / whole for part, whole in zip(use, capacity, strict=True) if whole),
        default=0.0,
    )


def _fill(
    tasks: list[state.Task],
    filling_by_name: dict[str, "_Filling"],
    largest_free: amounts.Amount | None,
) -> list[state.Task]:
    """Return the tasks of one group by the levels of their organisations.

    Levels never fall within an organisation, so the sort merges the
    organisations as a heap of their first tasks would.
    """
    levels = []
    for task in tasks:
        filling = filling_by_name[task.job.submission.organisation]
        levels.append(filling.level)
        if filling.counted < MAX_COUNTED_TASKS and (
            largest_free is None or may_fit(task.step, largest_free)
        ):
            filling.add(task.step)
    return [tasks[index] for index in sorted(range(len(tasks)), key=levels.__getitem__)]


def may_fit(step: messages.Step, largest_free: amounts.Amount) -> bool:
    """Return whether an executor may have room for a task of a step.

    Best-effort tasks need no free CPU.
    """
    return (
        (step.fills or step.cpu_millicores <= largest_free[0])
        and step.memory_mb <= largest_free[1]
        and step.accelerators <= largest_free[2]
    )


class _Filling:
    """Use and level of one organisation while a group is ordered.

    Args:
        use: What its runs use.
        weight: Its weight; without a positive one it comes after all others.
        capacity: Capacity of all executors.
    """

    __slots__ = ("_accelerators", "_cpu", "_factors", "_memory", "counted", "level")

    def __init__(
        self, use: amounts.Amount, weight: float, capacity: amounts.Amount
    ) -> None:
        self._cpu, self._memory, self._accelerators = use
        self._factors = tuple(
            1 / (each * weight) if each > 0 and weight > 0 else 0.0 for each in capacity
        )
        self.counted = 0
        self.level = math.inf
        if weight > 0:
            self._update_level()

    def add(self, step: messages.Step) -> None:
        """Count a task of a step as use."""
        self.counted += 1
        self._cpu += step.cpu_millicores
        self._memory += step.memory_mb
        self._accelerators += step.accelerators
        if self.level < math.inf:
            self._update_level()

    def _update_level(self) -> None:
        cpu, memory, accelerators = self._factors
        self.level = max(
            self._cpu * cpu, self._memory * memory, self._accelerators * accelerators
        )
