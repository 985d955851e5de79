"""Finds runs that go on after their job was cancelled.

Source: the users' rule UNASKED. A cancel counts from its acknowledgement, or
once it has waited for one for 4 s while nothing has disturbed the store or a
link. The runs of the job have to be gone after a stretch of 3 s and the
longest stop in which nothing was disturbed. Only cancels, executors that join
or leave in order, closed data centres and changes of the configuration count
as no disturbance. A stretch begins 3 s after the last disturbance, and for a
start that was carried out late not before that start.
"""

import math
from collections.abc import Iterable

from standins import step_executors

ACKNOWLEDGEMENT_S = 4.0
STABLE_S = 3.0  # From the end of a disturbance until bounds of time hold.
GONE_S = 3.0


class CancelledRuns:
    """Watches the runs of cancelled jobs on the executors of one cluster.

    Args:
        breaches: What the executors have seen, and the cancels; violations are
            recorded there.
        max_stop_s: Longest time that the stop of a run takes, in seconds.
    """

    def __init__(self, breaches: step_executors.Breaches, *, max_stop_s: float) -> None:
        self._breaches = breaches
        self._max_stop_s = max_stop_s
        self._reported: set[tuple[str, int]] = set()

    def look(
        self,
        executors: Iterable[step_executors.Executor],
        now: float,
        *,
        undisturbed_since: float,
        steady_since: float,
    ) -> None:
        """Check all runs; has to be called several times a second.

        Args:
            executors: Executors that are up, advanced to the present.
            now: Time of the loop, in seconds.
            undisturbed_since: Time since which nothing is disturbed; infinity
                while something is.
            steady_since: The same for the store and the links only.
        """
        self._note_due_cancels(now, steady_since + STABLE_S)
        calm_since = undisturbed_since + STABLE_S
        for executor in executors:
            for task, run in executor.run_by_task.items():
                cancelled_at = self._breaches.cancelled_at.get(task.partition(".")[0])
                if cancelled_at is None:
                    continue
                late_start_at = run.started_at if run.is_late else -math.inf
                since = max(cancelled_at, calm_since, late_start_at)
                if now - since > GONE_S + self._max_stop_s:
                    self._report(executor, task, run, now - cancelled_at)

    def _note_due_cancels(self, now: float, steady_since: float) -> None:
        """Let cancels count that have waited too long for their answer."""
        for job_id, asked_at in self._breaches.cancel_asked_at.items():
            due_at = max(asked_at, steady_since) + ACKNOWLEDGEMENT_S
            if job_id not in self._breaches.cancelled_at and now >= due_at:
                self._breaches.cancelled_at[job_id] = due_at

    def _report(
        self,
        executor: step_executors.Executor,
        task: str,
        run: step_executors.Run,
        cancelled_s_ago: float,
    ) -> None:
        if (task, run.number) in self._reported:
            return
        self._reported.add((task, run.number))
        self._breaches.record(
            f"UNASKED: {task} run {run.number} goes on on "
            f"{executor.listing.executor_id}, and its job was cancelled "
            f"{cancelled_s_ago:.1f} s ago"
        )
