"""Chooses which task has the first use of its organisation's room.

Without this, small tasks would use up whatever room becomes free under a
limit, and a larger task, or a long-running one that was stopped for others,
might never start again.
"""

import dataclasses

from limpetstream import amounts
from limpetstream.workflow import state

# Short tasks run for up to 3 s, so room for most tasks becomes free sooner.
CLAIM_AFTER_S = 5.0
# Once there is room, for the search of an executor and the stop of other runs.
CLAIM_S = 2.0


@dataclasses.dataclass(slots=True)
class Claim:
    """First use of the room of one organisation.

    Args:
        task: Task that has it.
        need: What the task needs, with its gang.
        held_at: Monotonic time at which there was last no room for it, or from
            which it waits.
    """

    task: state.Task
    need: amounts.Amount
    held_at: float


class Claims:
    """The claims of all organisations, by their names.

    It also holds the waiting tasks of each for which runs are being stopped,
    with the monotonic time until which they may wait for the ends.
    """

    __slots__ = ("_awaited_until_by_organisation", "_by_organisation")

    def __init__(self) -> None:
        self._by_organisation: dict[str, Claim] = {}
        self._awaited_until_by_organisation: dict[str, dict[state.Task, float]] = {}

    def __len__(self) -> int:
        return len(self._by_organisation)

    def drop_ended(self, now: float) -> None:
        """Drop claims of tasks that have a run, or no use for their room."""
        for name, claim in list(self._by_organisation.items()):
            task = claim.task
            if not _is_waiting(task) or now - claim.held_at > CLAIM_S:
                del self._by_organisation[name]
        for name, until_by_task in list(self._awaited_until_by_organisation.items()):
            for task, until in list(until_by_task.items()):
                if not _is_waiting(task) or now > until:
                    del until_by_task[task]
            if not until_by_task:
                del self._awaited_until_by_organisation[name]

    def note_preemption(self, task: state.Task, until: float) -> None:
        """Note that runs are being stopped for a waiting task."""
        name = task.job.submission.organisation
        self._awaited_until_by_organisation.setdefault(name, {})[task] = until

    def preempting_tasks(self, organisation: str) -> list[state.Task]:
        """Return the waiting tasks for which runs are being stopped."""
        until_by_task = self._awaited_until_by_organisation.get(organisation, {})
        return [task for task in until_by_task if _is_waiting(task)]

    def request(self, task: state.Task, need: amounts.Amount, held_at: float) -> None:
        """Give a task the claim of its organisation, unless another is first.

        Args:
            task: Task that may have a claim.
            need: What the task needs, with its gang.
            held_at: Monotonic time at which there was last no room for it, or
                from which it waits.
        """
        name = task.job.submission.organisation
        if self.is_first(task):
            self._by_organisation[name] = Claim(task, need, held_at)

    def is_first(self, task: state.Task) -> bool:
        """Return whether a task has the claim, or comes before its holder."""
        claim = self._by_organisation.get(task.job.submission.organisation)
        if claim is None or claim.task is task:
            return True
        return _rank(task) < _rank(claim.task)

    def kept_from(self, task: state.Task) -> amounts.Amount:
        """Return how much of its organisation's room a task must leave.

        Of a gang one member has the claim, and it starts the others.
        """
        claim = self._by_organisation.get(task.job.submission.organisation)
        if claim is None or claim.task is task or not _is_waiting(claim.task):
            return amounts.ZERO
        return claim.need


def _is_waiting(task: state.Task) -> bool:
    return task.run is None and not task.done and not task.job.outcome


def may_claim(task: state.Task, now: float) -> bool:
    """Return whether a held-back task comes first.

    That is a long-running one, or one that has waited for long.
    """
    return task.step.long_running or now - task.ready_at > CLAIM_AFTER_S


def may_claim_with_room(task: state.Task, now: float) -> bool:
    """Return whether a task keeps the room that there is for it.

    Runs may have to be stopped before a long-running task finds an executor,
    while short tasks find one at once and would use up its room. The time
    counts from its last run, however often others have held it back.
    """
    step = task.step
    return step.long_running and not step.fills and now - task.ready_at <= CLAIM_S


def _rank(task: state.Task) -> tuple[bool, float]:
    return not task.step.long_running, task.ready_at
