"""Builders of the answers of executors, good and odd ones."""

import dataclasses

import msgspec

from limpetstream.executors import messages

LISTING = messages.Listing(
    "i-1",
    "10.0.0.99:7000",
    "a",
    "service",
    messages.READY,
    messages.Capacity(16_000, 64_000, 0),
    ("kind", "rack-0"),
)
NESTED = b"[" * 100_000
NESTED_FIELD = b'"x":' + NESTED
NESTED_OBJECT = b"{" + NESTED_FIELD
RUN = ["5c0e7a21d94b36f8.0.0.0", 1, "", 50, 3]
END = [1, "5c0e7a21d94b36f8.0.0.0", 1, "done", ""]


def listing_at(address: str) -> messages.Listing:
    """Return the entry of an executor with an address."""
    return dataclasses.replace(LISTING, address=address)


def status(**changes: object) -> bytes:
    """Return the answer to a poll with some fields changed."""
    good = {"clock_ms": 5000, "born": 1000, "running": [], "ended": []}
    return msgspec.json.encode({**good, **changes})


def status_with_text(text: bytes) -> bytes:
    """Return the answer to a poll with JSON text added to its fields."""
    return status()[:-1] + b"," + text + b"}"


def _replaced(row: list[object], index: int, value: object) -> list[object]:
    return [*row[:index], value, *row[index + 1 :]]


ODD_STATUS_BY_KIND = {
    "nested": NESTED,
    "nested in an unknown field": status_with_text(NESTED_FIELD),
    "not UTF-8": b"\xff",
    "empty": b"",
    "list": b"[]",
    "clock as text": status(clock_ms="5000"),
    "clock beyond 64 bits": status_with_text(b'"clock_ms":1180591620717411303424'),
    "clock of 64 bits": status(clock_ms=2**64 - 1),
    "clock of 300 digits": status_with_text(b'"clock_ms":' + b"9" * 300),
    "negative clock": status(clock_ms=-1),
    "start beyond 64 bits": status_with_text(b'"born":1180591620717411303424'),
    "running as text": status(running="none"),
    "short run": status(running=[RUN[:3]]),
    "empty run": status(running=[[]]),
    "run as object": status(running=[{"task": "x"}]),
    "task as list": status(running=[_replaced(RUN, 0, ["x"])]),
    "run number as text": status(running=[_replaced(RUN, 1, "1")]),
    "run number beyond 64 bits": status_with_text(
        b'"running":[["x.0.0.0",1180591620717411303424,"",0,0]]'
    ),
    "run number of 64 bits": status(running=[_replaced(RUN, 1, 2**63)]),
    "checkpoint as object": status(running=[_replaced(RUN, 2, {})]),
    "checkpoint of 1 MB": status(running=[_replaced(RUN, 2, "x" * 1_000_000)]),
    "percent as text": status(running=[_replaced(RUN, 3, "50")]),
    "load as nothing": status(running=[_replaced(RUN, 4, None)]),
    "load of 1e308": status(running=[_replaced(RUN, 4, 1e308)]),
    "infinite load": status_with_text(b'"running":[["x.0.0.0",1,"",0,1e999]]'),
    "short end": status(ended=[END[:4]]),
    "end as text": status(ended=["done"]),
    "number of an end as text": status(ended=[END, _replaced(END, 0, "2")]),
    "number of an end beyond 64 bits": status_with_text(
        b'"ended":[[1180591620717411303424,"x.0.0.0",1,"done",""]]'
    ),
    "number of an end of 64 bits": status(ended=[_replaced(END, 0, 2**63)]),
    "ended task as number": status(ended=[_replaced(END, 1, 7)]),
    "how as list": status(ended=[_replaced(END, 3, [])]),
    "checkpoint of an end as number": status(ended=[_replaced(END, 4, 7)]),
}

ODD_REPLY_BY_KIND = {
    "nested": NESTED,
    "nested in an unknown field": b'{"clock_ms":1,' + NESTED_FIELD,
    "not UTF-8": b"\xff",
    "empty": b"",
    "clock as text": b'{"clock_ms":"1"}',
    "clock beyond 64 bits": b'{"clock_ms":1180591620717411303424}',
    "clock of 64 bits": b'{"clock_ms":18446744073709551615}',
    "reason as number": b'{"reason":7}',
}
