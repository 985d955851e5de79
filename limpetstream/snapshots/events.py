"""Log events of the snapshots package (300-399)."""

from limpetstream.telemetry import events

SNAPSHOT_WRITTEN = events.declare(
    300,
    "snapshot-written",
    "INFO",
    "A snapshot of the view was written completely.",
    "None.",
)
SNAPSHOT_LOADED = events.declare(
    301,
    "snapshot-loaded",
    "INFO",
    "A snapshot was loaded into the view.",
    "None.",
)
SNAPSHOT_FAILED = events.declare(
    302,
    "snapshot-failed",
    "WARNING",
    "A snapshot could not be written; another instance or a later attempt will.",
    "Check the log if no snapshot was written for half the retention time.",
)
SNAPSHOT_UNUSABLE = events.declare(
    303,
    "snapshot-unusable",
    "WARNING",
    "A snapshot is incomplete, damaged or too old, and is skipped.",
    "None, as long as an older one can be used.",
)
PAGE_SKIPPED = events.declare(
    304,
    "snapshot-page-skipped",
    "WARNING",
    "A record on the snapshots stream could not be decoded and was skipped.",
    "If it repeats, look for its writer.",
)
NO_SNAPSHOT = events.declare(
    305,
    "no-snapshot",
    "ERROR",
    "The start of the control stream has expired and no snapshot can be used.",
    "Keep the instances that have a view running until one writes a snapshot.",
)
