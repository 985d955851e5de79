"""Builders of entries in the platform's list of executors."""

import msgspec

from limpetstream.executors import messages

DEPTH = 100_000  # Levels of nesting beyond the limit of the decoder.

GOOD = {
    "service": "service",
    "address": "10.0.0.99:7000",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 16_000, "mem_mb": 64_000, "gpu": 0},
    "labels": ["kind", "rack-0"],
    "born": 1000,
    "sequence": 1,
}


def entry(**changes: object) -> bytes:
    """Return a good entry with some fields changed."""
    return msgspec.json.encode({**GOOD, **changes})


def entry_with_text(text: bytes) -> bytes:
    """Return a good entry with JSON text added; its fields take precedence."""
    return entry()[:-1] + b"," + text + b"}"


def capacity(**changes: object) -> bytes:
    """Return a good entry with some fields of the capacity changed."""
    return entry(capacity={**GOOD["capacity"], **changes})


def entry_of(listing: messages.Listing) -> bytes:
    """Return the entry that an executor writes about itself."""
    return entry(
        service=listing.service,
        address=listing.address,
        zone=listing.data_centre,
        state=listing.state,
        capacity={
            "cpu": listing.capacity.cpu_millicores,
            "mem_mb": listing.capacity.memory_mb,
            "gpu": listing.capacity.accelerators,
        },
        labels=listing.labels,
        born=listing.born_ms,
    )


ODD_VALUE_BY_KIND = {
    "nested arrays": b"[" * DEPTH,
    "nested objects": b'{"a":' * DEPTH,
    "nested in an unknown field": entry_with_text(
        b'"x":' + b"[" * DEPTH + b"]" * DEPTH
    ),
    "nested in labels": entry_with_text(b'"labels":' + b"[" * DEPTH),
    "infinite time": entry_with_text(b'"cold_remaining_ms":1e999'),
    "not a number": entry_with_text(b'"remaining_ms":NaN'),
    "time of 1e308 ms": entry_with_text(b'"cold_remaining_ms":1e308'),
    "remaining time of 1e300 ms": entry_with_text(b'"remaining_ms":1e300'),
    "time of 5000 digits": entry_with_text(b'"cold_remaining_ms":' + b"9" * 5000),
    "start beyond 64 bits": entry_with_text(b'"born":1180591620717411303424'),
    "start of 5000 digits": entry_with_text(b'"born":' + b"9" * 5000),
    "negative start": entry(born=-1),
    "capacity beyond 64 bits": entry_with_text(
        b'"capacity":{"cpu":1180591620717411303424}'
    ),
    "capacity of 400 digits": entry_with_text(
        b'"capacity":{"cpu":%b,"mem_mb":%b,"gpu":%b}' % ((b"9" * 400,) * 3)
    ),
    "capacity of 64 bits": capacity(mem_mb=2**63),
    "negative capacity": capacity(cpu=-1),
    "port 65536": entry(address="10.0.0.99:65536"),
    "port 99999": entry(address="10.0.0.99:99999"),
    "port 0": entry(address="10.0.0.99:0"),
    "negative port": entry(address="10.0.0.99:-1"),
    "port of 400 digits": entry(address="10.0.0.99:" + "9" * 400),
    "port in other digits": entry(address="10.0.0.99:\u0663"),
    "no port": entry(address="10.0.0.99"),
    "no host": entry(address=":7000"),
    "empty address": entry(address=""),
    "host name": entry(address="executor.example:7000"),
    "host with control characters": entry(address="10.0.0.99\0:7000"),
    "address with line ends": entry(address="10.0.0.99:7000\r\nX: y"),
    "address with a path": entry(address="10.0.0.99:7000/x"),
    "address with a user": entry(address="user@10.0.0.99:7000"),
    "host outside ASCII": entry(address="ex\u00e9cutor:7000"),
    "open bracket": entry(address="[::1:7000"),
    "scope of an IPv6 address": entry(address="[fe80::1%\0]:7000"),
    "address of 1 MB": entry(address="1" * 1_000_000),
    "labels of 1 MB": entry(labels=["x" * 1_000_000]),
    "labels beyond a record": entry(labels=["x" * 1000] * 260),
    "zone of 1 MB": entry(zone="x" * 1_000_000),
    "lone surrogate": entry_with_text(b'"zone":"\\ud800"'),
    "not UTF-8": entry_with_text(b'"zone":"\xff"'),
}

ODD_KEY_BY_KIND = {
    "empty key": "",
    "key that was not UTF-8": "i-\ufffd",
    "key outside ASCII": "i-\u65e5\u672c",
    "key with line ends": "i-1\r\nX: y",
    "key with control characters": "i-\0",
    "key that leaves no room for a prefix": "i" * 250,
}
