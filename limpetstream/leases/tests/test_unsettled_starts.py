"""Tests of which answers settle a start."""

import math

import pytest

from limpetstream.leases import unsettled_starts

MAX_DELAY_S = 12.0


def settle(starts, polled_at, earlier_sent_by=math.inf):
    unsettled_starts.settle(
        starts, polled_at, max_delay_s=MAX_DELAY_S, earlier_sent_by=earlier_sent_by
    )
    return not starts.call_by_number


@pytest.mark.parametrize(("polled_at", "is_settled"), [(1.4, False), (1.6, True)])
def test_an_answered_start_is_settled_by_a_poll_after_its_answer(polled_at, is_settled):
    """Guards against an answer that the next process has given."""
    starts = unsettled_starts.UnsettledStarts()
    number = unsettled_starts.note_begun(starts)
    unsettled_starts.note_answered(starts, number, 1.5)
    unsettled_starts.note_ended(starts, number, 1.5)
    assert settle(starts, polled_at) == is_settled


@pytest.mark.parametrize(("polled_at", "is_settled"), [(12.9, False), (13.1, True)])
def test_an_unanswered_start_is_settled_after_the_longest_delay(polled_at, is_settled):
    """Guards against a start that is carried out later than expected."""
    starts = unsettled_starts.UnsettledStarts()
    number = unsettled_starts.note_begun(starts)
    unsettled_starts.note_ended(starts, number, 1.0)
    assert settle(starts, polled_at) == is_settled


def test_a_start_that_is_under_way_is_not_settled():
    """Guards against a start that is sent after its owner was suspended."""
    starts = unsettled_starts.UnsettledStarts()
    number = unsettled_starts.note_begun(starts)
    assert not settle(starts, 100.0)
    unsettled_starts.note_ended(starts, number, 100.0)
    assert not settle(starts, 111.9)
    assert settle(starts, 112.1)


def test_an_answered_try_settles_no_other_try():
    """Guards against a first try that is carried out after the second one."""
    starts = unsettled_starts.UnsettledStarts()
    first = unsettled_starts.note_begun(starts)
    unsettled_starts.note_ended(starts, first, 1.4)
    number = unsettled_starts.note_begun(starts)
    unsettled_starts.note_answered(starts, number, 1.5)
    unsettled_starts.note_ended(starts, number, 1.5)
    assert not settle(starts, 2.0)


def test_starts_of_earlier_owners_are_settled_once_their_last_order_is_known():
    """Guards against starts of owners that may still send some."""
    starts = unsettled_starts.UnsettledStarts()
    unsettled_starts.note_earlier_owners(starts)
    assert not settle(starts, 100.0)
    assert not settle(starts, 101.0, earlier_sent_by=90.0)
    assert settle(starts, 102.1, earlier_sent_by=95.0)
