"""Tests that forged, old, misdirected and replayed messages are refused."""

import pytest

from limpetstream import errors
from limpetstream.peers import messages, signing
from limpetstream.peers.tests import builders

PATH = "/peer/v1/forward"


def refusal_reason(verifier, headers, *, path=PATH, body=b"x", method="POST"):
    """Return why a message is refused, or None if it is accepted."""
    try:
        verifier.accept(method, path, headers, body)
    except errors.PeerRefused as error:
        return str(error)
    return None


def test_accepts_once_and_names_the_sender():
    """Guards against accepting a replay."""
    signer, verifier = builders.make_signer_and_verifier(builders.ManualClock())
    headers = signer.sign("POST", PATH, "b", b"x")
    assert verifier.accept("POST", PATH, headers, b"x") == "a"
    assert refusal_reason(verifier, headers) == "replayed"


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"body": b"y"}, "forged"),
        ({"path": "/peer/v1/load"}, "forged"),
        ({"method": "PUT"}, "forged"),
        ({"headers": {messages.PEER_ID: "c"}}, "forged"),
        ({"headers": {messages.PEER_NONCE: "other"}}, "forged"),
        ({"headers": {messages.PEER_TIME: "1800001001000"}}, "forged"),
        ({"headers": {messages.PEER_SIGNATURE: "\u00e9"}}, "forged"),
        ({"headers": {messages.PEER_SIGNATURE: ""}}, "forged"),
    ],
)
def test_refuses_any_altered_part(change, reason):
    """Guards against a part of the message that the signature omits."""
    signer, verifier = builders.make_signer_and_verifier(builders.ManualClock())
    headers = signer.sign("POST", PATH, "b", b"x") | change.pop("headers", {})
    assert refusal_reason(verifier, headers, **change) == reason


def test_refuses_a_wrong_key_and_another_receiver():
    """Guards against a message that is replayed to another member."""
    time = builders.ManualClock()
    signer, verifier = builders.make_signer_and_verifier(time, signs=("bad",))
    assert refusal_reason(verifier, signer.sign("POST", PATH, "b", b"x")) == "forged"
    signer, verifier = builders.make_signer_and_verifier(time)
    assert (
        refusal_reason(verifier, signer.sign("POST", PATH, "c", b"x")) == "misdirected"
    )


@pytest.mark.parametrize(
    ("seconds", "reason"), [(4.9, None), (5.1, "old"), (-4.9, None), (-5.1, "old")]
)
def test_messages_are_accepted_within_the_clock_difference(seconds, reason):
    """Guards against accepting messages long after they were sent."""
    time = builders.ManualClock()
    signer, verifier = builders.make_signer_and_verifier(time)
    headers = signer.sign("POST", PATH, "b", b"x")
    time.now += seconds
    assert refusal_reason(verifier, headers) == reason


def test_a_message_dated_ahead_stays_refused_while_it_is_acceptable():
    """Guards against forgetting a nonce before its message is too old."""
    time = builders.ManualClock()
    signer, verifier = builders.make_signer_and_verifier(time)
    headers = signer.sign("POST", PATH, "b", b"x")
    time.now -= 4.9
    assert refusal_reason(verifier, headers) is None
    time.now += 9.8
    assert refusal_reason(verifier, headers) == "replayed"


def test_full_nonce_memory_refuses_and_recovers():
    """Guards against unbounded memory, and against forgetting nonces early."""
    time = builders.ManualClock()
    signer, verifier = builders.make_signer_and_verifier(time)
    verifier.max_nonces = 3
    sent = [signer.sign("POST", PATH, "b", b"x") for _ in range(4)]
    assert [refusal_reason(verifier, each) for each in sent] == [
        None,
        None,
        None,
        "full",
    ]
    assert refusal_reason(verifier, sent[0]) == "replayed"
    time.now += signing.NONCE_RETENTION_S + 0.1
    assert refusal_reason(verifier, signer.sign("POST", PATH, "b", b"x")) is None
    assert len(verifier._remembered_nonces) == len(verifier._expiring_nonces) == 1


def test_rotation_step_by_step():
    """Guards against a key rotation during which messages are refused."""
    time = builders.ManualClock()
    for signs, accepts in [
        (("old",), ("old", "new")),
        (("old", "new"), ("new", "old")),
        (("new", "old"), ("old", "new")),
        (("new",), ("new", "old")),
    ]:
        signer, verifier = builders.make_signer_and_verifier(
            time, signs=signs, accepts=accepts
        )
        assert refusal_reason(verifier, signer.sign("POST", PATH, "b", b"x")) is None
    signer, verifier = builders.make_signer_and_verifier(
        time, signs=("old",), accepts=("new",)
    )
    assert refusal_reason(verifier, signer.sign("POST", PATH, "b", b"x")) == "forged"
    signer, verifier = builders.make_signer_and_verifier(
        time, signs=("3",), accepts=("1", "2", "3")
    )
    assert refusal_reason(verifier, signer.sign("POST", PATH, "b", b"x")) == "forged"
