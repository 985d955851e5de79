"""Computes how fast each service uses up its error budget (burn rate).

As is common practice, the verdict on a service is ``page`` or ``ticket`` only
if both a short and a long window burn too fast. A report therefore reacts
quickly and still ignores single slow minutes.
"""

import dataclasses
from collections.abc import Iterable, Mapping

import hdrh.histogram

from limpetstream.settings import schema
from limpetstream.telemetry import histograms

MS_PER_HOUR = 3_600_000
BUDGET_PERIOD_HOURS = 30 * 24
# verdict_of needs exactly three windows, shortest first; measure_service takes
# the second as the one-hour window.
WINDOW_HOURS = (5 / 60, 1.0, 6.0)
# At this rate a 30-day budget is used up in two days, so someone must act
# immediately.
PAGE_BURN_RATE = 14.4
TICKET_BURN_RATE = 6.0


@dataclasses.dataclass(slots=True)
class Window:
    """Burn rate and latencies of one service in one span of time.

    Args:
        hours: Length of the span.
        requests: Number of requests.
        bad: Number of requests that missed the objective.
        burn_rate: Share of bad requests divided by the allowed share; a rate
            of 1 uses up the budget in exactly its period. It is 0 without
            requests. It is also 0 if the objective is a share of 1, which
            allows no bad requests, however many there are.
        p50_ms: Median latency of answered requests.
        p99_ms: 99th percentile of the latency of answered requests.
    """

    hours: float
    requests: int
    bad: int
    burn_rate: float
    p50_ms: float
    p99_ms: float


@dataclasses.dataclass(slots=True)
class Cause:
    """Number of bad requests with the same cause, data centre and outcome.

    Args:
        cause: Where most of the time went, as in ``histograms.Key``.
        data_centre: Data centre that answered; empty if none answered.
        outcome: Outcome of these requests, as in ``histograms.Key``.
        bad: Number of bad requests.
        share: Share of all bad requests of the service.
    """

    cause: str
    data_centre: str
    outcome: str
    bad: int
    share: float


@dataclasses.dataclass(slots=True)
class ServiceBurn:
    """Burn report of one service.

    Args:
        service: Name of the service.
        objective_ms: Latency objective.
        objective_share: Share of requests that must meet the objective.
        windows: Burn in each window, shortest first.
        budget_left: Share of the budget that the bad requests of the longest
            window leave, 0 to 1; earlier requests of the budget's period are
            not counted.
        exhausted_in_hours: Time until ``budget_left`` is used up at the burn
            rate of the one-hour window; None if that rate is 0.
        verdict: ``ok``, ``ticket`` or ``page``.
        causes: Causes in the longest window, those with most bad requests
            first.
    """

    service: str
    objective_ms: int
    objective_share: float
    windows: list[Window]
    budget_left: float
    exhausted_in_hours: float | None
    verdict: str
    causes: list[Cause]


@dataclasses.dataclass(slots=True)
class Comparison:
    """Burn of one service in a span before and after an event."""

    service: str
    before: Window
    after: Window


def count_bad(
    key: histograms.Key, histogram: hdrh.histogram.HdrHistogram, objective_ms: int
) -> int:
    """Return how many requests of a histogram missed the objective.

    Every request that was not answered counts as bad, including one refused
    because its caller exceeds its rate limit.
    """
    if key.outcome != "answered":
        return histogram.total_count
    # Histograms count microseconds and cannot tell values up to this one from
    # the objective.
    limit = histogram.get_highest_equivalent_value(objective_ms * 1000)
    good = sum(
        item.count_added_in_this_iter_step
        for item in histogram.get_recorded_iterator()
        if item.value_iterated_to <= limit
    )
    return histogram.total_count - good


def measure_window(
    histogram_by_key: Mapping[histograms.Key, hdrh.histogram.HdrHistogram],
    service: str,
    objective: schema.Service,
    *,
    hours: float,
) -> Window:
    """Return the burn of one service in a span of time.

    Args:
        histogram_by_key: Merged histograms of the span.
        service: Name of the service.
        objective: Settings of the service.
        hours: Length of the span.
    """
    answered = histograms.make_histogram()
    requests = bad = 0
    for key, histogram in histogram_by_key.items():
        if key.service != service:
            continue
        requests += histogram.total_count
        bad += count_bad(key, histogram, objective.objective_ms)
        if key.outcome == "answered":
            answered.add(histogram)
    allowed_share = 1.0 - objective.objective_share
    burn_rate = (
        (bad / requests) / allowed_share if requests and allowed_share > 0 else 0.0
    )
    has_answers = answered.total_count > 0
    return Window(
        hours,
        requests,
        bad,
        burn_rate,
        answered.get_value_at_percentile(50) / 1000 if has_answers else 0.0,
        answered.get_value_at_percentile(99) / 1000 if has_answers else 0.0,
    )


