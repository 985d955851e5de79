"""Latency histograms in slices of time, small enough to keep and to merge."""

import collections
import dataclasses
import time
from collections.abc import Callable, Iterable

import hdrh.histogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
SLICE_S = 60
# Six hours of closed slices; older ones are on the telemetry stream.
MAX_CLOSED_SLICES = 360

STREAM = "telemetry"


@dataclasses.dataclass(slots=True, frozen=True)
class Key:
    """What one histogram counts.

    Args:
        service: Desk service.
        outcome: ``answered``, ``not-run``, ``unknown`` or ``failed``.
        cause: What took longest, such as ``queue`` or ``executor``.
        data_centre: Data centre that answered; empty if none did.
    """

    service: str
    outcome: str
    cause: str
    data_centre: str


@dataclasses.dataclass(slots=True)
class Sample:
    """One encoded histogram.

    Args:
        key: What it counts.
        counts: Histogram in the interchange format of HdrHistogram (base64).
    """

    key: Key
    counts: str


@dataclasses.dataclass(slots=True)
class Slice:
    """Histograms of one instance over one span of time.

    Args:
        instance: Instance that recorded them.
        start_ms: First millisecond of the span, since the Unix epoch.
        samples: One histogram for each key.
    """

    instance: str
    start_ms: int
    samples: list[Sample]


def make_histogram() -> hdrh.histogram.HdrHistogram:
    """Return an empty histogram of microseconds."""
    return hdrh.histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@dataclasses.dataclass(slots=True)
class LatencyRecorder:
    """Latencies of one instance: the open slice and the closed ones.

    Args:
        instance: Id of the instance.
        wall: Seconds since the Unix epoch.
    """

    instance: str = ""
    wall: Callable[[], float] = time.time
    start_s: int = 0
    open_by_key: dict[Key, hdrh.histogram.HdrHistogram] = dataclasses.field(
        default_factory=dict
    )
    closed: collections.deque[Slice] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_CLOSED_SLICES)
    )
    unsent: collections.deque[Slice] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_CLOSED_SLICES)
    )

    def record(
        self,
        service: str,
        milliseconds: float,
        *,
        outcome: str,
        cause: str,
        data_centre: str,
    ) -> None:
        """Add one request, from its arrival to the end of its answer.

        Args:
            service: Desk service.
            milliseconds: Latency that the caller saw.
            outcome: ``answered``, ``not-run``, ``unknown`` or ``failed``.
            cause: What took longest, such as ``queue`` or ``executor``.
            data_centre: Data centre that answered; empty if none did.
        """
        self.rotate()
        key = Key(service, outcome, cause, data_centre)
        histogram = self.open_by_key.get(key)
        if histogram is None:
            histogram = self.open_by_key[key] = make_histogram()
        microseconds = int(milliseconds * 1000)
        histogram.record_value(min(HIGHEST_US, max(LOWEST_US, microseconds)))

    def rotate(self) -> None:
        """Close the open slice if its time is over."""
        start_s = int(self.wall()) // SLICE_S * SLICE_S
        if start_s == self.start_s:
            return
        if self.open_by_key:
            closed = self._encode_open()
            self.closed.append(closed)
            self.unsent.append(closed)
            self.open_by_key = {}
        self.start_s = start_s

    def slices(self) -> list[Slice]:
        """Return the closed slices and the open one as it stands."""
        self.rotate()
        current = [self._encode_open()] if self.open_by_key else []
        return [*self.closed, *current]

    def _encode_open(self) -> Slice:
        samples = [
            Sample(key, histogram.encode().decode())
            for key, histogram in self.open_by_key.items()
        ]
        return Slice(self.instance, self.start_s * 1000, samples)


def merge_slices(
    slices: Iterable[Slice], *, from_ms: int = 0, until_ms: int = 1 << 62
) -> dict[Key, hdrh.histogram.HdrHistogram]:
    """Merge slices over instances and time.

    The same slice of an instance may come from the log and from the instance
    itself; the one with more counts is used.

    Args:
        slices: Slices of any instances.
        from_ms: Slices that start earlier are left out.
        until_ms: Slices that start at or after this are left out.

    Returns:
        One histogram for each key.
    """
    best_by_place: dict[tuple[str, int, Key], hdrh.histogram.HdrHistogram] = {}
    for part in slices:
        if not from_ms <= part.start_ms < until_ms:
            continue
        for sample in part.samples:
            decoded = hdrh.histogram.HdrHistogram.decode(sample.counts)
            place = (part.instance, part.start_ms, sample.key)
            known = best_by_place.get(place)
            if known is None or decoded.total_count > known.total_count:
                best_by_place[place] = decoded
    merged: dict[Key, hdrh.histogram.HdrHistogram] = {}
    for (_, _, key), histogram in sorted(
        best_by_place.items(), key=lambda item: (item[0][1], item[0][0])
    ):
        merged.setdefault(key, make_histogram()).add(histogram)
    return merged
