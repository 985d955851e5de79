"""Executor selection by expected completion time, with outlier ejection."""

import dataclasses
import random
import statistics
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

# Weight of a new run time in the mean. With a larger weight, the spread of run
# times hides which executor is slow.
RUN_TIME_WEIGHT = 0.05
# If an executor has not answered for this long, its run time is estimated from
# the whole service and the usage samples of its worker.
MAX_RUN_TIME_AGE_S = 2.0
SLOWDOWN_HALF_LIFE_S = 5.0
# Run time that is assumed before any is known.
INITIAL_RUN_S = 0.05
# Relative slowdown of an executor whose slots are all in use.
CROWDING_FACTOR = 0.3

FAILURES_TO_EJECT = 3
ANSWERS_TO_EJECT = 10
# An executor is ejected if its mean run time exceeds the median by this
# factor. Batch tasks on the same worker may slow an executor threefold.
# Selection by expected time handles that; an ejection would remove capacity
# when it is most needed.
SLOW_FACTOR = 5.0
# Each ejection in a row lasts twice as long as the one before, up to a bound.
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# One executor may be ejected for every so many executors of a service.
EXECUTORS_PER_EJECTION = 3
# An ejection that begins this long after the last one ended is a first one.
EJECTION_RESET_S = 60.0
# Time in which a returned executor gets back all of its slots.
RAMP_S = 10.0
MAX_MEDIAN_AGE_S = 0.5
# Draws in search of two usable candidates before all candidates are checked.
MAX_RANDOM_DRAWS = 8

Candidate = TypeVar("Candidate")


def pick_cheaper(
    rng: random.Random,
    candidates: Sequence[Candidate],
    usable: Callable[[Candidate], bool],
    cost: Callable[[Candidate], float],
) -> Candidate | None:
    """Return the cheaper of two random usable candidates.

    Args:
        rng: Source of random numbers.
        candidates: Candidates, usable or not.
        usable: Tells whether a candidate may be chosen now.
        cost: Returns the expected completion time of a candidate, in seconds.

    Returns:
        The candidate, or None when none is usable.
    """
    drawn: list[Candidate] = []
    for _ in range(MAX_RANDOM_DRAWS if len(candidates) > MAX_RANDOM_DRAWS else 0):
        candidate = rng.choice(candidates)
        if usable(candidate) and not any(candidate is other for other in drawn):
            drawn.append(candidate)
            if len(drawn) == 2:
                break
    if len(drawn) < 2:
        drawn = [candidate for candidate in candidates if usable(candidate)]
        if len(drawn) > 2:
            drawn = rng.sample(drawn, 2)
    return min(drawn, key=cost, default=None)


