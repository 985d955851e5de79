"""Orders waiting tasks by the weighted dominant shares of organisations.

Progressive filling gives each turn to the organisation with the lowest level:
its dominant share, the largest of its shares of the processors, memory and
accelerators, divided by its weight. Each service is shared by itself. No run
is stopped for a share.
"""

import bisect
import dataclasses
import math
from collections.abc import Callable, Iterable, Iterator, Mapping

from limpetstream import amounts
from limpetstream.workflow import messages, state

# Of work without an organisation, and of organisations that the configuration
# no longer names.
DEFAULT_WEIGHT = 1.0
# Levels by a smaller weight could be infinite, and 0 times infinity no number.
MIN_WEIGHT = 1e-300
# Of one organisation in one group. A pass places no more tasks.
MAX_COUNTED_TASKS = 64

Key = tuple[int, int, float]
"""Class, priority of the queue and time at which the job is due."""


@dataclasses.dataclass(slots=True)
class Pool:
    """Executors of one service, which organisations share.

    Args:
        use_by_organisation: Use by runs that are not long-running, by name of
            the organisation; none where a name is missing.
        capacity: Capacity of all executors.
        largest_free: Most of each resource that one executor has free. Larger
            tasks fit nowhere and do not count as use; None counts all.
        free: What is free on the executors that may get tasks.
        long_running_use: Use by long-running runs.
    """

    use_by_organisation: Mapping[str, amounts.Amount]
    capacity: amounts.Amount
    largest_free: amounts.Amount | None = None
    free: amounts.Amount = amounts.ZERO
    long_running_use: amounts.Amount = amounts.ZERO


def order(
    tasks: Iterable[state.Task],
    key_of: Callable[[state.Task], Key],
    weight_by_organisation: Mapping[str, float],
    use_by_organisation: Mapping[str, amounts.Amount],
    capacity: amounts.Amount,
    largest_free: amounts.Amount | None = None,
) -> list[state.Task]:
    """Return tasks of one service in the order in which they have their turns.

    The arguments are those of ``order_by_service`` and ``Pool``.
    """
    pool = Pool(use_by_organisation, capacity, largest_free)
    return order_by_service(
        tasks, key_of, weight_by_organisation, lambda _task: "", {"": pool}
    )


def order_by_service(
    tasks: Iterable[state.Task],
    key_of: Callable[[state.Task], Key],
    weight_by_organisation: Mapping[str, float],
    service_of: Callable[[state.Task], str],
    pool_by_service: Mapping[str, Pool],
) -> list[state.Task]:
    """Return tasks in the order in which they have their turns.

    Classes and priorities come first, and the tasks of one organisation and
    service keep the order of their keys. Long-running tasks are ordered by
    their keys only. A task counts as use for later ones of its class, priority
    and service. When tasks of the next priority have their turns, those that
    are left fit nowhere.

    Args:
        tasks: Tasks to order.
        key_of: Returns the key of a task by the order without shares.
        weight_by_organisation: Weights, by name of the organisation.
        service_of: Returns the service of a task.
        pool_by_service: Executors of each service that has a task.
    """
    ordered: list[state.Task] = []
    for group in _groups(list(tasks), key_of):
        if not group[0].step.long_running:
            owners = [
                (service_of(task), task.job.submission.organisation) for task in group
            ]
            filling_by_owner = {
                (service, name): _Filling(
                    pool_by_service[service],
                    name,
                    weight_by_organisation.get(name, DEFAULT_WEIGHT),
                )
                for service, name in set(owners)
            }
            group = _fill(group, [filling_by_owner[owner] for owner in owners])
        ordered += group
    return ordered


def _groups(
    tasks: list[state.Task], key_of: Callable[[state.Task], Key]
) -> Iterator[list[state.Task]]:
    """Yield the tasks of each class and priority, ordered by their keys."""
    keys = [key_of(task) for task in tasks]
    indices = sorted(range(len(tasks)), key=keys.__getitem__)
    keys = [keys[index] for index in indices]
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


def _fill(tasks: list[state.Task], fillings: list["_Filling"]) -> list[state.Task]:
    """Return the tasks of one group by the levels in their fillings.

    Levels never fall within an organisation, so the sort merges the
    organisations as a heap of their first tasks would.
    """
    levels = []
    for task, filling in zip(tasks, fillings, strict=True):
        levels.append(filling.level)
        if filling.counted < MAX_COUNTED_TASKS and (
            filling.largest_free is None or may_fit(task.step, filling.largest_free)
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
    """Use and level of one organisation in a pool while a group is ordered.

    Args:
        pool: Executors that it shares.
        name: Its name.
        weight: Its weight; below ``MIN_WEIGHT`` it comes after all others.
    """

    __slots__ = (
        "_accelerators",
        "_cpu",
        "_factors",
        "_memory",
        "counted",
        "largest_free",
        "level",
    )

    def __init__(self, pool: Pool, name: str, weight: float) -> None:
        use = pool.use_by_organisation.get(name, amounts.ZERO)
        self._cpu, self._memory, self._accelerators = use
        has_weight = weight >= MIN_WEIGHT
        self._factors = tuple(
            1 / (each * weight) if each > 0 and has_weight else 0.0
            for each in pool.capacity
        )
        self.largest_free = pool.largest_free
        self.counted = 0
        self.level = math.inf
        if has_weight:
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
