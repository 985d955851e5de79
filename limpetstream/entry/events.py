"""Log events of the entry instance (1000 to 1099)."""

from limpetstream.telemetry import events

STARTING = events.declare(
    1000, "starting", "INFO", "The entry instance is starting.", "Nothing."
)
SERVING = events.declare(
    1001, "serving", "INFO", "The entry instance serves callers.", "Nothing."
)
LEAVING = events.declare(
    1002,
    "leaving",
    "INFO",
    "A planned stop has begun; requests in flight are finished first.",
    "Nothing; do not send a second SIGTERM, it would abort the stop.",
)
STOPPED = events.declare(
    1003, "stopped", "INFO", "The entry instance has stopped.", "Nothing."
)
STOP_CUT_SHORT = events.declare(
    1004,
    "stop-cut-short",
    "WARNING",
    "A second signal aborted the planned stop before it was complete.",
    "Look for unknown outcomes in the accounts of the callers concerned.",
)
LOG_STALE = events.declare(
    1005,
    "log-stale",
    "WARNING",
    "The view of the log is older than its maximum age.",
    "Check the platform's log; see 'The log is down' in docs/OPERATORS.md.",
)
LOG_FRESH = events.declare(
    1006, "log-fresh", "INFO", "The view of the log is fresh again.", "Nothing."
)
TASK_FAILED = events.declare(
    1007,
    "internal-task-failed",
    "ERROR",
    "An internal task failed with an unexpected error and is restarted.",
    "Report the error text; if the error repeats, replace the instance.",
)
START_FAILED = events.declare(
    1008,
    "start-failed",
    "ERROR",
    "The entry instance could not start.",
    "Check what the error text names: settings, ports or platform address.",
)
CERTIFICATE_LOADED = events.declare(
    1009, "certificate-loaded", "INFO", "A new certificate is in use.", "Nothing."
)
CERTIFICATE_REFUSED = events.declare(
    1010,
    "certificate-refused",
    "WARNING",
    "A changed certificate or key cannot be loaded; the old one stays in use.",
    "Check that the certificate and the key match and are complete.",
)
