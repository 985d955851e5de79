"""Log events of the records package (100-199)."""

from limpetstream.telemetry import events

RECORD_SKIPPED = events.declare(
    100,
    "record-skipped",
    "WARNING",
    "A record in the log could not be decoded and was skipped.",
    "If its version is newer, finish the rollout; otherwise look for its writer.",
)
LOG_READ_FAILED = events.declare(
    101,
    "log-read-failed",
    "WARNING",
    "The log cannot be read; the view becomes stale.",
    "Check the platform's log service; desk requests are served under promises.",
)
LOG_READ_RESTORED = events.declare(
    102,
    "log-read-restored",
    "INFO",
    "The log can be read again.",
    "None.",
)
OFFSET_EXPIRED = events.declare(
    103,
    "offset-expired",
    "WARNING",
    "The next offset to read has expired; the view is loaded from a snapshot.",
    "If it repeats, the retention time of the log is too short.",
)
APPEND_FAILED = events.declare(
    104,
    "append-failed",
    "WARNING",
    "An append was not confirmed; the same frame is sent again.",
    "Check the platform's log service.",
)
PENDING_FULL = events.declare(
    105,
    "pending-full",
    "ERROR",
    "The limit of pending records is reached; new records are refused.",
    "Check the platform's log service; callers are refused until it is back.",
)
APPLIER_FAILED = events.declare(
    106,
    "applier-failed",
    "ERROR",
    "A valid record could not be applied and counts as void.",
    "Report it as a fault of the program, with the offset of the record.",
)
