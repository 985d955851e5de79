"""Executor selection, ejection and the load table."""

import random

import hypothesis
from hypothesis import strategies as st

from limpetstream.desk import executor_selection, load_table, messages

NAMES = [f"e{n}" for n in range(9)]


def new_tracker(names=NAMES):
    """Return a new health tracker of executors of one service."""
    tracker = executor_selection.HealthTracker()
    tracker.track(dict.fromkeys(names, "desk"))
    return tracker


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    st.lists(st.floats(0.0, 1.0), max_size=30), st.sets(st.integers(0, 29)), st.data()
)
def test_pick_is_usable_and_never_the_worst(costs, unusable, data):
    """Guards against choosing an unusable or the most expensive candidate."""
    rng = random.Random(data.draw(st.integers()))
    usable = [n for n in range(len(costs)) if n not in unusable]
    chosen = executor_selection.pick_cheaper(
        rng, range(len(costs)), lambda n: n not in unusable, lambda n: costs[n]
    )
    if not usable:
        assert chosen is None
        return
    assert chosen in usable
    if len(usable) > 1:
        worst = max(costs[n] for n in usable)
        others = [n for n in usable if n != chosen]
        assert costs[chosen] < worst or any(costs[n] == worst for n in others)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(NAMES),
        st.booleans(),
        st.sampled_from([0.05, 0.06, 1.0]),
        st.floats(0.0, 2.0),
    ),
    max_size=200,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(EVENTS)
def test_at_most_a_third_is_ejected_and_all_return(events):
    """Guards against ejecting so many that the rest cannot carry the load."""
    made, now = new_tracker(), 0.0
    for name, ok, run_s, step in events:
        now += step
        made.observe(name, run_s=run_s, answered=ok, now=now)
        ejected = [n for n, each in made.by_executor.items() if each.ejected]
        assert len(ejected) <= len(NAMES) // 3
        for each in NAMES:
            allowed = made.allowed_slots(each, 8, now)
            assert 0 <= allowed <= (1 if each in ejected else 8)
    now += executor_selection.MAX_EJECTION_S
    for name in NAMES:
        for _ in range(2):
            made.observe(name, run_s=0.05, answered=True, now=now)
    assert not any(each.ejected for each in made.by_executor.values())
    assert all(
        made.allowed_slots(each, 8, now + executor_selection.RAMP_S) == 8
        for each in NAMES
    )


def test_not_more_than_a_third_when_all_fail():
    """Guards against a common cause that ejects all executors."""
    tracker = new_tracker()
    for _ in range(5):
        for name in NAMES:
            tracker.observe(name, run_s=0.0, answered=False, now=0.0)
    assert sum(each.ejected for each in tracker.by_executor.values()) == 3


def test_ejection_probe_backoff_and_ramp():
    """Guards against a returned executor that gets its full load at once."""
    tracker, now = new_tracker(), 0.0
    for _ in range(executor_selection.FAILURES_TO_EJECT):
        change = tracker.observe("e0", run_s=0.0, answered=False, now=now)
    assert change == "ejected"
    assert tracker.allowed_slots("e0", 8, now + 0.9) == 0
    assert tracker.allowed_slots("e0", 8, now + 1.0) == 1
    tracker.observe("e0", run_s=0.0, answered=False, now=now + 1.0)
    assert tracker.allowed_slots("e0", 8, now + 2.9) == 0
    assert tracker.observe("e0", run_s=0.05, answered=True, now=now + 3.0) == "returned"
    shares = [tracker.allowed_slots("e0", 8, now + 3.0 + n) for n in range(0, 11, 2)]
    assert shares == [1, 1, 3, 4, 6, 8]


def test_all_slots_are_allowed_at_the_end_of_a_ramp():
    """Guards against rounding: 15.3837 + 10 - 15.3837 is less than 10."""
    tracker, returned_at = new_tracker(), 15.3837
    assert returned_at + executor_selection.RAMP_S - returned_at < 10.0
    for _ in range(executor_selection.FAILURES_TO_EJECT):
        tracker.observe("e0", run_s=0.0, answered=False, now=0.0)
    assert tracker.observe("e0", run_s=0.05, answered=True, now=returned_at)
    end_at = returned_at + executor_selection.RAMP_S
    assert tracker.allowed_slots("e0", 8, end_at) == 8
    assert tracker.allowed_slots("e0", 8, end_at - 0.01) == 7


