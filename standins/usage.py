"""Simulates the platform's usage samples, which are delivered late."""

import collections
import dataclasses

from limpetstream import clock
from limpetstream.platform import messages
from standins import executions, faults, fleet

SAMPLE_INTERVAL_S = 1.0
MAX_SAMPLES = 100_000  # Older samples are dropped, also if nobody read them.
MAX_SAMPLES_PER_ANSWER = 20_000


@dataclasses.dataclass(slots=True)
class _TimedSample:
    at: float
    sample: messages.Sample


class UsageRecorder:
    """Usage samples of batch attempts and of executors of desk services.

    Attempts are sampled here. The executors are simulated by the backend
    stand-in (``standins.backend``), which sends their samples.

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
        self._samples: collections.deque[_TimedSample] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._next_seq = 1
        self._sampled_at = float("-inf")

    def add(self, sample: messages.Sample) -> None:
        """Add a sample and assign its sequence number and time."""
        sample.seq = self._next_seq
        sample.at_ms = self._clock.wall_ms()
        self._next_seq += 1
        self._samples.append(_TimedSample(self._clock.monotonic(), sample))

    def samples_since(self, seq: int) -> messages.Usage:
        """Return the samples numbered above ``seq`` whose delay has passed."""
        self.sample_attempts()
        visible_until = self._clock.monotonic() - self._switches.usage_lag_ms / 1000
        found: list[messages.Sample] = []
        for timed in self._samples:
            if timed.at > visible_until or len(found) >= MAX_SAMPLES_PER_ANSWER:
                break
            if timed.sample.seq > seq:
                found.append(timed.sample)
        return messages.Usage(found)

    def sample_attempts(self) -> None:
        """Sample all attempts if the last samples are a sampling period old.

        ``standins.platform`` calls this periodically; in a simulation without
        that server, samples are taken only when they are read.
        """
        now = self._clock.monotonic()
        if now < self._sampled_at + SAMPLE_INTERVAL_S:
            return
        self._sampled_at = now
        self._fleet.advance_all(now)
        for worker in self._fleet.worker_by_id.values():
            if worker.dead or worker.paused:
                continue  # Such a worker answers no calls and reports nothing.
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
