"""Records request latencies as histograms of one minute and merges them.

A slice holds the histograms of one instance for one minute. Slices are small
enough to keep in memory and on the log, and they can be merged.
"""

import collections
import dataclasses
import time
from collections.abc import Callable, Iterable

import hdrh.histogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
SLICE_S = 60
# Six hours of closed slices; older slices are on the telemetry stream only.
MAX_CLOSED_SLICES = 360

STREAM = "telemetry"


@dataclasses.dataclass(slots=True, frozen=True)
class Key:
    """Requests that one histogram counts.

    Args:
        service: Desk service.
        outcome: ``answered``, ``not-run``, ``unknown`` or ``failed``.
        cause: Where most of the time went, such as ``queue`` or ``executor``.
        data_centre: Data centre that answered; empty if none answered.
    """

    service: str
    outcome: str
    cause: str
    data_centre: str


@dataclasses.dataclass(slots=True)
class Sample:
    """One encoded latency histogram.

    Args:
        key: Requests that the histogram counts.
        counts: Histogram in the HdrHistogram interchange format (base64).
    """

    key: Key
    counts: str


@dataclasses.dataclass(slots=True)
class Slice:
    """Histograms of one instance for one minute.

    Args:
        instance: Id of the instance that recorded them.
        start_ms: Start of the minute, in milliseconds since the Unix epoch.
        samples: One histogram for each key.
    """

    instance: str
    start_ms: int
    samples: list[Sample]


def make_histogram() -> hdrh.histogram.HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return hdrh.histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@dataclasses.dataclass(slots=True)
class LatencyRecorder:
    """Records the latencies of one instance in slices of one minute.

    Args:
        instance: Id of the instance.
        wall: Returns seconds since the Unix epoch.
        start_s: Start of the open slice, in seconds since the Unix epoch.
        open_by_key: Histograms of the open slice.
        closed: Closed slices, oldest first.
        unsent: Closed slices that are not on the telemetry stream yet.
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
        """Record one request.

        Args:
            service: Desk service.
            milliseconds: Time from the arrival of the request to the end of
                its response.
            outcome: ``answered``, ``not-run``, ``unknown`` or ``failed``.
            cause: Where most of the time went, such as ``queue`` or
                ``executor``.
            data_centre: Data centre that answered; empty if none answered.
        """
        self.rotate()
        key = Key(service, outcome, cause, data_centre)
        histogram = self.open_by_key.get(key)
        if histogram is None:
            histogram = self.open_by_key[key] = make_histogram()
        microseconds = int(milliseconds * 1000)
        histogram.record_value(min(HIGHEST_US, max(LOWEST_US, microseconds)))

    def rotate(self) -> None:
        """Close the open slice if its minute is over."""
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
        """Return the closed slices and the current state of the open one."""
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
    """Merge the slices of several instances and minutes.

    The same slice may come from the log and from the instance itself. Of each
    histogram that occurs twice, the one with more counts is used.

    Args:
        slices: Slices of any instances, in any order.
        from_ms: Start of the range, in milliseconds since the Unix epoch;
            earlier slices are ignored.
        until_ms: End of the range, exclusive; later slices are ignored.

    Returns:
        One histogram for each key.
    """
    fullest_by_origin: dict[tuple[str, int, Key], hdrh.histogram.HdrHistogram] = {}
    for slice_ in slices:
        if not from_ms <= slice_.start_ms < until_ms:
            continue
        for sample in slice_.samples:
            decoded = hdrh.histogram.HdrHistogram.decode(sample.counts)
            origin = (slice_.instance, slice_.start_ms, sample.key)
            fullest = fullest_by_origin.get(origin)
            if fullest is None or decoded.total_count > fullest.total_count:
                fullest_by_origin[origin] = decoded
    merged: dict[Key, hdrh.histogram.HdrHistogram] = {}
    for (_, _, key), histogram in sorted(
        fullest_by_origin.items(), key=lambda item: (item[0][1], item[0][0])
    ):
        merged.setdefault(key, make_histogram()).add(histogram)
    return merged
