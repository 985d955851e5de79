"""Leases of attempts, and the proof that an attempt has ended.

An attempt may run as long as some lease may be in force on its worker. The
holder remembers when it last sent anything that could extend a lease; answers
do not count, since an answer may be lost after the action took effect.
"""

import dataclasses
from typing import Any

from limpetstream import errors
from limpetstream.batch import messages, tasks

TASK_LEASE_S = 8.0
RENEWAL_S = 2.0
START_BOUND_S = 1.0
RIGHT_S = 2.0
CLOCK_DRIFT_FACTOR = 1.02
"""Two clocks differ in rate by at most 2%."""

LAPSE_S = TASK_LEASE_S * CLOCK_DRIFT_FACTOR + START_BOUND_S + 1.0
"""Silence after which no lease that was ever sent can be in force."""

TAKEOVER_S = (RIGHT_S + START_BOUND_S) * CLOCK_DRIFT_FACTOR
"""Time after which nothing that a predecessor sent can still start."""

MAX_CLOCK_AGE_S = 5.0
"""A worker's clock is asked again when the last answer is older."""

ROOM_WAIT_S = 8.0
"""A placed task whose victims do not end in this time is placed anew."""

ANSWER_WAIT_S = 2.5
"""A placed task whose worker stays silent this long is placed anew."""

RUNNING_STATES = ("running", "throttled", "checkpointed")


def attempt_id(task_id: str, number: int) -> str:
    """Return the id that workers know an attempt by.

    >>> attempt_id("j1/0", 2)
    'j1/0#2'
    """
    return f"{task_id}#{number}"


def split_id(attempt: str) -> tuple[str, int]:
    """Return task id and number; number 0 if the id is not of this system.

    >>> split_id("j1/0#2")
    ('j1/0', 2)
    """
    task_id, _, number = attempt.rpartition("#")
    return (task_id, int(number)) if number.isdecimal() else (attempt, 0)


@dataclasses.dataclass(slots=True)
class WorkerClock:
    """A worker's own clock as of its last answer.

    Args:
        clock_ms: Reading that the answer carried.
        received_at: Monotonic time at which the answer was received.
    """

    clock_ms: float
    received_at: float

    def lease_until_ms(self, now: float, bound_s: float) -> int:
        """Return the end of a lease on the worker's clock.

        The worker read its clock before the answer was received and its
        clock may be slower than this one, so the result is never later than
        ``bound_s`` after the worker's time at ``now``.

        Raises:
            ViewStale: The last answer is too old.
        """
        elapsed = now - self.received_at
        if elapsed > MAX_CLOCK_AGE_S:
            raise errors.ViewStale("the worker's clock was read too long ago")
        return int(self.clock_ms + (elapsed / CLOCK_DRIFT_FACTOR + bound_s) * 1000)


@dataclasses.dataclass(slots=True)
class Lease:
    """What this holder has sent about one attempt.

    Args:
        attempt: Number of the attempt.
        own: Whether this holder placed it under its present right.
        known_at: When this holder learned of it, in monotonic seconds.
        sent_at: When a start or renewal was last sent; None for never.
        renewed_at: When a renewal was last answered.
        seen: Whether the worker has reported the attempt.
        share: Share of its processors that a throttle left it.
    """

    attempt: int
    placed_here: bool
    known_at: float
    sent_at: float | None = None
    renewed_at: float | None = None
    reported: bool = False
    share: float = 1.0

    def may_run(self) -> bool:
        """Tell whether the worker may have been told to start it."""
        return not self.placed_here or self.sent_at is not None

    def last_sent_at(self) -> float:
        """Return when a lease was last sent by this holder or before it."""
        return self.known_at if self.sent_at is None else self.sent_at

    def proven_lapsed(self, now: float) -> bool:
        """Tell whether every lease has run out, reachable or not.

        A predecessor's right ended before this holder's began, so what it
        sent counts from then; the length of its right is added all the same,
        because a holder whose process is gone is succeeded at once.
        """
        extra = 0.0 if self.placed_here else RIGHT_S * CLOCK_DRIFT_FACTOR
        return now - self.last_sent_at() >= LAPSE_S + extra

    def absence_proves_end(self, asked_at: float) -> bool:
        """Tell whether an answer without the attempt proves its end.

        An attempt that was seen before has been forgotten by a restart. One
        that was not seen may be a start that is still on its way.

        Args:
            asked_at: When the question was sent.
        """
        if self.reported or not self.may_run():
            return True
        bound = START_BOUND_S * CLOCK_DRIFT_FACTOR if self.placed_here else TAKEOVER_S
        return asked_at - self.last_sent_at() > bound

    def renewal_due(self, now: float) -> bool:
        """Tell whether a renewal should go out."""
        return self.sent_at is None or now - self.sent_at >= RENEWAL_S


def make_end(
    task: tasks.Task, outcome: str, *, checkpoint: str = "", reason: str = ""
) -> messages.End:
    """Return the end of a task's present attempt."""
    return messages.End(task.id, task.attempt, outcome, checkpoint, reason)


def end_from_report(
    task: tasks.Task, report: Any, *, stop_outcome: str = "evicted"
) -> messages.End | None:
    """Return the end that a worker's own report proves, or None.

    Args:
        task: A placed task.
        report: The worker's report on its present attempt.
        stop_outcome: What a stop means: ``evicted`` or ``cancelled``.
    """
    outcome = {
        "finished": "finished",
        "failed": "failed",
        "lapsed": "lapsed",
        "stopped": stop_outcome,
    }.get(report.state)
    if outcome is None:
        # It runs, or the worker does not know it; the latter needs a poll.
        return None
    return make_end(
        task,
        outcome,
        checkpoint=report.checkpoint or "",
        reason=report.reason or "",
    )


def end_from_absence(
    task: tasks.Task, lease: Lease, asked_at: float
) -> messages.End | None:
    """Return the end that an answer without the attempt proves, or None.

    An attempt of this holder that was never sent is not lost: it waits for
    its start. One that was sent may have run on a worker that has restarted
    since, so it is lost and never reported as not started.
    """
    if not lease.may_run() or not lease.absence_proves_end(asked_at):
        return None
    return make_end(task, "lost", reason="the worker no longer knows the attempt")


def end_from_silence(task: tasks.Task, lease: Lease, now: float) -> messages.End | None:
    """Return the end that silence proves, or None."""
    if not lease.may_run() or not lease.proven_lapsed(now):
        return None
    return make_end(task, "lost", reason="the worker is unreachable; leases ran out")


def is_orphan(reported: str, task_by_id: dict[str, tasks.Task], worker: str) -> bool:
    """Tell whether a reported attempt is not what the log placed there."""
    task_id, number = split_id(reported)
    task = task_by_id.get(task_id)
    if task is None or task.state != "placed":
        return True
    return task.attempt != number or task.worker != worker
