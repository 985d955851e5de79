"""Log events of batch scheduling (600 to 699)."""

from limpetstream.telemetry import events

DUTY_STARTED = events.declare(
    600,
    "batch-duty-started",
    "INFO",
    "This instance now schedules the workers of a data centre.",
    "None; attempts that run there are adopted.",
)
DUTY_ENDED = events.declare(
    601,
    "batch-duty-ended",
    "INFO",
    "This instance no longer schedules the workers of a data centre.",
    "None, unless it repeats; then check the log and this instance's load.",
)
DUTY_FAILED = events.declare(
    602,
    "batch-duty-failed",
    "ERROR",
    "A data centre scheduler or a periodic step failed; it is started again.",
    "Report the error text.",
)
WORKER_SILENT = events.declare(
    603,
    "worker-silent",
    "WARNING",
    "A worker does not answer; its attempts end when all leases have expired.",
    "Check the worker and the links to its data centre.",
)
ATTEMPT_LOST = events.declare(
    604,
    "attempt-lost",
    "WARNING",
    "An attempt ended without a report; the task resumes from its checkpoint.",
    "None, unless it repeats on one worker.",
)
ORPHAN_STOPPED = events.declare(
    605,
    "orphan-stopped",
    "WARNING",
    "A worker ran an attempt that the log does not place there; it was stopped.",
    "Report it together with the history of the task.",
)
WORKER_QUARANTINED = events.declare(
    606,
    "worker-quarantined",
    "WARNING",
    "Tasks of several jobs failed on a worker; it gets no more until it is probed.",
    "Check the worker; it is probed automatically.",
)
JOB_FAILED = events.declare(
    607,
    "job-failed",
    "WARNING",
    "A job was failed because its tasks fail on several workers.",
    "Tell the caller; the account names the reason.",
)
TASK_EVICTED = events.declare(
    608,
    "task-evicted",
    "INFO",
    "A task is evicted; it is checkpointed first and resumes elsewhere.",
    "None.",
)
PREEMPTED = events.declare(
    609,
    "tasks-preempted",
    "INFO",
    "Tasks are evicted in favour of a task with a higher claim.",
    "None; if it is frequent, check quotas and the share of urgent work.",
)
STANDING_REFUSED = events.declare(
    610,
    "standing-work-refused",
    "WARNING",
    "A watcher or job of the settings tree can never run.",
    "Correct the node in the settings; the reasons name each constraint.",
)
LOG_UNAVAILABLE = events.declare(
    611,
    "batch-append-unconfirmed",
    "WARNING",
    "The log did not confirm a batch record in time; nothing starts until it does.",
    "Check the log service.",
)
USAGE_UNAVAILABLE = events.declare(
    612,
    "usage-unavailable",
    "WARNING",
    "The platform's usage figures could not be read.",
    "Check the platform; throttles stay as they are until samples arrive.",
)
CHECKPOINT_NOT_RECORDED = events.declare(
    613,
    "checkpoint-not-recorded",
    "WARNING",
    "Names of checkpoints are too long for a record; older checkpoints count.",
    "Find out why the worker gives names of more than 1,000 characters.",
)
