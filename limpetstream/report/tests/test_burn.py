"""Tests of the burn from histograms against that from raw requests."""

from hypothesis import given, settings

from limpetstream.report import burn
from limpetstream.report.tests import builders
from limpetstream.telemetry import histograms

# Relative width of a histogram bucket at two significant digits.
PRECISION = 0.01
FIXED = {"derandomize": True, "deadline": None, "max_examples": 60}


def expected_bounds(requests: list[builders.Raw], hours: float) -> tuple[int, int, int]:
    """Return the number of requests in a window and bounds of the bad ones.

    A latency within the histogram's precision of the objective may count
    either way.
    """
    from_ms = -int(hours * burn.MS_PER_HOUR)
    inside = [each for each in requests if each.at_ms >= from_ms]
    limit = builders.OBJECTIVE.objective_ms
    unanswered = sum(each.outcome != "answered" for each in inside)
    answers = [each.milliseconds for each in inside if each.outcome == "answered"]
    certainly_bad = sum(value > limit * (1 + PRECISION) for value in answers)
    possibly_bad = sum(value > limit * (1 - PRECISION) for value in answers)
    return len(inside), unanswered + certainly_bad, unanswered + possibly_bad


@settings(**FIXED)
@given(builders.raw_requests())
def test_burn_equals_that_of_the_raw_samples(requests: list[builders.Raw]):
    """Guards against windows, merging or encoding that lose requests."""
    slices = builders.slices_of(requests)
    objective = builders.OBJECTIVE
    service_burn = burn.measure_service(
        slices, "recover-desk", objective, now_ms=builders.NOW_MS
    )
    allowed = 1 - objective.objective_share
    for window in service_burn.windows:
        total, least, most = expected_bounds(requests, window.hours)
        assert window.requests == total
        assert least <= window.bad <= most
        expected = window.bad / total / allowed if total else 0.0
        assert abs(window.burn_rate - expected) < 1e-9
    assert sum(each.bad for each in service_burn.causes) == service_burn.windows[-1].bad


@settings(**FIXED)
@given(builders.raw_requests())
def test_percentiles_are_within_the_precision(requests: list[builders.Raw]):
    """Guards against percentiles that include requests without an answer."""
    slices = builders.slices_of(requests)
    window = burn.measure_window(
        histograms.merge_slices(slices), "recover-desk", builders.OBJECTIVE, hours=8
    )
    answers = sorted(
        each.milliseconds for each in requests if each.outcome == "answered"
    )
    if not answers:
        assert window.p99_ms == 0.0
        return
    assert window.p99_ms <= answers[-1] * (1 + PRECISION) + 0.001
    assert window.p50_ms >= answers[0] * (1 - PRECISION) - 0.001
    rank = max(0, -(-len(answers) * 99 // 100) - 1)
    # The histogram may round the rank up by one request.
    above = answers[min(rank + 1, len(answers) - 1)]
    assert answers[rank] * (1 - PRECISION) <= window.p99_ms + 0.001
    assert window.p99_ms <= above * (1 + PRECISION) + 0.001


@settings(**FIXED)
@given(builders.raw_requests())
def test_slices_from_the_log_and_the_instance_count_once(
    requests: list[builders.Raw],
):
    """Guards against counting a slice twice that comes from both sources."""
    slices = builders.slices_of(requests)
    once = histograms.merge_slices(slices)
    twice = histograms.merge_slices([*slices, *slices])
    counts = {key: each.total_count for key, each in once.items()}
    assert {key: each.total_count for key, each in twice.items()} == counts


@settings(**FIXED)
@given(builders.raw_requests())
def test_the_comparison_splits_at_the_event(requests: list[builders.Raw]):
    """Guards against requests that count on neither side or on both."""
    slices = builders.slices_of(requests)
    event = -4 * 60 * builders.MINUTE_MS
    comparison = burn.compare_around_event(
        slices,
        [("recover-desk", builders.OBJECTIVE)],
        event_ms=builders.NOW_MS + event,
        span_hours=4,
    )[0]
    assert comparison.before.requests == sum(each.at_ms < event for each in requests)
    assert comparison.after.requests == sum(each.at_ms >= event for each in requests)
