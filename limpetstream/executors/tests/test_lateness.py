"""Tests of how the pause of polls follows the lag of the event loop."""

from limpetstream.executors import lateness

LATE_S = 2 * lateness.MAX_LAG_S
IN_TIME_S = lateness.MAX_LAG_S / 2


def make_late():
    late = lateness.Lateness()
    for _ in range(20):
        late.note_lag(LATE_S)
        late.end_interval(LATE_S)
    return late


def test_a_loop_in_time_groups_nothing():
    """Guards against ends that are noticed later at an idle owner."""
    late = lateness.Lateness()
    for _ in range(20):
        late.note_lag(IN_TIME_S)
        late.end_interval(IN_TIME_S)
    assert not late.is_late
    assert late.pause_s == 0.0


def test_the_first_late_timer_groups_polls():
    """Guards against a queue that grows until the end of an interval."""
    late = lateness.Lateness()
    late.note_lag(LATE_S)
    assert late.pause_s == lateness.MAX_PAUSE_S


def test_the_pause_stays_within_its_bound():
    """Guards against polls that stand still because the loop is late."""
    late = make_late()
    assert late.pause_s == lateness.MAX_PAUSE_S


def test_the_pause_ends_once_the_loop_is_in_time():
    """Guards against an owner that stays slow after an overload."""
    late = make_late()
    for _ in range(12):  # Three seconds.
        late.end_interval(IN_TIME_S)
    assert not late.is_late
    assert late.late_intervals == 0
