"""Tests of how membership and rights records are applied."""

import pytest

from limpetstream import errors
from limpetstream.membership import agent, members, messages
from limpetstream.membership.tests import builders
from limpetstream.records import codec


class RecordWriter:
    """Applies records to one reader, without a log."""

    def __init__(self):
        self.replica = builders.make_replica()
        self.void_reasons = []
        self.sequence_by_writer = {}
        self.replica.view.listeners.append(
            lambda entry, apply_result: self.void_reasons.append(
                apply_result.void_reason
            )
        )

    def write(self, writer, kind, body, **options):
        """Apply one record as its own frame; return why it is void."""
        sequence = self.sequence_by_writer.get(writer, 0) + 1
        self.sequence_by_writer[writer] = sequence
        envelope = codec.Envelope(kind, 1, writer, sequence, body, **options)
        offset = self.replica.view.next_offset
        self.replica.view.apply_frame(offset, [codec.encode(envelope)])
        return self.void_reasons[-1]

    def join(self, *names):
        """Add members."""
        for name in names:
            assert self.write(name, "member.join", messages.Join("a", "", "")) is None

    def claim(self, name, supersedes=None, seen=99, gone=False):
        """Claim the resource ``r``."""
        body = messages.Claim("r", supersedes, seen, gone)
        return self.write(name, "right.claim", body)


def test_claim_supersedes_only_the_last_renewal():
    """Guards against a claim that ignores an earlier renewal."""
    log = RecordWriter()
    log.join("e1", "e2")
    assert log.claim("e1") is None
    assert log.claim("e2") == "superseded by a later claim or renewal"
    assert log.write("e1", "right.renew", messages.Renew(["r"], [2], 99)) is None
    assert log.claim("e2", supersedes=2) == "superseded by a later claim or renewal"
    assert log.claim("e2", supersedes=4) is None
    renewal = messages.Renew(["r"], [2], 99)
    assert log.write("e1", "right.renew", renewal) == "no right held"
    assert log.replica.rights.holding_of("r").epoch == 6


def test_claimant_must_be_known_to_the_holder_unless_that_is_gone():
    """Guards against a claimant that the holder never asked for a promise."""
    log = RecordWriter()
    log.join("e1")
    assert log.claim("e1", seen=1) is None
    log.join("e2")
    refused = "the holder had not read the claimant's join"
    assert log.claim("e2", supersedes=1) == refused
    assert log.claim("e2", supersedes=1, gone=True) is None


def test_release_is_fenced_by_its_epoch():
    """Guards against a delayed release that frees the next holder's right."""
    log = RecordWriter()
    log.join("e1", "e2")
    assert log.claim("e1") is None
    assert log.claim("e2", supersedes=2) is None
    release = messages.Release("r")
    assert log.write("e1", "right.release", release, r="r", e=2) == "stale writer"
    other = messages.Release("other")
    assert log.write("e2", "right.release", other, r="r", e=3) is not None
    assert log.write("e2", "right.release", release, r="r", e=3) is None
    assert log.replica.rights.holding_of("r") is None
    assert log.claim("e1") is None


def test_only_members_that_are_not_leaving_can_claim():
    """Guards against claims by non-members and by instances that stop."""
    log = RecordWriter()
    log.join("e1", "e2")
    assert log.claim("e9") == "not a member"
    log.write("e1", "member.leave", messages.Leave("e1"))
    assert log.claim("e1") == "the claimant is leaving"
    assert log.claim("e2") is None


def test_member_with_rights_is_not_removed():
    """Guards against the removal of a member that still holds rights."""
    log = RecordWriter()
    log.join("e1", "e2")
    log.claim("e1")
    leave = messages.Leave("e1")
    assert log.write("e2", "member.leave", leave) == "the member holds rights"
    log.claim("e2", supersedes=2)
    assert log.write("e9", "member.leave", leave) == "the writer is not a member"
    assert log.write("e2", "member.leave", leave) is None
    rejoin = messages.Join("a", "", "")
    assert log.write("e1", "member.join", rejoin) == "this id was removed"


def test_removed_writers_are_forgotten_at_one_place_by_all_readers():
    """Guards against state that grows with every replaced instance."""
    log = RecordWriter()
    log.join("e1", "e2", "e3")
    log.write("e2", "member.leave", messages.Leave("e1"))
    view = log.replica.view
    copy = builders.make_replica()
    copy.load_from(log.replica)
    assert copy.dump() == log.replica.dump()
    view.next_offset += members.DEPARTED_RETENTION_FRAMES + 2
    assert "e1" in view.sequence_by_writer
    log.write("e2", "member.leave", messages.Leave("e2"))
    assert "e1" not in view.sequence_by_writer
    assert log.replica.members.departed_offset_by_id == {}


def test_right_must_be_valid_until_the_end_of_the_effect():
    """Guards against an effect that outlasts the right."""
    right = agent.Right("r", 1, expires_at=10.0)
    right.ensure_valid_at(9.9)
    for now in (10.0, 11.0):
        with pytest.raises(errors.RightEnded):
            right.ensure_valid_at(now)
    right.ended = True
    with pytest.raises(errors.RightEnded):
        right.ensure_valid_at(1.0)
