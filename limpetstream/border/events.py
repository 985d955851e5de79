"""Log events of the common HTTP parts (1300 to 1399)."""

from limpetstream.telemetry import events

UNEXPECTED_ERROR = events.declare(
    1300,
    "unexpected-error",
    "ERROR",
    "A request failed with an unexpected error.",
    "Report the error text and the path; the reply had status 500.",
)

REQUESTS_REFUSED = events.declare(
    1301,
    "requests-refused",
    "WARNING",
    "A server has refused requests, or closed connections, at its bounds.",
    "Look for clients that open many connections or send large bodies.",
)
