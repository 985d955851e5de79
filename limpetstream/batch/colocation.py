"""Steps against batch tasks that slow the desk services on their worker.

The holder throttles first, then checkpoints and evicts. Throttling may act on
what was learned about a pair before, since usage arrives late; an eviction
needs several samples that were all taken after the last throttle.
"""

import dataclasses
import math

from limpetstream.batch import usage_estimates

THROTTLE_SLOWDOWN = 1.35
RELEASE_SLOWDOWN = 1.15
"""Slowdowns of a desk service between which nothing changes."""

EVICT_SLOWDOWN = 1.8
UNEXPLAINED_SLOWDOWN = 0.2
"""Slowdown beyond the learned one for which a task without blame is held."""

MIN_TASK_SLOWDOWN = 0.05
"""Tasks that are expected to cause less are not worth a throttle."""

DWELL_S = 3.0
RELEASE_DWELL_S = 15.0
EVICT_DWELL_S = 20.0
EVICT_SAMPLES = 5
"""Samples over the threshold, taken since the last step, before evicting."""

MIN_SHARE = 0.25
SMOOTH_HALF_LIFE_S = 4.0
MAX_SAMPLE_AGE_S = 30.0
"""Without samples for this long, only what was learned counts."""


@dataclasses.dataclass(slots=True)
class ColocatedTask:
    """A batch task on the worker.

    Args:
        task: Id of the task.
        work_class: Its class.
        cores: Processors that it uses without a throttle.
        share: Share of them that it has now.
        movable: Whether it may be evicted.
    """

    task: str
    work_class: str
    cores: float
    share: float = 1.0
    evictable: bool = True


@dataclasses.dataclass(slots=True)
class Action:
    """One step: ``throttle`` to a share, or ``evict``."""

    task: str
    kind: str
    share: float = 1.0


@dataclasses.dataclass(slots=True)
class SlowdownTracker:
    """What is known of the desk services on one worker.

    Args:
        slowdown: Smoothed slowdown of the worst service.
        sample_at: Sample time of the newest sample, in wall seconds.
        acted_at: Wall time of the last step.
        high_samples: Samples over the eviction threshold in a row, all taken
            after the last step.
    """

    slowdown: float = 1.0
    last_sample_at: float = -math.inf
    last_action_at: float = -math.inf
    high_samples: int = 0

    def add(self, slowdown: float, at_s: float) -> None:
        """Add a sample; one that is older than the newest is ignored."""
        if at_s <= self.last_sample_at or not math.isfinite(slowdown):
            return
        keep = 0.5 ** ((at_s - self.last_sample_at) / SMOOTH_HALF_LIFE_S)
        self.slowdown = slowdown + (self.slowdown - slowdown) * keep
        self.last_sample_at = at_s
        if at_s > self.last_action_at:
            high = slowdown > EVICT_SLOWDOWN
            self.high_samples = self.high_samples + 1 if high else 0

    def observed_slowdown(self, now: float) -> float:
        """Return the smoothed slowdown, or 1 if it says nothing any more.

        Samples from before the last step do not show what the step did.
        """
        stale = (
            now - self.last_sample_at > MAX_SAMPLE_AGE_S
            or self.last_sample_at <= self.last_action_at
        )
        return 1.0 if stale else self.slowdown

    def record_action(self, now: float) -> None:
        """Take note of a step."""
        self.last_action_at = now
        self.high_samples = 0


def excess_slowdown(
    model: usage_estimates.UsageModel, services: tuple[str, ...], one: ColocatedTask
) -> float:
    """Return the excess slowdown that a task causes without a throttle."""
    return model.slowdown(services, one.work_class, one.cores) - 1.0


def predicted_slowdown(
    model: usage_estimates.UsageModel,
    services: tuple[str, ...],
    neighbours: list[ColocatedTask],
) -> float:
    """Return the slowdown expected from all tasks with their throttles."""
    return 1.0 + sum(
        excess_slowdown(model, services, one) * one.share for one in neighbours
    )


def decide(
    tracker: SlowdownTracker,
    services: tuple[str, ...],
    neighbours: list[ColocatedTask],
    model: usage_estimates.UsageModel,
    now: float,
) -> list[Action]:
    """Return the steps to take now on one worker.

    Args:
        watch: Samples of the services there; the caller notes the steps.
        services: Desk services with an executor on the worker.
        neighbours: Batch tasks there.
        learned: What is known of pairs.
        now: Wall time in seconds, comparable with sample times.
    """
    if not services or not neighbours or now - tracker.last_action_at < DWELL_S:
        return []
    expected = predicted_slowdown(model, services, neighbours)
    pressure = max(expected, tracker.observed_slowdown(now))
    if pressure > THROTTLE_SLOWDOWN:
        return _tighten(tracker, services, neighbours, model, now)
    if pressure < RELEASE_SLOWDOWN and now - tracker.last_action_at >= RELEASE_DWELL_S:
        return _release(services, neighbours, model, expected)
    return []


def _tighten(
    tracker: SlowdownTracker,
    services: tuple[str, ...],
    neighbours: list[ColocatedTask],
    model: usage_estimates.UsageModel,
    now: float,
) -> list[Action]:
    order = sorted(
        neighbours,
        key=lambda one: (excess_slowdown(model, services, one), one.cores, one.task),
        reverse=True,
    )
    observed = tracker.observed_slowdown(now)
    actions = _throttle(services, neighbours, order, model, observed)
    if actions:
        return actions
    ready = (
        tracker.high_samples >= EVICT_SAMPLES
        and observed > EVICT_SLOWDOWN
        and now - tracker.last_action_at >= EVICT_DWELL_S
    )
    evictable = [one for one in order if one.evictable]
    return [Action(evictable[0].task, "evict")] if ready and evictable else []


def _throttle(
    services: tuple[str, ...],
    neighbours: list[ColocatedTask],
    order: list[ColocatedTask],
    model: usage_estimates.UsageModel,
    observed: float,
) -> list[Action]:
    """Throttle the worst tasks as far as the expected slowdown asks for."""
    expected = predicted_slowdown(model, services, neighbours)
    unexplained = observed - expected
    open_ones = [one for one in order if one.share > MIN_SHARE]
    actions = []
    for one in open_ones:
        harm = excess_slowdown(model, services, one)
        if expected <= THROTTLE_SLOWDOWN or harm < MIN_TASK_SLOWDOWN:
            break
        needed = one.share - (expected - RELEASE_SLOWDOWN) / harm
        share = min(one.share / 2, max(MIN_SHARE, needed))
        share = max(MIN_SHARE, share)
        expected -= harm * (one.share - share)
        actions.append(Action(one.task, "throttle", share))
    if not actions and open_ones and unexplained > UNEXPLAINED_SLOWDOWN:
        # The cause is not learned yet: take the most likely one, by one step.
        first = open_ones[0]
        share = max(MIN_SHARE, first.share / 2)
        actions.append(Action(first.task, "throttle", share))
    return actions


def _release(
    services: tuple[str, ...],
    neighbours: list[ColocatedTask],
    model: usage_estimates.UsageModel,
    expected: float,
) -> list[Action]:
    """Give one task more, if that is not expected to start over again."""
    held = [one for one in neighbours if one.share < 1.0]
    held.sort(key=lambda one: (excess_slowdown(model, services, one), one.task))
    for one in held:
        share = min(1.0, one.share * 2)
        harm = excess_slowdown(model, services, one)
        if expected + harm * (share - one.share) < THROTTLE_SLOWDOWN:
            return [Action(one.task, "throttle", share)]
    return []
