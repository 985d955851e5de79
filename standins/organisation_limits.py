"""Finds starts that bring an organisation over its limit.

What counts is what the executors really run. A start is judged by the highest
limit that may have been in force since it was decided on.
"""

import asyncio
import collections
import math
from collections.abc import Callable, Mapping

from limpetstream import amounts
from standins import step_executors

# Age of the oldest start that may be carried out now. It may be sent just
# before a configuration is replaced, and be carried out up to 12 s later. An
# owner that is cut off reads the next configuration up to 6 s late.
MAX_START_AGE_S = 20.0


class LimitCheck:
    """Checks each start on the executors of one cluster.

    Without any limits it does nothing. ``organisation_by_job`` holds the
    organisation of each job that has one, ``starts`` the number of starts of
    these jobs, and ``highest`` the most thousandths of a core that each
    organisation with a limit has had running.

    Args:
        breaches: What the executors run; violations are recorded there.
        need_of: Returns what a task needs, by its name.
    """

    def __init__(
        self,
        breaches: step_executors.Breaches,
        need_of: Callable[[str], amounts.Amount],
    ) -> None:
        self.organisation_by_job: dict[str, str] = {}
        self.starts = 0
        self.highest: dict[str, int] = {}
        self._breaches = breaches
        self._need_of = need_of
        self._decided_at_by_task: dict[str, list[float]] = collections.defaultdict(list)
        self._limits_since: list[tuple[float, Mapping[str, amounts.Amount]]] = []
        breaches.start_checks.append(self._check)

    def set_limits(self, limit_by_name: Mapping[str, amounts.Amount]) -> None:
        """Note the limits of a configuration that is acknowledged now.

        Args:
            limit_by_name: Limit by organisation; 0 for a resource without one.
        """
        now = asyncio.get_running_loop().time()
        self._limits_since.append((now, dict(limit_by_name)))

    def note_decision(self, task: str, decided_at: float) -> None:
        """Note when an owner has decided on a start.

        Without that, each start may be as old as the oldest one.

        Args:
            task: Name of the task.
            decided_at: Loop time.
        """
        self._decided_at_by_task[task].append(decided_at)

    def running(self, name: str) -> amounts.Amount:
        """Return what an organisation runs, whatever owners know."""
        total = amounts.ZERO
        for task, executor_ids in self._breaches.executors_by_task.items():
            if self.organisation_by_job.get(_job_of(task)) != name:
                continue
            for executor_id in executor_ids:
                if (task, executor_id) not in self._breaches.uncovered_starts:
                    total = amounts.add(total, self._need_of(task))
        return total

    def __str__(self) -> str:
        return f"{self.starts} starts under a limit, most: {self.highest}"

    def _check(self, task: str, executor_id: str) -> None:
        name = self.organisation_by_job.get(_job_of(task), "")
        limits = self._limits_in_force(name, self._oldest_decision(task))
        if not limits or (task, executor_id) in self._breaches.uncovered_starts:
            return
        self.starts += 1
        running = self.running(name)
        self.highest[name] = max(self.highest.get(name, 0), running[0])
        for resource, need in enumerate(self._need_of(task)):
            most = max(limit[resource] or math.inf for limit in limits)
            if need and running[resource] > most:
                self._breaches.record(
                    f"OVER LIMIT: {task} started on {executor_id}; {name} runs "
                    f"{running[resource]} of {most} of resource {resource}"
                )

    def _oldest_decision(self, task: str) -> float:
        """Return the earliest time at which this start can be decided on."""
        oldest = asyncio.get_running_loop().time() - MAX_START_AGE_S
        decided = self._decided_at_by_task.get(task, [])
        return min((at for at in decided if at >= oldest), default=oldest)

    def _limits_in_force(self, name: str, decided_at: float) -> list[amounts.Amount]:
        """Return the limits that were in force since; none if it has none."""
        limits = []
        for since, limit_by_name in reversed(self._limits_since):
            limits.append(limit_by_name.get(name, amounts.ZERO))
            if since <= decided_at:
                break
        return limits if any(map(any, limits)) else []


def _job_of(task: str) -> str:
    return task.partition(".")[0]
