"""Log events of the platform's clients (1100 to 1199)."""

from limpetstream.telemetry import events

LIST_UNAVAILABLE = events.declare(
    1100,
    "instance-list-unavailable",
    "WARNING",
    "The platform's list of instances cannot be read.",
    "Check the platform; new sends stop when the list exceeds its maximum age.",
)
LIST_AVAILABLE = events.declare(
    1101,
    "instance-list-available",
    "INFO",
    "The platform's list of instances can be read again.",
    "None.",
)
UNEXPECTED_ANSWER = events.declare(
    1102,
    "platform-unexpected-answer",
    "ERROR",
    "The platform answered a call with an unexpected status or body.",
    "Compare the platform's version with docs/PLATFORM.md and report the detail.",
)
TRAFFIC = events.declare(
    1103,
    "traffic",
    "INFO",
    "Calls that this instance has sent, and their bytes, since the last such line.",
    "Compare them with the instance's link; see docs/OPERATIONS.md.",
)
CALL_CUT_OFF = events.declare(
    1104,
    "call-cut-off",
    "INFO",
    "An open connection broke under a call, which may have taken effect.",
    "None by itself; see call-refused of the job, and the metric of such calls.",
)
