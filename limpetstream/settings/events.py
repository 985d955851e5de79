"""Log events of settings (800 to 899)."""

from limpetstream.telemetry import events

EDIT_APPLIED = events.declare(
    800,
    "settings-edit-applied",
    "INFO",
    "An edit of the settings tree was applied at this instance.",
    "None; the fields name the version, the author and the reason.",
)
EDIT_VOID = events.declare(
    801,
    "settings-edit-void",
    "INFO",
    "An edit of the settings tree was void; no part of it was applied.",
    "Read the current version, and repeat the edit if it is still wanted.",
)
