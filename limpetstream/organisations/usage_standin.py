"""Counts usage from the runs of a shard until the shard keeps it itself."""

from typing import Protocol

from limpetstream import amounts
from limpetstream.shard import state


class Usage(Protocol):
    """What the runs of organisations use."""

    def of(self, organisation: str) -> amounts.Amount:
        """Return what all runs of an organisation use."""

    def short_of(self, organisation: str) -> amounts.Amount:
        """Return the same without long-running runs."""


class CountedUsage:
    """Usage at one moment, summed over the runs on all executors.

    Args:
        shard: Shard whose runs are counted.
    """

    __slots__ = ("_all_by_name", "_short_by_name")

    def __init__(self, shard: state.Shard) -> None:
        self._all_by_name: dict[str, amounts.Amount] = {}
        self._short_by_name: dict[str, amounts.Amount] = {}
        for executor in shard.executor_by_id.values():
            for run in executor.run_by_task.values():
                step = run.task.step
                name = run.task.job.submission.organisation
                need = (step.cpu_millicores, step.memory_mb, step.accelerators)
                _add(self._all_by_name, name, need)
                if not step.long_running:
                    _add(self._short_by_name, name, need)

    def of(self, organisation: str) -> amounts.Amount:
        """Return what all runs of an organisation use."""
        return self._all_by_name.get(organisation, amounts.ZERO)

    def short_of(self, organisation: str) -> amounts.Amount:
        """Return the same without long-running runs."""
        return self._short_by_name.get(organisation, amounts.ZERO)


def usage_of(shard: state.Shard) -> Usage:
    """Return the usage that a shard keeps, or else one that is counted."""
    kept: Usage | None = getattr(shard, "usage", None)
    return CountedUsage(shard) if kept is None else kept


def _add(
    amount_by_name: dict[str, amounts.Amount], name: str, need: amounts.Amount
) -> None:
    amount_by_name[name] = amounts.add(amount_by_name.get(name, amounts.ZERO), need)
