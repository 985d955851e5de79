"""Encodes and decodes the envelopes of records: JSON with a checksum."""

import dataclasses
from typing import Any

import msgspec
import xxhash

from limpetstream import errors


@dataclasses.dataclass(slots=True)
class Envelope:
    """One record as stored in the log, with short keys to save bytes.

    Args:
        k: Kind, such as ``task.place``.
        v: Version of the body's format.
        w: Id of the instance that wrote the record (the writer).
        n: Sequence number of the record at its writer, from 1.
        b: Body; the registry validates it.
        r: Resource whose right the writer claims to hold, if any.
        e: Epoch of that right; 0 without a resource.
        c: Checksum of the other fields.
    """

    k: str
    v: int
    w: str
    n: int
    b: Any
    r: str | None = None
    e: int = 0
    c: str = ""


_encoder = msgspec.json.Encoder(order="deterministic")
_decoder = msgspec.json.Decoder(Envelope)


def checksum(envelope: Envelope) -> str:
    """Return the xxh64 of the canonical JSON of all other fields."""
    fields = [
        envelope.k,
        envelope.v,
        envelope.w,
        envelope.n,
        envelope.b,
        envelope.r,
        envelope.e,
    ]
    return xxhash.xxh64_hexdigest(_encoder.encode(fields))


def encode(envelope: Envelope) -> str:
    """Return the envelope as JSON with its checksum filled in.

    >>> line = encode(Envelope(k="a.b", v=1, w="e1", n=1, b={"x": 1}))
    >>> decode(line).b
    {'x': 1}
    """
    builtin = msgspec.to_builtins(envelope, str_keys=True)
    # Readers compute the checksum over the decoded body, so the body is
    # converted to JSON types first.
    plain = dataclasses.replace(envelope, b=builtin["b"])
    builtin["c"] = checksum(plain)
    return _encoder.encode(builtin).decode()


def decode(line: str) -> Envelope:
    """Decode one record and verify its checksum.

    Args:
        line: JSON text as read from the log.

    Returns:
        The envelope; its body is not validated yet.

    Raises:
        RecordError: The text is not an envelope, or its checksum does not
            match.
    """
    try:
        envelope = _decoder.decode(line)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise errors.RecordError(f"malformed envelope: {error}") from error
    if checksum(envelope) != envelope.c:
        raise errors.RecordError(f"checksum mismatch in a {envelope.k} record")
    return envelope
