"""Log events of the operators' API (900 to 999)."""

from limpetstream.telemetry import events

ROLE_MISSING = events.declare(
    900,
    "role-missing",
    "WARNING",
    "An operator called an operation whose role the operator lacks.",
    "If the operator should have the role, add it in the settings tree.",
)
EDIT_ACCEPTED = events.declare(
    901,
    "edit-accepted",
    "INFO",
    "An operator's edit of the settings tree was accepted.",
    "Nothing; limpetstream-admin history shows the edit.",
)
EDIT_REFUSED = events.declare(
    902,
    "edit-refused",
    "INFO",
    "An operator's edit is void because another edit took effect first.",
    "Check the current settings and edit again.",
)
