"""The platform stand-in's usage samples, which arrive late."""

import collections
import dataclasses

from limpetstream import clock
from limpetstream.platform import messages
from standins import executions, faults, fleet

SAMPLE_INTERVAL_S = 1.0
MAX_SAMPLES = 100_000
MAX_SAMPLES_PER_ANSWER = 20_000


@dataclasses.dataclass(slots=True)
class _Taken:
    at: float
    sample: messages.Sample


class UsageRecorder:
    """Samples of attempts, taken here, and of executors, sent by backends.

    Args:
        clock: Source of time.
        switches: Fault switches.
        fleet: Workers to sample.
    """

    def __init__(
        self, *, clock: clock.Clock, switches: faults.Faults, fleet: fleet.Fleet
    ) -> None:
        self._clock = clock
        self._switches = switches
        self._fleet = fleet
        self._taken: collections.deque[_Taken] = collections.deque(maxlen=MAX_SAMPLES)
        self._next_seq = 1
        self._sampled_at = float("-inf")

    def add(self, sample: messages.Sample) -> None:
        """Add a sample and give it its number and time."""
        sample.seq = self._next_seq
        sample.at_ms = self._clock.wall_ms()
        self._next_seq += 1
        self._taken.append(_Taken(self._clock.monotonic(), sample))

    def samples_since(self, seq: int) -> messages.Usage:
        """Return the samples above ``seq`` that are older than the lag."""
        self.sample_attempts()
        visible_until = self._clock.monotonic() - self._switches.usage_lag_ms / 1000
        found: list[messages.Sample] = []
        for taken in self._taken:
            if taken.at > visible_until or len(found) >= MAX_SAMPLES_PER_ANSWER:
                break
            if taken.sample.seq > seq:
                found.append(taken.sample)
        return messages.Usage(found)

    def sample_attempts(self) -> None:
        """Sample all attempts, at most once per sampling period."""
        now = self._clock.monotonic()
        if now < self._sampled_at + SAMPLE_INTERVAL_S:
            return
        self._sampled_at = now
        self._fleet.advance_all(now)
        for worker in self._fleet.worker_by_id.values():
            if worker.dead or worker.paused:
                continue
            for attempt in worker.active_by_attempt:
                self.add(self._sample(worker, attempt))

    def _sample(self, worker: executions.Worker, attempt: str) -> messages.Sample:
        execution = worker.active_by_attempt[attempt]
        start = execution.start
        factor = self._switches.size_factor_by_class.get(start.work_class, 1.0)
        return messages.Sample(
            0,
            0,
            worker.id,
            attempt=attempt,
            cores=start.cores * factor * execution.share,
            memory_gb=start.memory_gb * factor,
            slowdown=worker.slowdown(start.work_class, self._switches, skip=attempt),
        )
