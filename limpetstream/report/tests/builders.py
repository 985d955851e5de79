"""Raw requests, and the latency slices recorded from them."""

import dataclasses

from hypothesis import strategies

from limpetstream.settings import schema
from limpetstream.telemetry import histograms

NOW_MS = 1_800_000_000_000
MINUTE_MS = 60_000
OBJECTIVE = schema.Service(objective_ms=200, objective_share=0.9)


@dataclasses.dataclass(slots=True)
class Raw:
    """One request, before it is recorded in a histogram.

    Args:
        at_ms: Time of the request, relative to ``NOW_MS``.
        milliseconds: Latency.
        outcome: Outcome, as in ``histograms.Key``.
        cause: Cause, likewise.
        instance: Instance that recorded the request.
    """

    at_ms: int
    milliseconds: float
    outcome: str
    cause: str
    instance: str


def raw_requests() -> strategies.SearchStrategy[list[Raw]]:
    """Return a strategy for requests of eight hours at three instances."""
    outcomes = ["answered", "answered", "answered", "not-run", "unknown", "failed"]
    request = strategies.builds(
        Raw,
        strategies.integers(-8 * 60, -1).map(lambda minute: minute * MINUTE_MS),
        strategies.floats(0.5, 2000),
        strategies.sampled_from(outcomes),
        strategies.sampled_from(["queue", "executor", "interference"]),
        strategies.sampled_from(["e1", "e2", "e3"]),
    )
    return strategies.lists(request, max_size=60)


def slices_of(
    requests: list[Raw], service: str = "recover-desk"
) -> list[histograms.Slice]:
    """Record requests as their instances would; return all slices."""
    slices = []
    for instance in ("e1", "e2", "e3"):
        instance_requests = sorted(
            (each for each in requests if each.instance == instance),
            key=lambda each: each.at_ms,
        )
        wall_s = [0.0]
        latencies = histograms.LatencyRecorder(
            instance, lambda wall_s=wall_s: wall_s[0]
        )
        for each in instance_requests:
            wall_s[0] = (NOW_MS + each.at_ms) / 1000
            latencies.record(
                service,
                each.milliseconds,
                outcome=each.outcome,
                cause=each.cause,
                data_centre="gl-erie" if each.outcome == "answered" else "",
            )
        slices += latencies.slices()
    return slices
