"""Log events of the membership package (200-299)."""

from limpetstream.telemetry import events

JOINED = events.declare(
    200,
    "member-joined",
    "INFO",
    "This instance has joined the members.",
    "None.",
)
REMOVED = events.declare(
    201,
    "member-removed",
    "ERROR",
    "This instance was removed from the members; its id is never used again.",
    "Restart the process; it joins under a new id.",
)
DEAD_MEMBER_REMOVED = events.declare(
    202,
    "dead-member-removed",
    "INFO",
    "A member whose process has ended was removed.",
    "None.",
)
RIGHT_CLAIMED = events.declare(
    210,
    "right-claimed",
    "INFO",
    "This instance now holds the right to a resource.",
    "None.",
)
RIGHT_LOST = events.declare(
    211,
    "right-lost",
    "WARNING",
    "The right to a resource was taken over by another instance.",
    "If it repeats, look for pauses of this instance or a slow log service.",
)
RIGHT_RELEASED = events.declare(
    212,
    "right-released",
    "INFO",
    "The right to a resource was released.",
    "None.",
)
HAND_OVER_FAILED = events.declare(
    213,
    "hand-over-failed",
    "ERROR",
    "The hand-over of a resource failed; the right is kept.",
    "Report it as a fault of the program.",
)
OUTAGE_EXTENSION_STARTED = events.declare(
    220,
    "hold-began",
    "WARNING",
    "The log is unreachable; rights are kept by promises of all other members.",
    "Check the platform's log service.",
)
OUTAGE_EXTENSION_ENDED = events.declare(
    221,
    "hold-ended",
    "INFO",
    "No right is kept by promises any more.",
    "If rights have ended as well, find the member that did not promise.",
)
BAD_ATTESTATION = events.declare(
    222,
    "bad-attest",
    "WARNING",
    "An attestation request or reply could not be decoded.",
    "Check that all instances run compatible versions.",
)
