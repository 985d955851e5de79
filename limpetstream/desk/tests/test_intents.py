"""Intents: the state depends on log order only; the first valid one wins."""

import hypothesis
import msgspec
from hypothesis import strategies as st

from limpetstream.desk import intents, messages
from limpetstream.records import view

DAY = intents.RETENTION_MS


def entry(offset, writer, body):
    """Return a log entry."""
    kind = messages.INTENT_KIND
    return view.Entry(offset, 0, kind, writer, offset, None, 0, body)


def intent(request_id="r", *, body="h", token="t1", at_ms=0, caller="c"):
    """Return the body of an intent."""
    return messages.Intent(caller, request_id, "desk", body, token, at_ms)


def outcome(state, *, request_id="r", token="t1"):
    """Return the body of an outcome."""
    return messages.Outcome("c", request_id, token, state, 1, 200)


def apply(state, offset, writer, body):
    """Apply one record; return why it is void, or None."""
    if isinstance(body, messages.Intent):
        return state.apply_intent(entry(offset, writer, body))
    return state.apply_outcome(entry(offset, writer, body))


RECORDS = st.lists(
    st.one_of(
        st.tuples(
            st.just("intent"),
            st.sampled_from("ab"),
            st.sampled_from(["r1", "r2", "r3"]),
            st.sampled_from(["h1", "h2"]),
            st.integers(0, 3 * DAY),
        ),
        st.tuples(
            st.just("outcome"),
            st.sampled_from("ab"),
            st.sampled_from(["r1", "r2", "r3"]),
            st.sampled_from(["answered", "not-run", "unknown", "odd"]),
            st.integers(0, 30),
        ),
    ),
    max_size=40,
)


class Model:
    """Model that keeps every intent and knows only who may send."""

    def __init__(self) -> None:
        self.intent_by_key: dict[str, tuple] = {}

    def intent(self, writer, key, body, token) -> bool:
        """Tell whether the intent is valid."""
        if key in self.intent_by_key and self.intent_by_key[key][3] != "not-run":
            return False
        if key in self.intent_by_key and self.intent_by_key[key][1] != body:
            return False
        self.intent_by_key[key] = (writer, body, token, "received")
        return True

    def outcome(self, writer, key, token, state) -> None:
        """Record an outcome."""
        current = self.intent_by_key.get(key)
        final = current and current[3] in messages.FINAL_OUTCOMES
        if current and current[0] == writer and current[2] == token and not final:
            if state != "odd":
                self.intent_by_key[key] = (*current[:3], state)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(RECORDS, st.integers(0, 40))
def test_against_a_naive_version_and_through_a_snapshot(records, cut):
    """Guards against two valid intents, and against snapshots that differ."""
    state, model = intents.IntentTable(max_intents=2), Model()
    copy, sent = None, []
    for offset, (kind, writer, key, value, number) in enumerate(records):
        if offset == cut:
            copy = intents.IntentTable(max_intents=2)
            copy.load(msgspec.json.decode(msgspec.json.encode(list(state.dump()))))
        if kind == "intent":
            body = intent(key, body=value, token=f"t{offset}", at_ms=number)
            is_valid = model.intent(writer, key, value, f"t{offset}")
        else:
            body = outcome(value, request_id=key, token=f"t{number}")
            model.outcome(writer, key, f"t{number}", value)
            is_valid = None
        reason = apply(state, offset, writer, body)
        if copy is not None:
            assert apply(copy, offset, writer, body) == reason
        if kind == "intent" and reason is None:
            # An intent that is valid here must also be valid for the model,
            # which drops nothing.
            sent.append(key)
            assert is_valid or value_was_dropped_as_not_run(model, key)
    if copy is not None:
        assert list(copy.dump()) == list(state.dump())


def value_was_dropped_as_not_run(model, key):
    """Tell whether the key may be used again with another body."""
    return model.intent_by_key[key][3] == "not-run"


def test_outcomes():
    """Guards against outcomes by others, for old intents, or after a final."""
    state = intents.IntentTable()
    assert apply(state, 0, "a", intent()) is None
    assert apply(state, 1, "b", intent(token="t2")) == "taken"
    assert apply(state, 2, "b", intent(token="t2", body="x")) == "other-body"
    assert apply(state, 3, "b", outcome("answered")) == "not the writer of the intent"
    assert apply(state, 4, "a", outcome("answered", token="t0")) == "no such intent"
    assert apply(state, 5, "a", outcome("unknown")) is None
    assert apply(state, 6, "b", intent(token="t2")) == "taken"
    assert apply(state, 7, "a", outcome("answered")) is None
    assert apply(state, 8, "a", outcome("not-run")) == "already final"
    assert apply(state, 9, "b", intent(token="t2")) == "taken"


def test_not_run_may_be_tried_again():
    """Guards against request ids that cannot be used after a refusal."""
    state = intents.IntentTable()
    apply(state, 0, "a", intent())
    apply(state, 1, "a", outcome("not-run"))
    assert apply(state, 2, "b", intent(token="t2")) is None
    assert apply(state, 3, "a", outcome("answered")) == "no such intent"


def test_a_dropped_intent_never_runs_again():
    """Guards against running an old request id a second time (I7)."""
    state = intents.IntentTable()
    apply(state, 0, "a", intent())
    assert apply(state, 1, "a", intent("s", at_ms=DAY + 1)) is None
    assert ("c", "r") not in state.by_key
    copy = intents.IntentTable()
    copy.load(msgspec.json.decode(msgspec.json.encode(list(state.dump()))))
    for each in (state, copy):
        assert apply(each, 2, "b", intent(token="t2")) == "request-id-used"
        other = intent(token="t3", caller="d", at_ms=DAY + 1)
        assert apply(each, 3, "b", other) is None


def test_a_replaced_intent_decides_nothing():
    """Guards against instances that drop other intents after a snapshot."""
    state = intents.IntentTable()
    apply(state, 0, "a", intent(at_ms=9 * DAY))
    apply(state, 1, "a", outcome("not-run"))
    apply(state, 2, "b", intent(token="t2"))
    copy = intents.IntentTable()
    copy.load(msgspec.json.decode(msgspec.json.encode(list(state.dump()))))
    for each in (state, copy):
        apply(each, 3, "a", intent("s", token="t3", at_ms=DAY + 1))
        assert list(each.by_key) == [("c", "s")]


def test_memory_is_bounded_whatever_the_clocks_say():
    """Guards against unbounded intents when a writer's clock is ahead."""
    state = intents.IntentTable(max_intents=10)
    for number in range(50):
        apply(state, number, "a", intent(f"r{number}", at_ms=10**15 - number))
    assert len(state.by_key) == 10
    assert len(state.dropped_hashes) == 40
