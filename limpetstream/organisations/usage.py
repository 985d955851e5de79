"""Sums up the resources that runs of each organisation hold."""

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
        "_best_effort_by_organisation",
        "_held_by_organisation",
        "_long_running_by_organisation",
        "unseen_at",
        "unseen_by_organisation",
    )

    def __init__(self) -> None:
        # Lists that change in place: each start bears the cost.
        self._held_by_organisation: dict[str, list[int]] = {}
        self._long_running_by_organisation: dict[str, list[int]] = {}
        self._best_effort_by_organisation: dict[str, list[int]] = {}
        self.unseen_by_organisation: dict[str, amounts.Amount] = {}
        self.unseen_at = float("-inf")

    def change(self, task: state.Task, sign: int) -> None:
        """Add a run of a task, or remove it with a ``sign`` of -1."""
        name, step = task.job.submission.organisation, task.step
        _change(self._held_by_organisation, name, step, sign)
        if step.long_running:
            _change(self._long_running_by_organisation, name, step, sign)
        elif step.fills:
            _change(self._best_effort_by_organisation, name, step, sign)

    def of(self, organisation: str) -> amounts.Amount:
        """Return what the known runs of an organisation hold."""
        return _amount(self._held_by_organisation.get(organisation))

    def long_running_of(self, organisation: str) -> amounts.Amount:
        """Return what its known long-running runs hold."""
        return _amount(self._long_running_by_organisation.get(organisation))

    def lasting_of(self, organisation: str) -> amounts.Amount:
        """Return what its known runs hold that may last for minutes.

        These are the long-running ones, and best-effort ones, which may pause.
        """
        return amounts.add(
            self.long_running_of(organisation),
            _amount(self._best_effort_by_organisation.get(organisation)),
        )

    def short_of(self, organisation: str) -> amounts.Amount:
        """Return what its other known runs hold."""
        return amounts.subtract(
            self.of(organisation), self.long_running_of(organisation)
        )

    def long_running_in_all(self) -> amounts.Amount:
        """Return what the known long-running runs of all jobs hold."""
        total = amounts.ZERO
        for held in self._long_running_by_organisation.values():
            total = amounts.add(total, _amount(held))
        return total

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
    held_by_organisation: dict[str, list[int]],
    name: str,
    step: messages.Step,
    sign: int,
) -> None:
    held = held_by_organisation.get(name)
    if held is None:
        held = held_by_organisation[name] = [0, 0, 0]
    held[0] += sign * step.cpu_millicores
    held[1] += sign * step.memory_mb
    held[2] += sign * step.accelerators


def _amount(held: list[int] | None) -> amounts.Amount:
    return amounts.ZERO if held is None else (held[0], held[1], held[2])
