"""Declares the log events of an owner about organisations (1610 to 1619)."""

from limpetstream.telemetry import events

# Events of refused requests; each has a ``reason``, and the organisation if it
# is known.
REFUSAL_NUMBERS = range(1600, 1610)

ORGANISATION_STATE = events.declare(
    1610,
    "organisation-state",
    "INFO",
    "What an organisation uses, what it may use, and what waits for it.",
    "See OPERATORS.md, section Organisations; `held_back` above 0: it is at its limit.",
)
ORGANISATIONS_LEFT_OUT = events.declare(
    1611,
    "organisations-left-out",
    "WARNING",
    "More organisations have work than one report may have lines.",
    "None; those whose work has waited longest are reported.",
)
