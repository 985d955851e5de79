"""Checks what an entry in the list or a record in the journal names.

Any program may write to the list. An entry that passes can be called, logged
and recorded without an error: its address and id can be sent, its numbers are
within bounds, and its record fits into the store.
"""

import ipaddress
import re

from limpetstream import errors
from limpetstream.executors import messages

MAX_TEXT_CHARACTERS = 200
MAX_LABELS = 32
MAX_CAPACITY = 1_000_000_000
MAX_TIME_MS = 2**53 - 1  # Largest whole number that every JSON decoder keeps.
MAX_PORT = 65_535
STATES = frozenset({messages.READY, messages.DRAINING})

# Ids are sent in a header and are part of a key in the store.
_ID = re.compile(f"[!-~]{{1,{MAX_TEXT_CHARACTERS}}}")
_ADDRESS = re.compile(r"(?:([0-9.]{7,15})|\[([0-9A-Fa-f:.]{2,45})\]):([0-9]{1,5})")


def check(listing: messages.Listing) -> None:
    """Check that a listing names an executor that can be used.

    Raises:
        RecordError: A value is malformed or out of its bounds.
    """
    _require(_ID.fullmatch(listing.executor_id), "executor id", listing.executor_id)
    _check_address(listing.address)
    _require(listing.state in STATES, "state", listing.state)
    _require(len(listing.labels) <= MAX_LABELS, "number of labels", len(listing.labels))
    for text in (listing.data_centre, listing.service, *listing.labels):
        _require(len(text) <= MAX_TEXT_CHARACTERS, "text", text)
    capacity = listing.capacity
    for amount in (
        capacity.cpu_millicores,
        capacity.memory_mb,
        capacity.accelerators,
    ):
        _require(0 <= amount <= MAX_CAPACITY, "capacity", amount)
    _require(0 <= listing.born_ms <= MAX_TIME_MS, "start", listing.born_ms)
    # The time that remains may have passed when the executor writes it.
    for time_ms in (listing.remaining_ms or 0, listing.cold_remaining_ms):
        _require(abs(time_ms) <= MAX_TIME_MS, "time", time_ms)


def _check_address(address: str) -> None:
    """Check for an IP address and a port, with brackets around IPv6."""
    match = _ADDRESS.fullmatch(address)
    _require(match, "address", address)
    host = match[1] or match[2]
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        version = None
    _require(version == (4 if match[1] else 6), "host", host)
    _require(1 <= int(match[3]) <= MAX_PORT, "port", match[3])


def _require(is_valid: object, what: str, value: object) -> None:
    if not is_valid:
        raise errors.RecordError(f"invalid {what}: {_shorten(value)}")


def _shorten(value: object) -> str:
    # Comparing first, because very long numbers cannot be converted to text.
    if isinstance(value, int) and abs(value) > MAX_TIME_MS:
        return f"number of {value.bit_length()} bits"
    return repr(str(value)[:MAX_TEXT_CHARACTERS])
