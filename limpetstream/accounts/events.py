"""Log events of accounts (700 to 799)."""

from limpetstream.telemetry import events

RECORD_UNREADABLE = events.declare(
    700,
    "account-record-unreadable",
    "ERROR",
    "A record of the accounts stream is damaged or has a newer version.",
    "Compare the versions of the instances; pages may hold the same entries.",
)
LOG_UNRESPONSIVE = events.declare(
    701,
    "account-log-silent",
    "WARNING",
    "An append of account entries failed; they are kept and copied to a peer.",
    "Check the platform's log; appends are retried until it answers.",
)
LOG_RECOVERED = events.declare(
    702,
    "account-log-back",
    "INFO",
    "Appends of account entries succeed again.",
    "None.",
)
WITNESS_FAILED = events.declare(
    703,
    "account-witness-failed",
    "WARNING",
    "No other member accepted a copy of account entries.",
    "Check the links between entry instances; requests are refused meanwhile.",
)
COMPACTED = events.declare(
    704,
    "account-carried",
    "INFO",
    "Account entries were compacted into pages.",
    "None; the fields give the number of pages and entries.",
)
COMPACTION_FAILED = events.declare(
    705,
    "account-carry-failed",
    "WARNING",
    "A compaction of account entries failed; another instance will retry it.",
    "Check the log; entries are lost only if this lasts for half its retention.",
)
ENTRIES_EXPIRED = events.declare(
    706,
    "account-gap",
    "ERROR",
    "Account entries expired in the log before they were compacted.",
    "Exports now report a gap; compare the log's retention with the settings.",
)
