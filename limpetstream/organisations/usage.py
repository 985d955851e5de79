"""Sums up the resources that runs of each organisation hold."""

from collections.abc import Mapping

from limpetstream import amounts
from limpetstream.workflow import messages, state


class Usage:
    """Resources of the runs of each organisation, changed with each run.

    A run counts from before its start is requested until its end is known.
    Jobs without an organisation count under an empty name. What earlier owners
    may have running unseen is kept apart; ``unseen_at`` is the monotonic time
    at which that was computed.
    """

    __slots__ = (
        "_by_organisation",
        "_long_running_by_organisation",
        "_short_by_service",
        "unseen_at",
        "unseen_by_organisation",
    )

    def __init__(self) -> None:
        self._by_organisation: dict[str, amounts.Amount] = {}
        self._long_running_by_organisation: dict[str, amounts.Amount] = {}
        self._short_by_service: dict[str, dict[str, amounts.Amount]] = {}
        self.unseen_by_organisation: dict[str, amounts.Amount] = {}
        self.unseen_at = float("-inf")

    def change(self, task: state.Task, sign: int) -> None:
        """Add a run of a task, or remove it with a ``sign`` of -1."""
        name = task.job.submission.organisation
        _change(self._by_organisation, name, task.step, sign)
        if task.step.long_running:
            _change(self._long_running_by_organisation, name, task.step, sign)
        else:
            service = task.job.submission.service
            by_organisation = self._short_by_service.setdefault(service, {})
            _change(by_organisation, name, task.step, sign)

    def of(self, organisation: str) -> amounts.Amount:
        """Return what the known runs of an organisation hold."""
        return self._by_organisation.get(organisation, amounts.ZERO)

    def long_running_of(self, organisation: str) -> amounts.Amount:
        """Return what its known long-running runs hold."""
        return self._long_running_by_organisation.get(organisation, amounts.ZERO)

    def short_of(self, organisation: str) -> amounts.Amount:
        """Return what its other known runs hold."""
        return amounts.subtract(
            self.of(organisation), self.long_running_of(organisation)
        )

    def short_by_organisation(self, service: str) -> Mapping[str, amounts.Amount]:
        """Return what the runs hold that are not long-running in a service.

        The service is the one that the job was submitted to.
        """
        return self._short_by_service.get(service, {})

    def at_most(self, organisation: str) -> amounts.Amount:
        """Return an upper bound of what its runs hold, known or not."""
        unseen = self.unseen_by_organisation.get(organisation)
        known = self.of(organisation)
        return known if unseen is None else amounts.add(known, unseen)


def need_of(step: messages.Step) -> amounts.Amount:
    """Return what one task of a step needs."""
    return (step.cpu_millicores, step.memory_mb, step.accelerators)


def times(amount: amounts.Amount, count: int) -> amounts.Amount:
    """Return the sum of several equal amounts."""
    return (amount[0] * count, amount[1] * count, amount[2] * count)


def _change(
    by_organisation: dict[str, amounts.Amount],
    name: str,
    step: messages.Step,
    sign: int,
) -> None:
    cpu, memory, accelerators = by_organisation.get(name, amounts.ZERO)
    changed = (
        cpu + sign * step.cpu_millicores,
        memory + sign * step.memory_mb,
        accelerators + sign * step.accelerators,
    )
    if changed == amounts.ZERO:
        by_organisation.pop(name, None)
    else:
        by_organisation[name] = changed
