"""Latency slices and raw samples for tests of the report."""

import dataclasses

from hypothesis import strategies

from limpetstream.settings import schema
from limpetstream.telemetry import histograms

NOW_MS = 1_800_000_000_000
MINUTE_MS = 60_000
OBJECTIVE = schema.Service(objective_ms=200, objective_share=0.9)


@dataclasses.dataclass(slots=True)
class Raw:
    """One request as it was measured."""

    at_ms: int
    milliseconds: float
    outcome: str
    cause: str
    instance: str


def raw_requests() -> strategies.SearchStrategy[list[Raw]]:
    """Return requests of up to eight hours at three instances."""
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
    """Record requests as the instances do, and return all their slices."""
    found = []
    for instance in ("e1", "e2", "e3"):
        own = sorted(
            (each for each in requests if each.instance == instance),
            key=lambda each: each.at_ms,
        )
        moment = [0.0]
        latencies = histograms.LatencyRecorder(
            instance, lambda moment=moment: moment[0]
        )
        for each in own:
            moment[0] = (NOW_MS + each.at_ms) / 1000
            latencies.record(
                service,
                each.milliseconds,
                outcome=each.outcome,
                cause=each.cause,
                data_centre="gl-erie" if each.outcome == "answered" else "",
            )
        found += latencies.slices()
    return found
