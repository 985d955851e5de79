"""Log events of the shards (1500 to 1599)."""

from limpetstream.telemetry import events

JOURNAL_FAILING = events.declare(
    1500,
    "journal-failing",
    "WARNING",
    "Appends to the shard's journal are not confirmed; they are repeated.",
    "Check the platform's store; ends are not acknowledged meanwhile.",
)
JOURNAL_RESTORED = events.declare(
    1501,
    "journal-restored",
    "INFO",
    "Appends to the shard's journal are confirmed again.",
    "None.",
)
SHARD_CLAIMED = events.declare(
    1502,
    "shard-claimed",
    "INFO",
    "This instance now owns the shard, under the given epoch.",
    "None.",
)
SHARD_RECOVERED = events.declare(
    1503,
    "shard-recovered",
    "INFO",
    "The shard's jobs are loaded; its executors are being taken over.",
    "None.",
)
SHARD_RELEASED = events.declare(
    1504,
    "shard-released",
    "INFO",
    "This instance no longer owns the shard.",
    "If it repeats without restarts, look for lost answers of the store.",
)
GROUP_UNREACHABLE = events.declare(
    1505,
    "group-unreachable",
    "WARNING",
    "The store does not confirm the membership in the owners' group.",
    "Check the platform's store; an owner goes on until it is fenced.",
)
GROUP_REACHED = events.declare(
    1506,
    "group-reached",
    "INFO",
    "The store confirms the membership in the owners' group again.",
    "None.",
)
SHARDS_ASSIGNED = events.declare(
    1507,
    "shards-assigned",
    "INFO",
    "The group has given other shards to this instance.",
    "None.",
)
RESERVE_CHANGED = events.declare(
    1549,
    "reserve-changed",
    "INFO",
    "An instance of the reserve is needed to own shards, or not any more.",
    "None; if it repeats, the owners' group loses its members.",
)
JOB_LOADED = events.declare(
    1510,
    "job-loaded",
    "INFO",
    "The owner has read a new job.",
    "None.",
)
RUN_ORDERED = events.declare(
    1511,
    "run-ordered",
    "INFO",
    "A run of a task is ordered on an executor.",
    "None.",
)
RUN_ENDED = events.declare(
    1512,
    "run-ended",
    "INFO",
    "An executor has listed the end of a run.",
    "None.",
)
RUN_LOST = events.declare(
    1513,
    "run-lost",
    "WARNING",
    "A run is gone without an end: its executor is another one or has lapsed.",
    "Look for run-ordered of the same task; the task runs again.",
)
START_REFUSED = events.declare(
    1514,
    "start-refused",
    "WARNING",
    "An executor did not start a run.",
    "Look at the reason; no-room means that something runs there unknown to us.",
)
START_IN_DOUBT = events.declare(
    1515,
    "start-in-doubt",
    "WARNING",
    "A start had no answer; the run is being stopped before another one.",
    "None, unless it repeats for one executor.",
)
STOP_ORDERED = events.declare(
    1516,
    "stop-ordered",
    "INFO",
    "A run is to be stopped, for the given reason.",
    "None.",
)
JOB_FINISHED = events.declare(
    1517,
    "job-finished",
    "INFO",
    "A job has reached its final state.",
    "None.",
)
EXECUTOR_SILENT = events.declare(
    1518,
    "executor-silent",
    "WARNING",
    "An executor does not answer; it gets nothing new.",
    "Check the executor and the path to it.",
)
EXECUTOR_REACHED = events.declare(
    1519,
    "executor-reached",
    "INFO",
    "An executor answers, for the first time or again.",
    "None.",
)
EXECUTOR_LAPSED = events.declare(
    1520,
    "executor-lapsed",
    "WARNING",
    "All leases on a silent executor have lapsed; its runs are lost.",
    "Check the executor.",
)
EXECUTOR_REPLACED = events.declare(
    1521,
    "executor-replaced",
    "INFO",
    "Another life of an executor has begun; nothing of the last one runs.",
    "None.",
)
EXECUTOR_CHANGED = events.declare(
    1522,
    "executor-changed",
    "INFO",
    "The list of executors names one that is new, gone or in another state.",
    "None.",
)
LIST_READ_FAILED = events.declare(
    1523,
    "list-read-failed",
    "WARNING",
    "A list in the store can not be read; the last one read stays in use.",
    "Check the platform's store.",
)
LIST_READ_RESTORED = events.declare(
    1524,
    "list-read-restored",
    "INFO",
    "A list in the store can be read again.",
    "None.",
)
ENTRY_UNREADABLE = events.declare(
    1525,
    "entry-unreadable",
    "WARNING",
    "An entry in the store is damaged or of another shape; it is ignored.",
    "Look for its writer.",
)
PACE_CHANGED = events.declare(
    1526,
    "pace-changed",
    "INFO",
    "A filling run is slowed down or sped up for a serving task beside it.",
    "None.",
)
SUBMISSION_STORED = events.declare(
    1530,
    "submission-stored",
    "INFO",
    "A caller's job is durable and was accepted.",
    "None.",
)
CALL_REFUSED = events.declare(
    1531,
    "call-refused",
    "INFO",
    "A caller's call was refused or could not be answered.",
    "Look at the reason.",
)
CANCEL_STORED = events.declare(
    1532,
    "cancel-stored",
    "INFO",
    "The cancelling of a job is durable.",
    "None.",
)
OWNER_LOOKED_UP = events.declare(
    1533,
    "owner-looked-up",
    "INFO",
    "The owners of the shards were looked up in the store.",
    "None.",
)
CONFIGURATION_IN_FORCE = events.declare(
    1534,
    "configuration-in-force",
    "INFO",
    "A new version of the configuration is in force at this instance.",
    "None.",
)
SHARD_FAILED = events.declare(
    1508,
    "shard-failed",
    "ERROR",
    "Serving the shard ended with an unexpected error; it is claimed again.",
    "Report it as a fault of the program.",
)
CLAIM_FAILED = events.declare(
    1509,
    "claim-failed",
    "WARNING",
    "A claim of a shard was not confirmed; it is tried again.",
    "Check the platform's store if it repeats.",
)
SHARD_LOCATED = events.declare(
    1527,
    "shard-located",
    "INFO",
    "Every run of earlier owners of the shard is known or has lapsed.",
    "None.",
)
DATA_CENTRES_CLOSED = events.declare(
    1535,
    "data-centres-closed",
    "INFO",
    "The set of data centres that get no new work has changed.",
    "None.",
)
PROCESS_STARTED = events.declare(
    1540, "process-started", "INFO", "The process has started.", "None."
)
PROCESS_LEAVING = events.declare(
    1541,
    "process-leaving",
    "INFO",
    "A planned stop begins: shards are handed over, requests finish.",
    "None.",
)
PROCESS_STOPPED = events.declare(
    1542, "process-stopped", "INFO", "The planned stop has finished.", "None."
)
SETTINGS_READ = events.declare(
    1543, "settings-read", "INFO", "The settings file was read again.", "None."
)
SETTINGS_UNREADABLE = events.declare(
    1544,
    "settings-unreadable",
    "ERROR",
    "The settings file can not be read; the last one read stays in use.",
    "Correct the file.",
)
PART_FAILED = events.declare(
    1545,
    "part-failed",
    "ERROR",
    "A part of the process ended unexpectedly; the process stops.",
    "Report it as a fault of the program.",
)
LINES_DROPPED = events.declare(
    1546,
    "lines-dropped",
    "WARNING",
    "Log lines were dropped because nobody reads them fast enough.",
    "Read the process's standard output faster.",
)
PACE_FAILED = events.declare(
    1528,
    "pace-failed",
    "WARNING",
    "A change of a run's pace was not confirmed; the next change repeats it.",
    "Check the executor.",
)
ORDER_UNANSWERED = events.declare(
    1547,
    "order-unanswered",
    "WARNING",
    "An order to an executor had no answer; it is sent again.",
    "Check the executor and the path to it if it repeats.",
)
FORGET_FAILED = events.declare(
    1548,
    "forget-failed",
    "WARNING",
    "Submissions of final jobs could not be dropped; the next round tries again.",
    "Check the platform's store if it repeats.",
)
TASK_WAITS = events.declare(
    1550,
    "task-waits",
    "INFO",
    "A task has waited for room; executors are counted by what keeps it away.",
    "See OPERATIONS.md; `processors` or `memory` at all of them: the service is full.",
)