def rank_causes(
    histogram_by_key: Mapping[histograms.Key, hdrh.histogram.HdrHistogram],
    service: str,
    objective: schema.Service,
) -> list[Cause]:
    """Return the causes of bad requests, most frequent first."""
    causes = []
    for key, histogram in histogram_by_key.items():
        if key.service == service:
            bad = count_bad(key, histogram, objective.objective_ms)
            if bad:
                causes.append(Cause(key.cause, key.data_centre, key.outcome, bad, 0.0))
    total = sum(cause.bad for cause in causes)
    for cause in causes:
        cause.share = cause.bad / total
    return sorted(causes, key=lambda c: (-c.bad, c.cause, c.data_centre, c.outcome))


def measure_service(
    slices: list[histograms.Slice],
    service: str,
    objective: schema.Service,
    *,
    now_ms: int,
) -> ServiceBurn:
    """Return the burn report of one service.

    Args:
        slices: Latency slices of all instances.
        service: Name of the service.
        objective: Settings of the service.
        now_ms: End of all windows, in milliseconds since the Unix epoch.
    """
    windows = []
    histogram_by_key: dict[histograms.Key, hdrh.histogram.HdrHistogram] = {}
    for hours in WINDOW_HOURS:
        # Slices are whole minutes and are selected by their start, so each
        # window includes the recorded part of the current minute. until_ms is
        # exclusive; + 1 includes a slice that starts at now_ms.
        from_ms = now_ms - int(hours * MS_PER_HOUR)
        histogram_by_key = histograms.merge_slices(
            slices, from_ms=from_ms, until_ms=now_ms + 1
        )
        windows.append(
            measure_window(histogram_by_key, service, objective, hours=hours)
        )
    longest_window = windows[-1]
    used_share = longest_window.burn_rate * longest_window.hours / BUDGET_PERIOD_HOURS
    budget_left = max(0.0, 1.0 - used_share)
    one_hour_rate = windows[1].burn_rate
    hours_left = (
        budget_left * BUDGET_PERIOD_HOURS / one_hour_rate if one_hour_rate > 0 else None
    )
    return ServiceBurn(
        service,
        objective.objective_ms,
        objective.objective_share,
        windows,
        budget_left,
        hours_left,
        verdict_of(windows),
        # The histograms of the last, longest window.
        rank_causes(histogram_by_key, service, objective),
    )


def verdict_of(windows: list[Window]) -> str:
    """Return ``page``, ``ticket`` or ``ok`` from the burn in all windows.

    ``page`` needs fast burn in the two shortest windows, ``ticket`` in the
    shortest and the longest.

    >>> fast = Window(1, 100, 50, 50.0, 1, 1)
    >>> calm = Window(6, 100, 0, 0.0, 1, 1)
    >>> verdict_of([fast, fast, calm])
    'page'
    >>> verdict_of([calm, fast, fast])
    'ok'
    """
    short, hour, long = windows
    if min(short.burn_rate, hour.burn_rate) >= PAGE_BURN_RATE:
        return "page"
    if min(short.burn_rate, long.burn_rate) >= TICKET_BURN_RATE:
        return "ticket"
    return "ok"


def compare_around_event(
    slices: list[histograms.Slice],
    services: Iterable[tuple[str, schema.Service]],
    *,
    event_ms: int,
    span_hours: float,
) -> list[Comparison]:
    """Return the burn of each service before and after an event.

    Slices are selected by their start, so the minute that the event
    interrupts belongs to the span before it.

    Args:
        slices: Latency slices of all instances.
        services: Names and settings of the services.
        event_ms: Time of the event, in milliseconds since the Unix epoch.
        span_hours: Length of the span on each side.
    """
    span_ms = int(span_hours * MS_PER_HOUR)
    before = histograms.merge_slices(
        slices, from_ms=event_ms - span_ms, until_ms=event_ms
    )
    after = histograms.merge_slices(
        slices, from_ms=event_ms, until_ms=event_ms + span_ms
    )
    return [
        Comparison(
            name,
            measure_window(before, name, objective, hours=span_hours),
            measure_window(after, name, objective, hours=span_hours),
        )
        for name, objective in services
    ]
