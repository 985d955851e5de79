"""Log events of desk requests (500 to 599)."""

from limpetstream.telemetry import events

EXECUTOR_EJECTED = events.declare(
    500,
    "executor-ejected",
    "WARNING",
    "An executor failed or was far slower than the others and gets probes only.",
    "Check the executor and its worker; it returns after a successful probe.",
)
EXECUTOR_RETURNED = events.declare(
    501,
    "executor-returned",
    "INFO",
    "An ejected executor answered a probe; its slots are ramped up.",
    "Nothing.",
)
OUTCOME_NOT_RECORDED = events.declare(
    502,
    "desk-outcome-not-recorded",
    "WARNING",
    "The outcome of a non-idempotent request is not in the log yet.",
    "Check that the log is up; the account still gets the outcome.",
)
REQUEST_FAULT = events.declare(
    503,
    "desk-request-fault",
    "ERROR",
    "A desk request ended with an unexpected error.",
    "Report the error text; if it was sent, its outcome was reported as unknown.",
)
ANSWER_NOT_WHOLE = events.declare(
    504,
    "answer-not-whole",
    "WARNING",
    "The answer of an executor does not have the announced length.",
    "Check the backend server; the answer was not passed to the caller.",
)
FOLLOW_FAULT = events.declare(
    506,
    "desk-follow-fault",
    "ERROR",
    "One refresh from the instance list, settings and rights failed.",
    "Report the error text; the refresh is repeated automatically.",
)
GROUP_ENTERED = events.declare(
    505,
    "executor-group-entered",
    "INFO",
    "This instance now holds a group; its slots count as used for max_run_s.",
    "Nothing.",
)
