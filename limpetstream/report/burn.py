"""Service-level burn: how fast the error budget of each service is used.

The windows and thresholds follow the common practice of alerting on a short
and a long window at once, so that a report reacts quickly and still ignores
single slow minutes.
"""

import dataclasses
from collections.abc import Iterable, Mapping

import hdrh.histogram

from limpetstream.settings import schema
from limpetstream.telemetry import histograms

MS_PER_HOUR = 3_600_000
BUDGET_PERIOD_HOURS = 30 * 24
WINDOW_HOURS = (5 / 60, 1.0, 6.0)
# A budget for 30 days that burns this fast over both windows is gone in two
# days; someone has to act now.
PAGE_BURN_RATE = 14.4
TICKET_BURN_RATE = 6.0


@dataclasses.dataclass(slots=True)
class Window:
    """Burn over one span of time.

    Args:
        hours: Length of the span.
        requests: Requests in it.
        bad: Requests that missed the objective.
        burn_rate: Share of bad requests over the share that is allowed; 1 uses
            up the budget in exactly its period.
        p50_ms: Median latency of answered requests.
        p99_ms: 99th percentile of answered requests.
    """

    hours: float
    requests: int
    bad: int
    burn_rate: float
    p50_ms: float
    p99_ms: float


@dataclasses.dataclass(slots=True)
class Cause:
    """How many bad requests one cause accounts for.

    Args:
        cause: Such as ``queue``, ``executor`` or a pair of classes.
        data_centre: Where; empty if no data centre answered.
        outcome: Outcome of these requests.
        bad: Number of bad requests.
        share: Share of all bad requests.
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
        objective_ms: Latency that the objective asks for.
        objective_share: Share of requests that must meet it.
        windows: Burn over each window, shortest first.
        budget_left: Share of the budget that is left after the longest window
            on record, 0 to 1.
        exhausted_in_hours: Time until the budget is gone at the burn rate of
            the one-hour window; None if it is not burning.
        verdict: ``ok``, ``ticket`` or ``page``.
        causes: Worst causes first.
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
    """Burn of one service before and after an event."""

    service: str
    before: Window
    after: Window


def count_bad(
    key: histograms.Key, histogram: hdrh.histogram.HdrHistogram, objective_ms: int
) -> int:
    """Return how many requests of a histogram missed the objective.

    Requests that were not answered are all bad.
    """
    if key.outcome != "answered":
        return histogram.total_count
    limit = histogram.get_highest_equivalent_value(objective_ms * 1000)
    good = sum(
        item.count_added_in_this_iter_step
        for item in histogram.get_recorded_iterator()
        if item.value_iterated_to <= limit
    )
    return histogram.total_count - good


def measure_window(
    by_key: Mapping[histograms.Key, hdrh.histogram.HdrHistogram],
    service: str,
    objective: schema.Service,
    *,
    hours: float,
) -> Window:
    """Return the burn of one service over merged histograms."""
    answered = histograms.make_histogram()
    requests = bad = 0
    for key, histogram in by_key.items():
        if key.service != service:
            continue
        requests += histogram.total_count
        bad += count_bad(key, histogram, objective.objective_ms)
        if key.outcome == "answered":
            answered.add(histogram)
    allowed = 1.0 - objective.objective_share
    rate = (bad / requests) / allowed if requests and allowed > 0 else 0.0
    has_answers = answered.total_count > 0
    return Window(
        hours,
        requests,
        bad,
        rate,
        answered.get_value_at_percentile(50) / 1000 if has_answers else 0.0,
        answered.get_value_at_percentile(99) / 1000 if has_answers else 0.0,
    )


def rank_causes(
    by_key: Mapping[histograms.Key, hdrh.histogram.HdrHistogram],
    service: str,
    objective: schema.Service,
) -> list[Cause]:
    """Return the causes of bad requests, the worst first."""
    found = []
    for key, histogram in by_key.items():
        if key.service == service:
            bad = count_bad(key, histogram, objective.objective_ms)
            if bad:
                found.append(Cause(key.cause, key.data_centre, key.outcome, bad, 0.0))
    total = sum(cause.bad for cause in found)
    for cause in found:
        cause.share = cause.bad / total
    return sorted(found, key=lambda c: (-c.bad, c.cause, c.data_centre, c.outcome))


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
        objective: Its settings.
        now_ms: End of all windows, in milliseconds since the Unix epoch.
    """
    windows = []
    by_key: dict[histograms.Key, hdrh.histogram.HdrHistogram] = {}
    for hours in WINDOW_HOURS:
        # Slices are whole minutes, so the open minute belongs to each window.
        from_ms = now_ms - int(hours * MS_PER_HOUR)
        by_key = histograms.merge_slices(slices, from_ms=from_ms, until_ms=now_ms + 1)
        windows.append(measure_window(by_key, service, objective, hours=hours))
    longest = windows[-1]
    used = longest.burn_rate * longest.hours / BUDGET_PERIOD_HOURS
    budget_left = max(0.0, 1.0 - used)
    hourly = windows[1].burn_rate
    left = budget_left * BUDGET_PERIOD_HOURS / hourly if hourly > 0 else None
    return ServiceBurn(
        service,
        objective.objective_ms,
        objective.objective_share,
        windows,
        budget_left,
        left,
        verdict_of(windows),
        rank_causes(by_key, service, objective),
    )


def verdict_of(windows: list[Window]) -> str:
    """Return ``page``, ``ticket`` or ``ok`` from a short and a long window.

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

    Args:
        slices: Latency slices of all instances.
        services: Names and settings.
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
