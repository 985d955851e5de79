"""Tests of how an owner's limits follow the lag of its event loop."""

from limpetstream.executors import lateness

LATE_S = 2 * lateness.MAX_LAG_S
IN_TIME_S = lateness.MAX_LAG_S / 2


def make_late():
    late = lateness.Lateness()
    for _ in range(20):
        late.note_lag(LATE_S)
        late.end_interval(LATE_S)
    return late


def test_a_loop_in_time_limits_nothing():
    """Guards against ends that are noticed later at an idle owner."""
    late = lateness.Lateness()
    for _ in range(20):
        late.note_lag(IN_TIME_S)
        late.end_interval(IN_TIME_S)
    assert not late.is_late
    assert late.pause_s == 0.0
    assert late.max_starts == lateness.MAX_STARTS


def test_the_first_late_timer_limits_polls_and_starts():
    """Guards against a queue that grows until the end of an interval."""
    late = lateness.Lateness()
    late.note_lag(LATE_S)
    assert late.pause_s == lateness.MAX_PAUSE_S
    assert late.max_starts == lateness.MAX_STARTS / 2


def test_the_limits_stay_within_their_bounds():
    """Guards against work that stands still because the loop is late."""
    late = make_late()
    assert late.pause_s == lateness.MAX_PAUSE_S
    assert late.max_starts == lateness.MIN_STARTS


def test_the_limits_end_once_the_loop_is_in_time():
    """Guards against an owner that stays slow after an overload."""
    late = make_late()
    for _ in range(12):  # Three seconds.
        late.end_interval(IN_TIME_S)
    assert not late.is_late
    assert late.late_intervals == 0
