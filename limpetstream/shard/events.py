"""Declares the log events of the shards (1500 to 1599)."""

from limpetstream.telemetry import events

JOURNAL_FAILING = events.declare(
    1500,
    "journal-failing",
    "WARNING",
    "Appends to the shard's journal are not confirmed; they are retried.",
    "Check the platform's store; ends of runs are not acknowledged meanwhile.",
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
    "This instance has claimed the shard and owns it under the given epoch.",
    "None.",
)
SHARD_RECOVERED = events.declare(
    1503,
    "shard-recovered",
    "INFO",
    "The shard's jobs are loaded; polling of its executors begins.",
    "None.",
)
SHARD_RELEASED = events.declare(
    1504,
    "shard-released",
    "INFO",
    "This instance no longer owns the shard.",
    "If it repeats without restarts, check whether the store's answers get lost.",
)
GROUP_UNREACHABLE = events.declare(
    1505,
    "group-unreachable",
    "WARNING",
    "The store does not confirm the membership in the owners' group.",
    "Check the platform's store; an owner continues until it is fenced.",
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
    "The group has changed the shards that are assigned to this instance.",
    "None.",
)
RESERVE_CHANGED = events.declare(
    1549,
    "reserve-changed",
    "INFO",
    "An instance of the reserve is needed to own shards, or no longer needed.",
    "None; if it repeats, check why the owners' group loses its members.",
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
    "A start of a task's run is being sent to an executor.",
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
    "A run has no reported end: its executor was replaced or its lease expired.",
    "Look for run-ordered of the same task; the task runs again.",
)
START_REFUSED = events.declare(
    1514,
    "start-refused",
    "WARNING",
    "An executor refused to start a run.",
    "See the reason; no-room means that the executor runs tasks unknown here.",
)
START_IN_DOUBT = events.declare(
    1515,
    "start-in-doubt",
    "WARNING",
    "A start had no answer; the run is stopped before the task runs again.",
    "None; check the executor if it repeats for the same one.",
)
STOP_ORDERED = events.declare(
    1516,
    "stop-ordered",
    "INFO",
    "A run is being stopped, for the given reason.",
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
    "An executor does not answer polls; it gets no new runs.",
    "Check the executor and the network path to it.",
)
EXECUTOR_REACHED = events.declare(
    1519,
    "executor-reached",
    "INFO",
    "An executor answers polls, for the first time or again.",
    "None.",
)
EXECUTOR_LAPSED = events.declare(
    1520,
    "executor-lapsed",
    "WARNING",
    "All leases on a silent executor have expired; its runs are lost.",
    "Check the executor.",
)
EXECUTOR_REPLACED = events.declare(
    1521,
    "executor-replaced",
    "INFO",
    "An executor restarted or was replaced; its earlier runs are gone.",
    "None.",
)
EXECUTOR_CHANGED = events.declare(
    1522,
    "executor-changed",
    "INFO",
    "An executor was added to the list, removed from it or changed its state.",
    "None.",
)
LIST_READ_FAILED = events.declare(
    1523,
    "list-read-failed",
    "WARNING",
    "A list in the store cannot be read; the last version read stays in use.",
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
    "An entry in the store cannot be used; it is ignored.",
    "Find out which program wrote it.",
)
PACE_CHANGED = events.declare(
    1526,
    "pace-changed",
    "INFO",
    "Best-effort runs are slowed or sped up for a serving task beside them.",
    "None.",
)
SUBMISSION_STORED = events.declare(
    1530,
    "submission-stored",
    "INFO",
    "A caller's job was stored durably and accepted.",
    "None.",
)
CALL_REFUSED = events.declare(
    1531,
    "call-refused",
    "INFO",
    "A caller's request was refused or could not be answered.",
    "See the reason.",
)
CANCEL_STORED = events.declare(
    1532,
    "cancel-stored",
    "INFO",
    "The cancellation of a job was stored durably.",
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
    "Serving the shard failed with an unexpected error; it is claimed again.",
    "Report it as a fault of the program.",
)
CLAIM_FAILED = events.declare(
    1509,
    "claim-failed",
    "WARNING",
    "A claim of a shard, or a step of it, failed; it is retried.",
    "Check the platform's store if it repeats.",
)
SHARD_LOCATED = events.declare(
    1527,
    "shard-located",
    "INFO",
    "Every run of the shard's earlier owners is known or its lease has expired.",
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
    "A planned stop begins: shards are released, and open requests finish.",
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
    "The settings file cannot be read; the last settings stay in use.",
    "Correct the file.",
)
LINES_DROPPED = events.declare(
    1546,
    "lines-dropped",
    "WARNING",
    "Log lines were dropped because standard output was not read fast enough.",
    "Read the process's standard output faster.",
)
PACE_FAILED = events.declare(
    1528,
    "pace-failed",
    "WARNING",
    "A change of a run's pace was not confirmed; the next change sends it again.",
    "Check the executor.",
)
ORDER_UNANSWERED = events.declare(
    1547,
    "order-unanswered",
    "WARNING",
    "A request to an executor had no answer; it is sent again.",
    "Check the executor and the network path to it if it repeats.",
)
FORGET_FAILED = events.declare(
    1548,
    "forget-failed",
    "WARNING",
    "Submissions of final jobs could not be dropped; a later try follows.",
    "Check the platform's store if it repeats.",
)
TASK_WAITS = events.declare(
    1550,
    "task-waits",
    "INFO",
    "A task is waiting for capacity; executors are counted by why they do not fit.",
    "See OPERATIONS.md; `processors` or `memory` at all of them: the service is full.",
)
OWNERSHIP_UNPROVEN = events.declare(
    1551,
    "ownership-unproven",
    "WARNING",
    "This instance cannot prove that it owns the shard; it changes nothing there.",
    "Check its network path to the platform's store and to the executors.",
)
OWNERSHIP_PROVEN = events.declare(
    1552,
    "ownership-proven",
    "INFO",
    "This instance has proven again that it owns the shard.",
    "None.",
)
START_WITHDRAWN = events.declare(
    1553,
    "start-withdrawn",
    "INFO",
    "A start that was decided is not sent; its task waits again.",
    "See the reason.",
)
EARLIER_PROOFS_ENDED = events.declare(
    1554,
    "earlier-proofs-ended",
    "INFO",
    "No earlier owner can prove any more that it owns the shard.",
    "If ended_by is time, find out why neither executors nor instances answered.",
)
PASSES_BOUNDED = events.declare(
    1555,
    "passes-bounded",
    "INFO",
    "Scheduling passes leave tasks over to the next ones; at most every 10 s.",
    "Compare `at_bound` with `passes`; if most are, the owner lacks processor time.",
)
OWNER_STATE = events.declare(
    1556,
    "owner-state",
    "INFO",
    "The state of a shard at its owner, each 5 s.",
    "See OPERATIONS.md; a `delay_ms` of seconds: the owner is overloaded.",
)
TASK_FORGOTTEN = events.declare(
    1557,
    "task-forgotten",
    "ERROR",
    "An open task had neither a run nor a place among the tasks that wait.",
    "Report it as a fault of the program, with the lines of this task before it.",
)
RUN_UNSETTLED = events.declare(
    1558,
    "run-unsettled",
    "INFO",
    "A run has been starting, being stopped or out of reach for long.",
    "See the reason in OPERATIONS.md; its task gets no other run meanwhile.",
)
SHARD_STALLED = events.declare(
    1559,
    "shard-stalled",
    "WARNING",
    "This instance leaves the group for 3 s, as it cannot serve its shard.",
    "Check the store's partition of the shard; see journal-failing before it.",
)
PROGRESS_TOO_LARGE = events.declare(
    1560,
    "progress-too-large",
    "ERROR",
    "The progress of a job does not fit into a record of the store; the job fails.",
    "Split the job: fewer open tasks, fewer attempts or shorter checkpoints.",
)
LINK_FULL = events.declare(
    1561,
    "link-full",
    "WARNING",
    "Calls to executors wait, as the link is full or all answers are late.",
    "See delay_ms, lag_ms and the line traffic; docs/OPERATIONS.md tells more.",
)
LINK_FREE = events.declare(
    1562,
    "link-free",
    "INFO",
    "Calls to executors no longer wait.",
    "None.",
)
PEER_JOB_NOT_STORED = events.declare(
    1563,
    "peer-job-not-stored",
    "INFO",
    "It is unknown whether a job that another instance has passed on was stored.",
    "See the attempt; call-refused of the job at the other instance has its outcome.",
)
CALLER_NOT_SERVED = events.declare(
    1564,
    "caller-not-served",
    "INFO",
    "Requests of callers are refused, as no configuration has been read yet.",
    "Check the platform's store if it lasts; see list-read-failed.",
)
OWNER_LATE = events.declare(
    1565,
    "owner-late",
    "WARNING",
    "The owner's event loop is late, so polls of executors are grouped.",
    "Give the instance more processor time; see owner-state and OPERATIONS.md.",
)
OWNER_IN_TIME = events.declare(
    1566,
    "owner-in-time",
    "INFO",
    "The owner's event loop is in time again.",
    "None.",
)
EARLIER_OWNERS_STOPPED = events.declare(
    1567,
    "earlier-owners-stopped",
    "INFO",
    "No earlier owner acts or answers any more, so cancels are taken.",
    "If it comes late, see previous_ended: whether the owner before told its end.",
)
RELEASE_NOT_STORED = events.declare(
    1568,
    "release-not-stored",
    "INFO",
    "The journal may not tell that this owner has released the shard.",
    "None; the next owner asks this instance, or waits for 2 s.",
)
CANCEL_CARRIED = events.declare(
    1569,
    "cancel-carried",
    "INFO",
    "A cancel whose caller was told that it is unknown was asked for once more.",
    "If it was not taken, no owner has answered for a minute: see owner-looked-up.",
)
LEASES_AWAITED = events.declare(
    1570,
    "leases-awaited",
    "INFO",
    "Executors have not replied yet, and earlier owners may have leased them.",
    "None; left_ms below 0 tells that the leases of the epoch lessor have expired.",
)
EXECUTOR_FENCED = events.declare(
    1571,
    "executor-fenced",
    "INFO",
    "A restarted executor has accepted a higher token: it rejects earlier calls.",
    "None; if it comes late, see journal-failing, as the token is recorded first.",
)
CANCELS_HANDED_OVER = events.declare(
    1572,
    "cancels-handed-over",
    "INFO",
    "Other instances ask for cancels as well whose outcome was told as unknown.",
    "None; cancel-carried at each of the members tells the end.",
)
LONG_RUNNING_LOCATED = events.declare(
    1573,
    "long-running-located",
    "INFO",
    "Only runs of tasks that are not long-running may still be unknown.",
    "None; shard-located follows once the longest leases have expired.",
)
ENDS_UNREAD = events.declare(
    1574,
    "ends-unread",
    "INFO",
    "The first answer of an executor lists as many ends as one answer may list.",
    "None; tasks that may have ended there wait for ends-read.",
)
ENDS_READ = events.declare(
    1575,
    "ends-read",
    "INFO",
    "An executor has listed all ends of runs by earlier owners.",
    "None; if it comes late, see journal-failing, as ends are stored first.",
)
