"""Sums up the resources that runs of each organisation hold."""

from collections.abc import Iterable

from limpetstream import amounts
from limpetstream.workflow import messages, state

# Kinds of runs, by the index of their amounts.
SHORT, LONG_RUNNING, BEST_EFFORT = 0, 3, 6


class Usage:
    """Resources of the runs of each organisation, changed with each run.

    A run counts from before its start is requested until its end is known.
    Jobs without an organisation count under an empty name. What earlier owners
    may have running unseen is kept apart; ``unseen_at`` is the monotonic time
    at which that was computed.
    """

    __slots__ = (
        "_held_by_service",
        "_held_by_organisation",
        "unseen_at",
        "unseen_by_organisation",
    )

    def __init__(self) -> None:
        # Lists that change in place, as each start bears the cost. They hold
        # an amount for each kind of run, from the index of the kind on.
        self._held_by_service: dict[str, dict[str, list[int]]] = {}
        self._held_by_organisation: dict[str, list[list[int]]] = {}
        self.unseen_by_organisation: dict[str, amounts.Amount] = {}
        self.unseen_at = float("-inf")

    def change(self, task: state.Task, sign: int) -> None:
        """Add a run of a task, or remove it with a ``sign`` of -1."""
        submission, step = task.job.submission, task.step
        held_by_name = self._held_by_service.get(submission.service)
        held = held_by_name and held_by_name.get(submission.organisation)
        if not held:
            held = self._add_list(submission)
        kind = SHORT
        if step.long_running:
            kind = LONG_RUNNING
        elif step.fills:
            kind = BEST_EFFORT
        held[kind] += sign * step.cpu_millicores
        held[kind + 1] += sign * step.memory_mb
        held[kind + 2] += sign * step.accelerators

    def _add_list(self, submission: messages.Submission) -> list[int]:
        name = submission.organisation
        held = [0] * (BEST_EFFORT + 3)
        self._held_by_service.setdefault(submission.service, {})[name] = held
        self._held_by_organisation.setdefault(name, []).append(held)
        return held

    def of(self, organisation: str) -> amounts.Amount:
        """Return what the known runs of an organisation hold."""
        return self._sum(organisation, SHORT, LONG_RUNNING, BEST_EFFORT)

    def long_running_of(self, organisation: str) -> amounts.Amount:
        """Return what its known long-running runs hold."""
        return self._sum(organisation, LONG_RUNNING)

    def lasting_of(self, organisation: str) -> amounts.Amount:
        """Return what its known runs hold that may last for minutes.

        These are the long-running ones, and best-effort ones, which may pause.
        """
        return self._sum(organisation, LONG_RUNNING, BEST_EFFORT)

    def short_of(self, organisation: str) -> amounts.Amount:
        """Return what its known runs hold that are not long-running."""
        return self._sum(organisation, SHORT, BEST_EFFORT)

    def short_by_organisation(self, service: str) -> dict[str, amounts.Amount]:
        """Return what the runs hold that are not long-running in a service.

        The service is the one that the job was submitted to.
        """
        return {
            name: _add_kinds([held], (SHORT, BEST_EFFORT))
            for name, held in self._held_by_service.get(service, {}).items()
        }

    def long_running_in(self, service: str) -> amounts.Amount:
        """Return what the known long-running runs in a service hold."""
        held_by_name = self._held_by_service.get(service, {})
        return _add_kinds(held_by_name.values(), (LONG_RUNNING,))

    def _sum(self, organisation: str, *kinds: int) -> amounts.Amount:
        return _add_kinds(self._held_by_organisation.get(organisation, ()), kinds)

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


def _add_kinds(lists: Iterable[list[int]], kinds: tuple[int, ...]) -> amounts.Amount:
    """Return the sum of the amounts of some kinds of runs in several lists."""
    total = amounts.ZERO
    for held in lists:
        for kind in kinds:
            total = amounts.add(total, (held[kind], held[kind + 1], held[kind + 2]))
    return total
