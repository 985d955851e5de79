"""Computes what the runs of each organisation use."""

from collections.abc import Mapping

from limpetstream import amounts
from limpetstream.executors import tracking


class Usage:
    """Use of each organisation, summed again after runs were added or removed.

    Args:
        executor_by_id: Executors whose runs count.
    """

    __slots__ = ("_executor_by_id", "_run_changes", "_short_by_name")

    def __init__(self, executor_by_id: Mapping[str, tracking.Executor]) -> None:
        self._executor_by_id = executor_by_id
        self._run_changes = -1
        self._short_by_name: dict[str, amounts.Amount] = {}

    def short_of(self, organisation: str) -> amounts.Amount:
        """Return the use of an organisation without long-running runs."""
        executors = self._executor_by_id.values()
        run_changes = sum(executor.run_changes for executor in executors)
        if run_changes != self._run_changes:
            self._run_changes = run_changes
            self._short_by_name = {}
            for executor in executors:
                self._add_runs(executor)
        return self._short_by_name.get(organisation, amounts.ZERO)

    def _add_runs(self, executor: tracking.Executor) -> None:
        for run in executor.run_by_task.values():
            step, name = run.task.step, run.task.job.submission.organisation
            if not step.long_running:
                need = (step.cpu_millicores, step.memory_mb, step.accelerators)
                self._short_by_name[name] = amounts.add(
                    self._short_by_name.get(name, amounts.ZERO), need
                )
