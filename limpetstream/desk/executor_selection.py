"""Choice by expected completion time, and ejection of bad executors."""

import dataclasses
import random
import statistics
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

# With a larger weight, the spread of run times hides which executor is slow.
RUN_TIME_WEIGHT = 0.05
# Without answers of its own for this long, an executor's latency is taken
# from the whole service and the usage samples of its worker.
RUN_TIME_VALID_S = 2.0
SLOWDOWN_HALF_LIFE_S = 5.0
INITIAL_RUN_S = 0.05
# Executors slow down a little when their slots fill up.
CROWDING_FACTOR = 0.3

FAILURES_TO_EJECT = 3
SAMPLES_TO_EJECT = 10
# Batch neighbours slow an executor threefold at times. That is left to the
# choice by expected time; ejection would take away capacity just then.
SLOW_FACTOR = 5.0
EJECTION_INITIAL_S = 1.0
EJECTION_MAX_S = 30.0
EXECUTORS_PER_EJECTION = 3
EJECTION_RESET_S = 60.0
RAMP_S = 10.0
MEDIAN_VALID_S = 0.5
RANDOM_DRAWS_MAX = 8

Candidate = TypeVar("Candidate")


def pick_cheaper(
    rng: random.Random,
    candidates: Sequence[Candidate],
    usable: Callable[[Candidate], bool],
    cost: Callable[[Candidate], float],
) -> Candidate | None:
    """Return the cheaper of two random usable candidates.

    Args:
        rng: Random numbers.
        candidates: What may be chosen.
        usable: Tells whether a candidate may be chosen now.
        cost: Expected completion time in seconds.
    """
    found: list[Candidate] = []
    for _ in range(RANDOM_DRAWS_MAX if len(candidates) > RANDOM_DRAWS_MAX else 0):
        each = rng.choice(candidates)
        if usable(each) and not any(each is other for other in found):
            found.append(each)
            if len(found) == 2:
                break
    if len(found) < 2:
        found = [each for each in candidates if usable(each)]
        if len(found) > 2:
            found = rng.sample(found, 2)
    return min(found, key=cost, default=None)


@dataclasses.dataclass(slots=True)
class ExecutorHealth:
    """What is known about one executor.

    Args:
        service: Its desk service.
        run_s: Weighted mean of recent run times.
        last_answer_at: Time of the last answer.
        samples: Answers since it was last ejected.
        failures: Failures in a row.
        slowdown: Interference factor of its worker, from usage samples.
        slowdown_sampled_at: Time of that sample.
        ejected: Whether it gets probes only.
        consecutive_ejections: Ejections in a row; each doubles the time.
        ejected_until: Time of the next probe.
        ramp_started_at: Start of the ramp of its share.
        ramp_duration_s: Length of that ramp.
    """

    service: str
    mean_run_s: float = 0.0
    last_answer_at: float = float("-inf")
    answer_count: int = 0
    consecutive_failures: int = 0
    slowdown: float = 1.0
    slowdown_sampled_at: float = float("-inf")
    ejected: bool = False
    consecutive_ejections: int = 0
    ejected_until: float = float("-inf")
    ramp_started_at: float = float("-inf")
    ramp_duration_s: float = RAMP_S


