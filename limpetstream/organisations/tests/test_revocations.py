"""Tests of the table of keys and of the removals that it remembers."""

import pytest

from limpetstream import clock, errors
from limpetstream.organisations import (
    admissions,
    freshness,
    keys,
    revocations,
    settings,
)
from limpetstream.workflow import messages


def test_a_table_tells_lost_keys_and_keeps_none():
    """Guards against a key in memory, and a lost key that is overlooked."""
    table = keys.KeyTable([("k1", "a"), ("k2", "a"), ("k3", "b"), ("k4", "c")])
    newer = keys.KeyTable([("k1", "a"), ("k3", "b"), ("k4", "d")])
    assert table.organisations_losing_keys(newer) == {"a", "c"}
    assert not any(key in str(table._organisation_by_digest) for key in ("k1", "k2"))


@pytest.mark.parametrize(
    ("organisation", "version", "now", "is_revoked"),
    [
        ("a", 1, 105.0, False),
        ("a", 1, 105.1, True),
        ("a", 2, 105.1, False),  # Admitted by the version without the key.
        ("a", 2, 115.1, True),
        ("a", 1, 112.0, True),  # Implied by the newer removal only later.
        ("b", 1, 200.0, False),
        ("", 1, 200.0, False),
        ("a", 0, 200.0, False),  # Of a version that does not tell.
    ],
)
def test_requests_are_refused_by_removals(organisation, version, now, is_revoked):
    """Guards against a refusal of requests that were admitted rightly.

    Also against a removal that is forgotten when the next one comes.
    """
    admission = revocations.Admission(organisation, version)
    strict = revocations.Revocations(5.0, is_strict=True)
    lenient = revocations.Revocations(5.0, is_strict=False)
    for known in (strict, lenient):
        known.note({"a"}, 2, 100.0)
        known.note({"a"}, 4, 110.0)
    assert strict.is_revoked(admission, now) is is_revoked
    assert not lenient.is_revoked(admission, now)


def test_a_read_is_due_after_a_failure_and_at_an_age():
    """Guards against calls in calm, and against a late proof of freshness."""
    strict = freshness.Freshness(5.0, is_strict=True)
    strict.note_read(10.0)
    assert (strict.is_read_due(11.9), strict.is_read_due(12.1)) == (False, True)
    strict.note_failure()
    assert strict.is_read_due(10.1)
    strict.note_read(10.2)
    assert not strict.is_read_due(10.3)
    assert freshness.Freshness(1.0, is_strict=True).read_wait_s(1.0) == 0.2
    lenient = freshness.Freshness(1.0, is_strict=False)
    assert (lenient.is_read_due(0.0), lenient.read_wait_s(1.0)) == (False, 1.0)


def test_a_configuration_without_an_answered_read_is_not_fresh():
    """Guards against an error for all callers while no read has ended well."""
    strict = freshness.Freshness(5.0, is_strict=True)
    configuration = messages.Configuration(1, [])
    configuration.organisation_by_name["a"] = settings.Organisation("a")
    queue = messages.Queue("q", "host", "/", "service")
    judge = admissions.Admissions(strict, clock.Clock())
    with pytest.raises(errors.NotRun):
        judge.admit(configuration, queue, "Bearer key")
    assert judge.admit(configuration, queue, None) is revocations.NO_KEY
