"""Declares the log events of the organisations (1600 to 1619)."""

from limpetstream.telemetry import events

ADMISSION_REFUSED = events.declare(
    1600,
    "admission-refused",
    "INFO",
    "Requests of callers were refused for the reason given; at most each second.",
    "See OPERATORS.md for the reason; `not-fresh`: see configuration-not-fresh.",
)
CONFIGURATION_NOT_FRESH = events.declare(
    1601,
    "configuration-not-fresh",
    "WARNING",
    "The configuration may be outdated, so requests with a key are answered 503.",
    "Check the path from this instance to the platform's store.",
)
CONFIGURATION_FRESH = events.declare(
    1602,
    "configuration-fresh",
    "INFO",
    "The configuration is known to be fresh again; requests with a key are served.",
    "None.",
)
PEER_ADMISSION_REFUSED = events.declare(
    1603,
    "peer-admission-refused",
    "WARNING",
    "A request was passed on that an instance admitted by keys removed since then.",
    "If it repeats, check the clock of that instance and its path to the store.",
)
