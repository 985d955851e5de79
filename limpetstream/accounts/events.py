"""Log events of accounts (700 to 799)."""

from limpetstream.telemetry import events

RECORD_UNREADABLE = events.declare(
    700,
    "account-record-unreadable",
    "ERROR",
    "A record of the accounts stream is damaged or of a newer version.",
    "Compare versions of the instances; the same entries may exist in pages.",
)
LOG_UNRESPONSIVE = events.declare(
    701,
    "account-log-silent",
    "WARNING",
    "Account entries could not be appended; they are kept and copied to a peer.",
    "Check the platform's log; entries are appended when it answers again.",
)
LOG_RECOVERED = events.declare(
    702,
    "account-log-back",
    "INFO",
    "Account entries are appended again.",
    "None.",
)
WITNESS_FAILED = events.declare(
    703,
    "account-witness-failed",
    "WARNING",
    "No other member took a copy of account entries.",
    "Check the links between entry instances; requests are refused meanwhile.",
)
COMPACTED = events.declare(
    704,
    "account-carried",
    "INFO",
    "Accounts were carried forward into pages.",
    "None; the fields give the number of pages and entries.",
)
COMPACTION_FAILED = events.declare(
    705,
    "account-carry-failed",
    "WARNING",
    "Carrying accounts forward was broken off; another instance tries again.",
    "Check the log; entries are lost only if this lasts for half its retention.",
)
ENTRIES_EXPIRED = events.declare(
    706,
    "account-gap",
    "ERROR",
    "Account entries expired before they were carried forward.",
    "Exports say so from now on; compare the log's retention with the settings.",
)
