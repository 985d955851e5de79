"""Models desk executors on workers that also run batch tasks.

The batch tasks slow the executors down; usage samples are reported late.
"""

import dataclasses
import random

from bench import _batch_world, _platform_fakes
from standins import virtual_time

BASE_MS = 50.0
SAMPLE_INTERVAL_S = 1.0
REQUESTS_PER_SAMPLE = 5
"""Requests per executor and sample."""


@dataclasses.dataclass(slots=True)
class Sample:
    """One usage sample, either of a batch attempt or of an executor."""

    seq: int
    at_ms: float
    worker: str
    attempt: str = ""
    executor: str = ""
    cores: float = 0.0
    memory_gb: float = 0.0
    slowdown: float = 0.0
    latency_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class DeskExecutors:
    """Executors whose latency depends on the batch tasks on their worker.

    Args:
        world: Deployment with the workers and the virtual time.
        slowdown_per_core_by_class: Slowdown that each used core of a work
            class adds.
        sample_lag_s: Age of a sample when it is first reported, in seconds.
        used_core_share: Cores that an attempt uses, relative to the cores that
            its task declares.
        samples: All samples so far, in order.
        latencies: Virtual time in seconds and latency in milliseconds of every
            request.
        rng: Source of the noise of latencies.
    """

    world: _batch_world.World
    slowdown_per_core_by_class: dict[str, float]
    sample_lag_s: float
    used_core_share: float = 1.0
    samples: list[Sample] = dataclasses.field(default_factory=list)
    latencies: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    rng: random.Random = dataclasses.field(default_factory=lambda: random.Random(9))
    taken_at: float = -1.0

    def read_samples(self, since: int) -> list[Sample]:
        """Return the samples reported by now and numbered above ``since``."""
        newest_ms = (
            virtual_time.EPOCH_S + self.world.loop.time() - self.sample_lag_s
        ) * 1000
        first = max(0, since)
        reported = []
        for sample in self.samples[first:]:
            if sample.at_ms > newest_ms:
                break
            reported.append(sample)
        return reported

    def take_samples(self) -> None:
        """Sample all attempts and executors once."""
        for worker in self.world.worker_by_id.values():
            slowdown = 1.0
            for run in worker.runs():
                if run.running:
                    cores = (
                        run.start_request["cores"]
                        * self.used_core_share
                        * run.cpu_share
                    )
                    slowdown += (
                        self.slowdown_per_core_by_class.get(
                            run.start_request["class"], 0.0
                        )
                        * cores
                    )
                    self._add_task(worker, run, cores)
            executor = f"x-{worker.instance.id}"
            if executor in self.world.directory.by_id:
                self._add_executor(worker, executor, slowdown)

    def _at_ms(self) -> float:
        return (virtual_time.EPOCH_S + self.world.loop.time()) * 1000

    def _add_task(
        self,
        worker: _platform_fakes.Worker,
        run: _platform_fakes.AttemptRun,
        cores: float,
    ) -> None:
        self.samples.append(
            Sample(
                len(self.samples) + 1,
                self._at_ms(),
                worker.instance.id,
                attempt=run.start_request["attempt"],
                cores=cores,
                memory_gb=run.start_request["memory_gb"] * 0.9,
            )
        )

    def _add_executor(
        self, worker: _platform_fakes.Worker, executor: str, slowdown: float
    ) -> None:
        now = self.world.loop.time()
        total = 0.0
        for _ in range(REQUESTS_PER_SAMPLE):
            latency = BASE_MS * slowdown * self.rng.lognormvariate(0.0, 0.15)
            self.latencies.append((now, latency))
            total += latency
        self.samples.append(
            Sample(
                len(self.samples) + 1,
                self._at_ms(),
                worker.instance.id,
                executor=executor,
                slowdown=total / REQUESTS_PER_SAMPLE / BASE_MS,
                latency_ms=total / REQUESTS_PER_SAMPLE,
            )
        )

    def p99(self, start_s: float, end_s: float) -> float:
        """Return the p99 latency of an interval in ms; 0 without requests."""
        latencies_ms = sorted(
            ms for at_s, ms in self.latencies if start_s <= at_s < end_s
        )
        return latencies_ms[int(len(latencies_ms) * 0.99)] if latencies_ms else 0.0


def completed_core_s(world: _batch_world.World) -> float:
    """Return the core seconds of work that is done.

    Of a task that ran several times, the attempt that got furthest counts.
    """
    total = 0.0
    for runs in world.monitor.runs_by_task.values():
        most_done_s = 0.0
        for worker, run in runs:
            worker.advance(run, world.loop.time())
            most_done_s = max(most_done_s, run.done_s)
        total += most_done_s * runs[0][1].start_request["cores"]
    return total
