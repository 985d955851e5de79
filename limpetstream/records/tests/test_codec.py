"""Tests of the envelope's checksum."""

import dataclasses

import pytest

from limpetstream import errors
from limpetstream.records import codec


@dataclasses.dataclass(slots=True)
class Body:
    """A body whose fields are not sorted by name."""

    zeta: int
    alpha: dict[int, str]


def test_checksum_of_a_typed_body_survives_the_log():
    """Guards against a checksum that depends on the order of the fields."""
    envelope = codec.Envelope(k="a", v=1, w="e1", n=1, b=Body(1, {10: "x", 9: "y"}))
    decoded = codec.decode(codec.encode(envelope))
    assert decoded.b == {"zeta": 1, "alpha": {"9": "y", "10": "x"}}


def test_damaged_body_is_refused():
    """Guards against accepting a changed body that still decodes."""
    line = codec.encode(codec.Envelope(k="a", v=1, w="e1", n=1, b={"x": 1}))
    with pytest.raises(errors.RecordError):
        codec.decode(line.replace('{"x":1}', '{"x":2}'))
