"""Policy that throttles or evicts batch tasks that slow down desk services.

Tasks are throttled first, and checkpointed and evicted only if that does not
help. Because usage samples arrive late, throttling may rely on the slowdown
learned earlier. An eviction needs several samples that were all taken after
the last throttle.
"""

import dataclasses
import math

from limpetstream.batch import usage_estimates

THROTTLE_SLOWDOWN = 1.35
RELEASE_SLOWDOWN = 1.15
"""Tasks are throttled above the first and released below the second."""

EVICT_SLOWDOWN = 1.8
UNEXPLAINED_SLOWDOWN = 0.2
"""Slowdown in excess of the predicted one that justifies a throttle."""

MIN_TASK_SLOWDOWN = 0.05
"""Tasks that are expected to cause less slowdown are not throttled."""

# Time since the last action on a worker after which tasks may be throttled,
# released and evicted.
DWELL_S = 3.0
RELEASE_DWELL_S = 15.0
EVICT_DWELL_S = 20.0
EVICT_SAMPLES = 5
"""Samples over the threshold since the last action that allow an eviction."""

# Least share of its processors that a throttle leaves a task.
MIN_SHARE = 0.25
# Age at which a sample counts half in the smoothed slowdown.
SMOOTH_HALF_LIFE_S = 4.0
MAX_SAMPLE_AGE_S = 30.0
"""Older samples are ignored; only learned slowdowns count then."""


@dataclasses.dataclass(slots=True)
class ColocatedTask:
    """A batch task on a worker with desk services.

    Args:
        task: Id of the task.
        work_class: Its work class.
        cores: Processors that it uses without a throttle.
        share: Share of them that its throttle leaves it now.
        evictable: Whether it may be evicted.
    """

    task: str
    work_class: str
    cores: float
    share: float = 1.0
    evictable: bool = True


@dataclasses.dataclass(slots=True)
class Action:
    """One action on a task: ``throttle`` to a share, or ``evict``."""

    task: str
    kind: str
    share: float = 1.0


@dataclasses.dataclass(slots=True)
class SlowdownTracker:
    """Slowdown of the desk services on one worker.

    Args:
        slowdown: Smoothed slowdown of the services.
        last_sample_at: Sample time of the newest sample, in wall seconds.
        last_action_at: Wall time of the last action.
        high_samples: Consecutive samples over the eviction threshold, all
            taken after the last action.
    """

    slowdown: float = 1.0
    last_sample_at: float = -math.inf
    last_action_at: float = -math.inf
    high_samples: int = 0

    def add(self, slowdown: float, at_s: float) -> None:
        """Add a sample, unless it is older than the newest one."""
        if at_s <= self.last_sample_at or not math.isfinite(slowdown):
            return
        decay = 0.5 ** ((at_s - self.last_sample_at) / SMOOTH_HALF_LIFE_S)
        self.slowdown = slowdown + (self.slowdown - slowdown) * decay
        self.last_sample_at = at_s
        if at_s > self.last_action_at:
            high = slowdown > EVICT_SLOWDOWN
            self.high_samples = self.high_samples + 1 if high else 0

    def observed_slowdown(self, now: float) -> float:
        """Return the smoothed slowdown, or 1 if it is out of date.

        Samples from before the last action do not show its effect.
        """
        stale = (
            now - self.last_sample_at > MAX_SAMPLE_AGE_S
            or self.last_sample_at <= self.last_action_at
        )
        return 1.0 if stale else self.slowdown

    def record_action(self, now: float) -> None:
        """Record that an action was taken."""
        self.last_action_at = now
        self.high_samples = 0


def excess_slowdown(
    model: usage_estimates.UsageModel, services: tuple[str, ...], task: ColocatedTask
) -> float:
    """Return the excess slowdown that a task causes without a throttle."""
    return model.slowdown(services, task.work_class, task.cores) - 1.0