def test_an_answer_from_before_the_ejection_is_no_probe():
    """Guards against a return without a probe after the ejection."""
    tracker = new_tracker()
    for _ in range(executor_selection.FAILURES_TO_EJECT):
        tracker.observe("e0", run_s=0.0, answered=False, now=0.0)
    assert tracker.observe("e0", run_s=0.05, answered=True, now=0.5) == ""
    assert tracker.by_executor["e0"].ejected


def test_slow_executor_is_ejected_but_not_a_slow_service():
    """Guards against an executor that stays far slower than the others."""
    tracker, now = new_tracker(), 0.0
    for _ in range(20):
        now += 0.6
        changes = [
            tracker.observe(
                name, run_s=1.0 if name == "e0" else 0.1, answered=True, now=now
            )
            for name in NAMES
        ]
        if "ejected" in changes:
            break
    assert tracker.by_executor["e0"].ejected
    tracker, now = new_tracker(), 0.0
    for _ in range(20):
        now += 0.6
        for name in NAMES:
            assert tracker.observe(name, run_s=1.0, answered=True, now=now) == ""


def test_usage_samples_count_until_they_are_old():
    """Guards against avoiding a worker long after the interference ended."""
    tracker = new_tracker()
    for name in NAMES[1:]:
        tracker.observe(name, run_s=0.1, answered=True, now=0.0)
    tracker.add_usage_sample("e0", 3.0, 10.0)
    tracker.add_usage_sample("e0", 9.0, 5.0)
    fresh, old = tracker.expected_run_s("e0", 10.0), tracker.expected_run_s("e0", 60.0)
    assert fresh > 2.5 * tracker.expected_run_s("e1", 10.0)
    assert old < 1.05 * tracker.expected_run_s("e1", 60.0)
    tracker.observe("e0", run_s=0.1, answered=True, now=61.0)
    assert tracker.expected_run_s("e0", 61.5) == 0.1


def load(free, *, group="g", run_ms=100.0, slots=8, queued=0):
    """Return the load of a group."""
    return messages.Load("desk", group, "b", slots, free, queued, run_ms)


def test_loads_prefer_free_slots_near_groups_and_newer_figures():
    """Guards against routing by outdated loads or to distant groups."""
    table = load_table.LoadTable(random.Random(1))
    rows = table.encode_rows(
        [load(8, group="near"), load(0, group="full", queued=4)], 0.0
    )
    assert len(rows) == 2
    table.merge(rows, 0.0)
    near = table.expected_completion_s("desk", "near", 0.0, 0.1)
    assert near < table.expected_completion_s("desk", "near", 0.006, 0.1)
    assert near < table.expected_completion_s("desk", "full", 0.0, 0.1)
    for _ in range(12):
        table.count_forward("desk", "near")
    assert table.expected_completion_s("desk", "near", 0.0, 0.1) > 1.4 * near
    old = [[*rows[0][:-1], 5000]]
    table.merge(old, 1.0)
    assert table.by_key["desk", "near"].measured_at == 0.0


def test_rows_of_another_version_are_skipped():
    """Guards against forwards that fail during a rolling update."""
    table = load_table.LoadTable(random.Random(1))
    good = table.encode_rows([load(8)], 0.0)[0]
    table.merge([[*good, "new"], good[:-1], ["x"] * len(good), good], 0.0)
    assert list(table.by_key) == [("desk", "g")]


def test_load_rows_are_bounded_and_local_ones_come_first():
    """Guards against load messages that grow with the number of executors."""
    table = load_table.LoadTable(random.Random(1))
    for number in range(100):
        table.merge([[*table.encode_rows([load(1, group=f"g{number}")], 0.0)[0]]], 0.0)
    rows = table.encode_rows([load(8, group="own")], 1.0)
    assert len(rows) == load_table.MAX_ROWS
    assert rows[0][1] == "own"
