"""Leases of attempts, and the proof that an attempt has ended.

An attempt may run as long as a lease may be in force on its worker. The holder
of the right therefore records when it last sent anything that could extend a
lease. Answers do not count: an answer may be lost after the call took effect.
"""

import dataclasses
from typing import Any

from limpetstream import errors
from limpetstream.batch import messages, tasks

# Length of the lease that a renewal gives, and that a start gives.
TASK_LEASE_S = 8.0
RENEWAL_INTERVAL_S = 2.0
START_LEASE_S = 1.0
# Time for which a right is held after a renewal, as in ``membership``.
RIGHT_DURATION_S = 2.0
CLOCK_DRIFT_FACTOR = 1.02
"""The rates of any two clocks differ by at most 2%."""

MAX_LEASE_AGE_S = TASK_LEASE_S * CLOCK_DRIFT_FACTOR + START_LEASE_S + 1.0
"""Time since the last call after which no lease can be in force any more."""

TAKEOVER_S = (RIGHT_DURATION_S + START_LEASE_S) * CLOCK_DRIFT_FACTOR
"""Time after a takeover from which no start of the predecessor can arrive."""

MAX_CLOCK_AGE_S = 5.0
"""A worker's clock is read again when the last reading is older than this."""

CAPACITY_TIMEOUT_S = 8.0
"""A placed task whose victims have not ended by then is placed elsewhere."""

ANSWER_TIMEOUT_S = 2.5
"""A placed task whose worker is silent for this long is placed elsewhere."""

RUNNING_STATES = ("running", "throttled", "checkpointed")


def attempt_id(task_id: str, number: int) -> str:
    """Return the id under which workers know an attempt.

    >>> attempt_id("j1/0", 2)
    'j1/0#2'
    """
    return f"{task_id}#{number}"


def split_id(attempt: str) -> tuple[str, int]:
    """Return task id and attempt number; 0 if the id has another format.

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
        """Return when a lease ends, in milliseconds on the worker's clock.

        The worker read its clock before the answer was received, and its
        clock may be slower than this one. The result is therefore never later
        than ``bound_s`` after the worker's own time at ``now``.

        Args:
            now: Monotonic time in seconds.
            bound_s: Length of the lease in seconds.

        Raises:
            ViewStale: The clock reading is older than ``MAX_CLOCK_AGE_S``.
        """
        elapsed = now - self.received_at
        if elapsed > MAX_CLOCK_AGE_S:
            raise errors.ViewStale("the reading of the worker's clock is too old")
        return int(self.clock_ms + (elapsed / CLOCK_DRIFT_FACTOR + bound_s) * 1000)


@dataclasses.dataclass(slots=True)
class Lease:
    """What this holder has sent to the worker about one attempt.

    Times are in monotonic seconds.

    Args:
        attempt: Number of the attempt.
        placed_here: Whether this holder placed it under its current right;
            otherwise it was adopted from a predecessor.
        known_at: When this holder learned of it.
        sent_at: When a start or renewal was last sent; None for never.
        renewed_at: When a renewal was last answered.
        reported: Whether the worker has reported the attempt.
        share: Share of its processors that a throttle leaves it.
    """

    attempt: int
    placed_here: bool
    known_at: float
    sent_at: float | None = None
    renewed_at: float | None = None
    reported: bool = False
    share: float = 1.0

    def may_run(self) -> bool:
        """Return whether the worker may have received a start for it."""
        return not self.placed_here or self.sent_at is not None

    def last_sent_at(self) -> float:
        """Return the latest time at which a lease may have been sent."""
        return self.known_at if self.sent_at is None else self.sent_at

    def all_leases_expired(self, now: float) -> bool:
        """Return whether every lease has expired, whatever the worker does.

        A predecessor's right ended before this holder's began, so its calls
        count from the time this holder learned of the attempt. The length of a
        right is added all the same, because a holder whose process is gone is
        succeeded at once, before its right would have expired.
        """
        extra = 0.0 if self.placed_here else RIGHT_DURATION_S * CLOCK_DRIFT_FACTOR
        return now - self.last_sent_at() >= MAX_LEASE_AGE_S + extra

    def absence_proves_end(self, asked_at: float) -> bool:
        """Return whether a status without the attempt proves its end.

        If the worker reported the attempt before, it has restarted since. If
        it never did, the start may still be on its way.

        Args:
            asked_at: When the status was requested.
        """
        if self.reported or not self.may_run():
            return True
        limit = START_LEASE_S * CLOCK_DRIFT_FACTOR if self.placed_here else TAKEOVER_S
        return asked_at - self.last_sent_at() > limit

    def needs_renewal(self, now: float) -> bool:
        """Return whether a renewal is due."""
        return self.sent_at is None or now - self.sent_at >= RENEWAL_INTERVAL_S


def make_end(
    task: tasks.Task, outcome: str, *, checkpoint: str = "", reason: str = ""
) -> messages.End:
    """Return the end of a task's current attempt."""
    return messages.End(task.id, task.attempt, outcome, checkpoint, reason)


def end_from_report(
    task: tasks.Task, report: Any, *, stop_outcome: str = "evicted"
) -> messages.End | None:
    """Return the end that a worker's own report proves, or None.

    Args:
        task: A placed task.
        report: The worker's report on its current attempt.
        stop_outcome: Outcome of a stopped attempt: ``evicted`` or
            ``cancelled``.
    """
    outcome = {
        "finished": "finished",
        "failed": "failed",
        "lapsed": "lapsed",
        "stopped": stop_outcome,
    }.get(report.state)
    if outcome is None:
        # The attempt runs, or the worker does not know it. Only a status poll
        # can prove an end in the latter case.
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
    """Return the end that a status without the attempt proves, or None.

    An attempt that this holder never sent is not lost: it waits for its start.
    An attempt that was sent may have run before the worker restarted, so it is
    lost and never counts as not started.

    Args:
        task: A placed task.
        lease: What was sent about its current attempt.
        asked_at: When the status was requested, in monotonic seconds.
    """
    if not lease.may_run() or not lease.absence_proves_end(asked_at):
        return None
    return make_end(task, "lost", reason="the worker no longer knows the attempt")


def end_from_silence(task: tasks.Task, lease: Lease, now: float) -> messages.End | None:
    """Return the end that the expiry of all leases proves, or None."""
    if not lease.may_run() or not lease.all_leases_expired(now):
        return None
    return make_end(
        task, "lost", reason="the worker is unreachable; its leases expired"
    )


def is_orphan(reported: str, task_by_id: dict[str, tasks.Task], worker: str) -> bool:
    """Return whether a reported attempt is not what the log placed there."""
    task_id, number = split_id(reported)
    task = task_by_id.get(task_id)
    if task is None or task.state != "placed":
        return True
    return task.attempt != number or task.worker != worker