def predicted_slowdown(
    model: usage_estimates.UsageModel,
    services: tuple[str, ...],
    colocated: list[ColocatedTask],
) -> float:
    """Return the slowdown that all tasks cause under their throttles."""
    return 1.0 + sum(
        excess_slowdown(model, services, task) * task.share for task in colocated
    )


def decide(
    tracker: SlowdownTracker,
    services: tuple[str, ...],
    colocated: list[ColocatedTask],
    model: usage_estimates.UsageModel,
    now: float,
) -> list[Action]:
    """Return the actions to take now on one worker.

    Args:
        tracker: Slowdown of the services; the caller records the actions.
        services: Desk services with an executor on the worker.
        colocated: Batch tasks on the worker.
        model: Learned slowdowns.
        now: Wall time in seconds, comparable with sample times.
    """
    if not services or not colocated or now - tracker.last_action_at < DWELL_S:
        return []
    expected = predicted_slowdown(model, services, colocated)
    slowdown = max(expected, tracker.observed_slowdown(now))
    if slowdown > THROTTLE_SLOWDOWN:
        return _restrict(tracker, services, colocated, model, now)
    if slowdown < RELEASE_SLOWDOWN and now - tracker.last_action_at >= RELEASE_DWELL_S:
        return _release(services, colocated, model, expected)
    return []


def _restrict(
    tracker: SlowdownTracker,
    services: tuple[str, ...],
    colocated: list[ColocatedTask],
    model: usage_estimates.UsageModel,
    now: float,
) -> list[Action]:
    order = sorted(
        colocated,
        key=lambda task: (
            excess_slowdown(model, services, task),
            task.cores,
            task.task,
        ),
        reverse=True,
    )
    observed = tracker.observed_slowdown(now)
    actions = _throttle(services, colocated, order, model, observed)
    if actions:
        return actions
    ready = (
        tracker.high_samples >= EVICT_SAMPLES
        and observed > EVICT_SLOWDOWN
        and now - tracker.last_action_at >= EVICT_DWELL_S
    )
    evictable = [task for task in order if task.evictable]
    return [Action(evictable[0].task, "evict")] if ready and evictable else []


def _throttle(
    services: tuple[str, ...],
    colocated: list[ColocatedTask],
    order: list[ColocatedTask],
    model: usage_estimates.UsageModel,
    observed: float,
) -> list[Action]:
    """Throttle the worst tasks until the predicted slowdown is acceptable."""
    expected = predicted_slowdown(model, services, colocated)
    unexplained = observed - expected
    throttleable = [task for task in order if task.share > MIN_SHARE]
    actions = []
    for task in throttleable:
        excess = excess_slowdown(model, services, task)
        if expected <= THROTTLE_SLOWDOWN or excess < MIN_TASK_SLOWDOWN:
            break
        needed = task.share - (expected - RELEASE_SLOWDOWN) / excess
        share = min(task.share / 2, max(MIN_SHARE, needed))
        share = max(MIN_SHARE, share)
        expected -= excess * (task.share - share)
        actions.append(Action(task.task, "throttle", share))
    if not actions and throttleable and unexplained > UNEXPLAINED_SLOWDOWN:
        # The cause is not learned yet, so halve the share of the most likely
        # task only.
        first = throttleable[0]
        share = max(MIN_SHARE, first.share / 2)
        actions.append(Action(first.task, "throttle", share))
    return actions


def _release(
    services: tuple[str, ...],
    colocated: list[ColocatedTask],
    model: usage_estimates.UsageModel,
    expected: float,
) -> list[Action]:
    """Relax one throttle, if that is not expected to cause a new one."""
    throttled = [task for task in colocated if task.share < 1.0]
    throttled.sort(key=lambda task: (excess_slowdown(model, services, task), task.task))
    for task in throttled:
        share = min(1.0, task.share * 2)
        excess = excess_slowdown(model, services, task)
        if expected + excess * (share - task.share) < THROTTLE_SLOWDOWN:
            return [Action(task.task, "throttle", share)]
    return []
