"""Sizes of the jobs that callers submit, and the room that these need."""

from soak import _executors

MILLICORES = (500, 1000, 2000, _executors.MAX_TASK_MILLICORES)  # Of one task.
LONG_RUNNING_SHARE = 0.1  # Share of all jobs.
MAX_LONG_RUNNING_COUNT = 3  # Tasks of a lasting job.
MAX_COUNT = 6  # Tasks of one step of another job.
MAX_STEPS = 3
MIN_S, MAX_S = 0.1, 1.5  # Duration of such a task.


def mean_work() -> float:
    """Return the mean millicore-seconds of a job that does not last."""
    millicores = sum(MILLICORES) / len(MILLICORES)
    tasks = (1 + MAX_COUNT) / 2 * (1 + MAX_STEPS) / 2
    return millicores * tasks * (MIN_S + MAX_S) / 2


def max_lasting_millicores(capacity: int, *, per_s: float) -> int:
    """Return how much all lasting tasks together may reserve.

    They leave what the other jobs use on average, so that the work that was
    held back during the faults can be done in as much time as they take.

    Args:
        capacity: Millicores of the executors that there are at the end.
        per_s: Mean rate of the jobs.
    """
    return capacity - int(per_s * (1 - LONG_RUNNING_SHARE) * mean_work())