@dataclasses.dataclass(slots=True)
class HealthTracker:
    """Latency, interference and ejection of the executors of one holder.

    Args:
        by_executor: Records of the executors in the own groups.
        cached_median_by_service: Time and value of the last median of run
            times.
        reference_run_s_by_service: Usual run time over all groups of all
            holders.
    """

    by_executor: dict[str, ExecutorHealth] = dataclasses.field(default_factory=dict)
    cached_median_by_service: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    reference_run_s_by_service: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def track(self, service_by_executor: dict[str, str]) -> None:
        """Know exactly these executors from now on."""
        self.by_executor = {
            key: self.by_executor.get(key) or ExecutorHealth(service)
            for key, service in service_by_executor.items()
        }

    def observe(self, executor: str, *, run_s: float, ok: bool, now: float) -> str:
        """Learn from one answer or failure.

        Returns:
            ``ejected`` or ``returned`` if that changed, otherwise "".
        """
        record = self.by_executor.get(executor)
        if record is None:
            return ""
        record.consecutive_failures = 0 if ok else record.consecutive_failures + 1
        if ok:
            record.answer_count += 1
            weight = (
                RUN_TIME_WEIGHT
                if record.mean_run_s and record.answer_count > 1
                else 1.0
            )
            record.mean_run_s += weight * (run_s - record.mean_run_s)
            record.last_answer_at = now
        median = self.median_run_s(record.service, now)
        if record.ejected:
            return self._judge_probe(record, ok and run_s <= SLOW_FACTOR * median, now)
        failing = record.consecutive_failures >= FAILURES_TO_EJECT
        known = record.service in self.cached_median_by_service
        sure = known and record.answer_count >= SAMPLES_TO_EJECT
        slow = sure and record.mean_run_s > SLOW_FACTOR * median
        if (failing or slow) and self._may_eject(record.service):
            self._eject(record, now)
            return "ejected"
        return ""

    def _judge_probe(self, record: ExecutorHealth, good: bool, now: float) -> str:
        if now < record.ejected_until:
            return ""  # the answer of a request that was sent before the ejection
        if not good:
            self._eject(record, now)
            return ""
        record.ejected = False
        record.mean_run_s = 0.0
        record.answer_count = 0
        self.start_ramp(record, now, RAMP_S)
        return "returned"

    def _eject(self, record: ExecutorHealth, now: float) -> None:
        if now - record.ejected_until > EJECTION_RESET_S:
            record.consecutive_ejections = 0
        seconds = min(
            EJECTION_MAX_S, EJECTION_INITIAL_S * 2**record.consecutive_ejections
        )
        record.consecutive_ejections = min(record.consecutive_ejections + 1, 10)
        record.ejected = True
        record.ejected_until = now + seconds
        record.answer_count = 0

    def _may_eject(self, service: str) -> bool:
        states = [
            each.ejected
            for each in self.by_executor.values()
            if each.service == service
        ]
        return (sum(states) + 1) * EXECUTORS_PER_EJECTION <= len(states)

    def start_ramp(self, record: ExecutorHealth, now: float, seconds: float) -> None:
        """Start a ramp; a longer one under way goes on."""
        if now + seconds > record.ramp_started_at + record.ramp_duration_s:
            record.ramp_started_at, record.ramp_duration_s = now, seconds

    def add_usage_sample(self, executor: str, slowdown: float, at: float) -> None:
        """Take in a usage sample; older ones than the last are dropped.

        Args:
            executor: Executor whose worker was sampled.
            slowdown: Run time there in multiples of that on an idle worker.
            at: Monotonic time at which the sample was taken.
        """
        record = self.by_executor.get(executor)
        if record is not None and at > record.slowdown_sampled_at:
            record.slowdown = max(1.0, slowdown)
            record.slowdown_sampled_at = at

    def allowed_slots(self, executor: str, limit: int, now: float) -> int:
        """Return how many requests may run at an executor now.

        Args:
            executor: Executor.
            limit: Slots that it has.
            now: Monotonic time in seconds.
        """
        record = self.by_executor.get(executor)
        if record is None:
            return 0
        if record.ejected:
            return 1 if now >= record.ejected_until else 0
        share = (now - record.ramp_started_at) / record.ramp_duration_s
        return limit if share >= 1.0 else max(1, int(limit * share))

    def current_slowdown(self, executor: str, now: float) -> float:
        """Return the interference factor, which fades as its sample ages."""
        record = self.by_executor.get(executor)
        if record is None or record.slowdown <= 1.0:
            return 1.0
        age = max(0.0, now - record.slowdown_sampled_at)
        return 1.0 + (record.slowdown - 1.0) * 0.5 ** (age / SLOWDOWN_HALF_LIFE_S)

    def expected_run_s(self, executor: str, now: float) -> float:
        """Return the expected run time of a request at an executor."""
        record = self.by_executor[executor]
        if record.mean_run_s and now - record.last_answer_at <= RUN_TIME_VALID_S:
            return record.mean_run_s
        # The own median would be as old as the executors' own figures, and a
        # group that once was slow would never get work again.
        reference = self.reference_run_s_by_service.get(record.service)
        usual = reference or self.median_run_s(record.service, now)
        return usual * self.current_slowdown(executor, now)

    def expected_completion_s(
        self, executor: str, used: int, limit: int, now: float
    ) -> float:
        """Return the expected completion time, crowding included."""
        return self.expected_run_s(executor, now) * (
            1.0 + CROWDING_FACTOR * used / max(1, limit)
        )

    def median_run_s(self, service: str, now: float) -> float:
        """Return the median run time over the executors of a service."""
        at, value = self.cached_median_by_service.get(
            service, (float("-inf"), INITIAL_RUN_S)
        )
        if now - at < MEDIAN_VALID_S:
            return value
        found = median(self.by_executor.values(), service)
        if found:
            self.cached_median_by_service[service] = (now, found)
        return found or value


def median(records: Iterable[ExecutorHealth], service: str) -> float:
    """Return the median run time of a service; 0 when none is known.

    >>> known = ExecutorHealth("s", mean_run_s=2.0, answer_count=10)
    >>> median([known, ExecutorHealth("s")], "s")
    2.0
    """
    known = [
        each.mean_run_s
        for each in records
        if each.service == service and each.answer_count >= SAMPLES_TO_EJECT
    ]
    return statistics.median(known) if known else 0.0