@dataclasses.dataclass(slots=True)
class ExecutorHealth:
    """Latency, failures and ejection of one executor; times are monotonic.

    Args:
        service: Name of its desk service.
        mean_run_s: Exponentially weighted mean of recent run times; 0 when
            none is known.
        last_answer_at: Time of the last answer.
        answer_count: Answers since the last ejection or return.
        consecutive_failures: Failures since the last answer.
        slowdown: Interference factor of its worker, from usage samples.
        slowdown_sampled_at: Time of that sample.
        ejected: Whether the executor gets probes only.
        consecutive_ejections: Ejections in a row; each doubles the time until
            the next probe.
        ejected_until: Time from which a probe may be sent.
        ramp_started_at: Start of the ramp that raises its slot limit.
        ramp_duration_s: Length of that ramp in seconds.
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
    """Health of the executors of one holder.

    Args:
        by_executor: Health by executor id.
        cached_median_by_service: Time and value of the last median of run
            times.
        reference_run_s_by_service: Typical run time in seconds over the groups
            of all holders.
    """

    by_executor: dict[str, ExecutorHealth] = dataclasses.field(default_factory=dict)
    cached_median_by_service: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    reference_run_s_by_service: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def track(self, service_by_executor: dict[str, str]) -> None:
        """Track exactly these executors from now on.

        Args:
            service_by_executor: Name of the service by executor id.
        """
        self.by_executor = {
            key: self.by_executor.get(key) or ExecutorHealth(service)
            for key, service in service_by_executor.items()
        }

    def observe(
        self, executor: str, *, run_s: float, answered: bool, now: float
    ) -> str:
        """Update the health of an executor after an answer or a failure.

        Args:
            executor: Id of the executor.
            run_s: Seconds from the send to the end.
            answered: Whether the executor answered without an error.
            now: Monotonic time in seconds.

        Returns:
            ``ejected`` or ``returned`` if the executor was just ejected or
            returned, otherwise "".
        """
        health = self.by_executor.get(executor)
        if health is None:
            return ""
        health.consecutive_failures = 0 if answered else health.consecutive_failures + 1
        if answered:
            health.answer_count += 1
            weight = (
                RUN_TIME_WEIGHT
                if health.mean_run_s and health.answer_count > 1
                else 1.0
            )
            health.mean_run_s += weight * (run_s - health.mean_run_s)
            health.last_answer_at = now
        median = self.median_run_s(health.service, now)
        if health.ejected:
            return self._handle_probe_result(
                health, answered and run_s <= SLOW_FACTOR * median, now
            )
        fails = health.consecutive_failures >= FAILURES_TO_EJECT
        median_known = health.service in self.cached_median_by_service
        enough_answers = median_known and health.answer_count >= ANSWERS_TO_EJECT
        slow = enough_answers and health.mean_run_s > SLOW_FACTOR * median
        if (fails or slow) and self._may_eject(health.service):
            self._eject(health, now)
            return "ejected"
        return ""

    def _handle_probe_result(
        self, health: ExecutorHealth, passed: bool, now: float
    ) -> str:
        if now < health.ejected_until:
            return ""  # This request was sent before the ejection.
        if not passed:
            self._eject(health, now)
            return ""
        health.ejected = False
        health.mean_run_s = 0.0
        health.answer_count = 0
        self.start_ramp(health, now, RAMP_S)
        return "returned"

    def _eject(self, health: ExecutorHealth, now: float) -> None:
        if now - health.ejected_until > EJECTION_RESET_S:
            health.consecutive_ejections = 0
        seconds = min(
            MAX_EJECTION_S, FIRST_EJECTION_S * 2**health.consecutive_ejections
        )
        health.consecutive_ejections = min(health.consecutive_ejections + 1, 10)
        health.ejected = True
        health.ejected_until = now + seconds
        health.answer_count = 0

    def _may_eject(self, service: str) -> bool:
        ejected_flags = [
            health.ejected
            for health in self.by_executor.values()
            if health.service == service
        ]
        return (sum(ejected_flags) + 1) * EXECUTORS_PER_EJECTION <= len(ejected_flags)

    def start_ramp(self, health: ExecutorHealth, now: float, seconds: float) -> None:
        """Raise the slot limit gradually, unless a longer ramp is under way.

        Args:
            health: Executor whose slot limit is raised.
            now: Monotonic time in seconds.
            seconds: Length of the ramp.
        """
        if now + seconds > health.ramp_started_at + health.ramp_duration_s:
            health.ramp_started_at, health.ramp_duration_s = now, seconds

    def add_usage_sample(self, executor: str, slowdown: float, at: float) -> None:
        """Record a usage sample unless it is older than the last one.

        Args:
            executor: Id of the executor whose worker was sampled.
            slowdown: Run time there in multiples of that on an idle worker.
            at: Monotonic time in seconds at which the sample was taken.
        """
        health = self.by_executor.get(executor)
        if health is not None and at > health.slowdown_sampled_at:
            health.slowdown = max(1.0, slowdown)
            health.slowdown_sampled_at = at

    def allowed_slots(self, executor: str, limit: int, now: float) -> int:
        """Return how many requests may run at an executor at the same time.

        Args:
            executor: Id of the executor.
            limit: Number of its slots.
            now: Monotonic time in seconds.
        """
        health = self.by_executor.get(executor)
        if health is None:
            return 0
        if health.ejected:
            return 1 if now >= health.ejected_until else 0
        # The difference of two times may be a little less than the duration.
        if now >= health.ramp_started_at + health.ramp_duration_s:
            return limit
        ramp_share = (now - health.ramp_started_at) / health.ramp_duration_s
        return max(1, int(limit * ramp_share))

    def current_slowdown(self, executor: str, now: float) -> float:
        """Return the interference factor, which decays as its sample ages."""
        health = self.by_executor.get(executor)
        if health is None or health.slowdown <= 1.0:
            return 1.0
        age_s = max(0.0, now - health.slowdown_sampled_at)
        return 1.0 + (health.slowdown - 1.0) * 0.5 ** (age_s / SLOWDOWN_HALF_LIFE_S)

    def expected_run_s(self, executor: str, now: float) -> float:
        """Return the expected run time of a request in seconds."""
        health = self.by_executor[executor]
        if health.mean_run_s and now - health.last_answer_at <= MAX_RUN_TIME_AGE_S:
            return health.mean_run_s
        # The median over this holder's executors would be as old as their own
        # figures, so a group that was once slow would never get work again.
        reference = self.reference_run_s_by_service.get(health.service)
        typical_run_s = reference or self.median_run_s(health.service, now)
        return typical_run_s * self.current_slowdown(executor, now)

    def expected_completion_s(
        self, executor: str, used: int, limit: int, now: float
    ) -> float:
        """Return the expected completion time in seconds at the current use.

        Args:
            executor: Id of the executor.
            used: Slots in use.
            limit: Number of its slots.
            now: Monotonic time in seconds.
        """
        return self.expected_run_s(executor, now) * (
            1.0 + CROWDING_FACTOR * used / max(1, limit)
        )

    def median_run_s(self, service: str, now: float) -> float:
        """Return the median run time of a service in seconds.

        The value is cached for ``MAX_MEDIAN_AGE_S``.
        """
        at, cached = self.cached_median_by_service.get(
            service, (float("-inf"), INITIAL_RUN_S)
        )
        if now - at < MAX_MEDIAN_AGE_S:
            return cached
        current = median(self.by_executor.values(), service)
        if current:
            self.cached_median_by_service[service] = (now, current)
        return current or cached


def median(healths: Iterable[ExecutorHealth], service: str) -> float:
    """Return the median run time of a service in seconds; 0 if unknown.

    >>> health = ExecutorHealth("s", mean_run_s=2.0, answer_count=10)
    >>> median([health, ExecutorHealth("s")], "s")
    2.0
    """
    run_times_s = [
        health.mean_run_s
        for health in healths
        if health.service == service and health.answer_count >= ANSWERS_TO_EJECT
    ]
    return statistics.median(run_times_s) if run_times_s else 0.0
