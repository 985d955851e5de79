"""Slows best-effort runs that raise the tail latency of serving runs.

The utilization of serving runs is predicted up to the next poll. If it would
bring a tail latency over its target, the best-effort runs whose images
interfere most, by the learned model, are slowed by as much as the excess
requires. If a tail stays over its target although the model predicts no cause,
all of them are paused. Where there is slack, the runs that interfere least
regain their speed first. A run that starts beside a serving run over its
target stays paused until that is within it.
"""

import collections
import math

from limpetstream import errors
from limpetstream.executors import sending, tracking
from limpetstream.shard import events, objectives, proof, restarts, state
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state

SLOW_AFTER_S = 0.9  # Reports lag by half a second and arrive with a poll.
PAUSE_AFTER_S = 2.0  # Half of the time that a task may be over its target.
MAX_SPEED_UP_POINTS = 40  # Percentage points per change; the model may be wrong.
MIN_SLACK = 0.01  # Utilization; a smaller distance from the limit counts as this.
MIN_PACE = 5  # Percent; slower runs are paused instead, at no cost to others.
PACE_CHANGE_INTERVAL_S = 0.3  # A change takes 0.1 s to take effect.
# Time until the next poll, its reply and the effect of a change.
PREDICTION_HORIZON_S = 0.6
PACED_POLL_WAIT_S = 0.35  # For executors with serving and best-effort runs.
REPORT_WINDOW_S = 0.6  # A report covers half a second and arrives with a poll.
WARM_UP_S = 1.0  # Earlier, a run reports the tail of too short a period.
PACE_TIMEOUT_S = 0.5  # Seventy times the round trip between data centres.
# A pace without an answer may take effect that long after it was sent, and so
# after newer ones (the platform's page on calls that are carried out late).
LATE_PACE_S = 12.0
# Between repeats of the newest pace until then; work may stand still so long.
REPEAT_PACE_S = 3.0
PACE_TRIES = 4  # Two seconds in all, half of what the HARM check allows.
UNKNOWN_PACE = -1


def poll_wait_s(executor: tracking.Executor, usual_s: float) -> float:
    """Return how long the next poll may wait for the end of a run.

    Args:
        executor: Executor to poll.
        usual_s: Seconds for an executor without pacing.
    """
    if executor.best_effort_runs() and executor.serving_runs():
        return PACED_POLL_WAIT_S
    return usual_s


def adjust(shard: state.Shard, executor: tracking.Executor) -> None:
    """Update the model after a poll, and set the pace of best-effort runs."""
    now = shard.clock.monotonic()
    best_effort_runs = [
        run
        for run in executor.best_effort_runs()
        if run.phase == workflow_state.WORKING
    ]
    for run in executor.serving_runs():
        if relative_tail(run) <= 1.0:
            run.over_target_since = None
        elif run.over_target_since is None:
            run.over_target_since = now
    _repeat_paces(shard, executor, best_effort_runs)
    serving = [run for run in executor.serving_runs() if run.load > 0]
    if not serving:
        for run in best_effort_runs:
            _set_pace(shard, executor, run, 100)
        return
    _learn(shard, executor, serving, best_effort_runs)
    if now - executor.pace_changed_at >= PACE_CHANGE_INTERVAL_S:
        _update_paces(shard, executor, serving, best_effort_runs)


def _repeat_paces(
    shard: state.Shard,
    executor: tracking.Executor,
    best_effort_runs: list[workflow_state.Run],
) -> None:
    """Send paces again as long as an earlier one may still take effect."""
    now = shard.clock.monotonic()
    for run in best_effort_runs:
        unanswered_at = run.pace_unanswered_at
        if unanswered_at is None or run.is_pace_under_way:
            continue
        if now - max(unanswered_at, run.pace_answered_at) < REPEAT_PACE_S:
            continue
        if now - unanswered_at > LATE_PACE_S:
            run.pace_unanswered_at = None
        if run.pace != UNKNOWN_PACE:
            _start_sending_pace(shard, executor, run)


def adjust_for_new_run(shard: state.Shard, executor: tracking.Executor) -> None:
    """Set paces again after a best-effort run has started at full speed."""
    serving = [run for run in executor.serving_runs() if run.load > 0]
    best_effort_runs = [
        run
        for run in executor.best_effort_runs()
        if run.phase == workflow_state.WORKING
    ]
    if serving:
        _update_paces(shard, executor, serving, best_effort_runs)


def _update_paces(
    shard: state.Shard,
    executor: tracking.Executor,
    serving: list[workflow_state.Run],
    best_effort_runs: list[workflow_state.Run],
) -> None:
    """Change the paces; log a change and the serving run behind it."""
    if not best_effort_runs:
        return
    now = shard.clock.monotonic()
    before = [run.pace for run in best_effort_runs]
    cores = _paced_cores(best_effort_runs)
    expected = [(run, _expected_utilization(shard, run, cores, now)) for run in serving]
    _set_paces(shard, executor, expected, best_effort_runs, now)
    if [run.pace for run in best_effort_runs] == before:
        return
    executor.pace_changed_at = now
    worst, utilization = max(
        expected,
        key=lambda pair: (
            pair[1] - shard.interference_model.limit(pair[0].task.step.image)
        ),
    )
    logs.emit(
        events.PACE_CHANGED,
        executor=executor.listing.executor_id,
        task=worst.task.name,
        image=worst.task.step.image,
        expected=round(utilization, 3),
        limit=round(shard.interference_model.limit(worst.task.step.image), 3),
        tail=round(relative_tail(worst), 2),
        looked_ms_ago=round((now - executor.polled_at) * 1000),
        before=round(sum(before) / len(before)),
        pace=round(sum(run.pace for run in best_effort_runs) / len(best_effort_runs)),
        fills=len(best_effort_runs),
    )


def _set_paces(
    shard: state.Shard,
    executor: tracking.Executor,
    expected: list[tuple[workflow_state.Run, float]],
    best_effort_runs: list[workflow_state.Run],
    now: float,
) -> None:
    """Set paces by the utilization that is expected of the serving runs."""
    if any(_time_over_target_s(run, now) >= PAUSE_AFTER_S for run, _ in expected):
        for run in best_effort_runs:
            _set_pace(shard, executor, run, 0)
        return
    # Runs that were placed beside a task that is over its target may add
    # nothing until that task is within it.
    over_target_since = min(
        (
            serving.over_target_since
            for serving, _ in expected
            if serving.over_target_since is not None
        ),
        default=math.inf,
    )
    for run in best_effort_runs:
        if run.start_requested_at > over_target_since:
            _set_pace(shard, executor, run, 0)
    over_limit = [
        (run, utilization)
        for run, utilization in expected
        if utilization > shard.interference_model.limit(run.task.step.image)
    ]
    if over_limit:
        for run, utilization in over_limit:
            _slow_down(shard, executor, run, utilization, best_effort_runs)
    elif not any(run.over_target_since is not None for run, _ in expected):
        _speed_up(shard, executor, expected, best_effort_runs)


def _expected_utilization(
    shard: state.Shard,
    run: workflow_state.Run,
    cores: dict[str, float],
    now: float,
) -> float:
    """Return the highest utilization expected until the next change.

    If the tail has been over its target for some time, the reported
    utilization counts even where the model does not explain it.
    """
    image = run.task.step.image
    load = shard.interference_model.user_load(run.task.job.submission.job_id)
    reported = shard.interference_model.utilization(image, relative_tail(run))
    if load is None:
        return reported
    utilization = load.predict_max(now, now + PREDICTION_HORIZON_S)
    utilization += shard.interference_model.added_utilization(image, cores)
    if _time_over_target_s(run, now) >= SLOW_AFTER_S:
        utilization = max(utilization, reported)
    return utilization


def _paced_cores(best_effort_runs: list[workflow_state.Run]) -> dict[str, float]:
    """Return the cores that runs may use at their pace, by image."""
    cores: dict[str, float] = collections.defaultdict(float)
    for run in best_effort_runs:
        cores[run.task.step.image] += _cores_at(run, run.pace)
    return cores


def _time_over_target_s(run: workflow_state.Run, now: float) -> float:
    """Return for how many seconds a tail has been over its target."""
    return 0.0 if run.over_target_since is None else now - run.over_target_since


def relative_tail(run: workflow_state.Run) -> float:
    """Return the tail latency of a serving run as a share of its target."""
    return run.load / run.task.step.tail_target_ms


def cores_by_image(runs: list[workflow_state.Run]) -> dict[str, float]:
    """Return the cores that best-effort runs use, by image."""
    cores: dict[str, float] = collections.defaultdict(float)
    for run in runs:
        cores[run.task.step.image] += run.load / 1000
    return cores


def _learn(
    shard: state.Shard,
    executor: tracking.Executor,
    serving: list[workflow_state.Run],
    best_effort_runs: list[workflow_state.Run],
) -> None:
    """Learn the load of serving jobs and what best-effort work adds to it."""
    now = shard.clock.monotonic()
    best_effort_names = frozenset(run.task.name for run in executor.best_effort_runs())
    if executor.best_effort_seen - best_effort_names:
        # The report still covers runs that it no longer lists.
        executor.best_effort_ended_at = now
    executor.best_effort_seen = best_effort_names
    utilizations_by_job: dict[tuple[str, str], list[float]] = {}
    for run in serving:
        image = run.task.step.image
        if now - run.start_requested_at > WARM_UP_S:
            shard.interference_model.note_tail(image, relative_tail(run))
            key = run.task.job.submission.job_id, image
            utilization = shard.interference_model.utilization(
                image, relative_tail(run)
            )
            utilizations_by_job.setdefault(key, []).append(utilization)
    if now - executor.best_effort_ended_at < REPORT_WINDOW_S:
        return
    cores = cores_by_image(best_effort_runs)
    for (job_id, image), utilizations in utilizations_by_job.items():
        utilization = sum(utilizations) / len(utilizations)
        shard.interference_model.observe(job_id, image, utilization, cores, now)
        if not best_effort_names:
            shard.interference_model.note_baseline(image, utilization)


def _slow_down(
    shard: state.Shard,
    executor: tracking.Executor,
    serving: workflow_state.Run,
    utilization: float,
    best_effort_runs: list[workflow_state.Run],
) -> None:
    """Slow the most interfering runs until a serving run is within its limit.

    Runs of jobs that are already late are slowed first.
    """
    image = serving.task.step.image
    excess = utilization - shard.interference_model.limit(image)

    def weight(run: workflow_state.Run) -> float:
        if not shard.interference_model.is_slowed_by(image, run.task.step.image):
            return 0.0
        return shard.interference_model.weight(image, run.task.step.image)

    now_ms = shard.clock.wall_ms()

    def slow_down_key(run: workflow_state.Run) -> tuple[bool, float]:
        return objectives.due_ms(shard, run.task.job) < now_ms, weight(run)

    for run in sorted(best_effort_runs, key=slow_down_key, reverse=True):
        if excess <= 0:
            return
        added_utilization = weight(run) * _cores_at(run, run.pace)
        if added_utilization <= 0:
            continue
        kept_share = max(0.0, 1 - excess / added_utilization)
        pace = int(_highest_pace(run) * kept_share)
        _set_pace(shard, executor, run, pace if pace >= MIN_PACE else 0)
        excess -= added_utilization * (1 - kept_share)


def _speed_up(
    shard: state.Shard,
    executor: tracking.Executor,
    expected: list[tuple[workflow_state.Run, float]],
    best_effort_runs: list[workflow_state.Run],
) -> None:
    """Speed up runs as far as all serving runs stay below their limits.

    The cost of a run is the share of the tightest slack that one of its cores
    uses up; the runs with the lowest cost come first.
    """
    slack_by_image: dict[str, float] = {}
    for run, utilization in expected:
        image = run.task.step.image
        slack = shard.interference_model.limit(image) - utilization
        slack_by_image[image] = min(slack, slack_by_image.get(image, slack))

    def cost_per_core(run: workflow_state.Run) -> float:
        return max(
            shard.interference_model.weight(image, run.task.step.image)
            / max(slack, MIN_SLACK)
            if shard.interference_model.is_slowed_by(image, run.task.step.image)
            else 0.0
            for image, slack in slack_by_image.items()
        )

    remaining_budget = 1.0
    for run in sorted(best_effort_runs, key=cost_per_core):
        if run.pace >= 100 or remaining_budget <= 0:
            continue
        lowest_pace = max(0, run.pace)
        points = 100 - lowest_pace
        needed_budget = (
            cost_per_core(run) * run.task.step.cpu_millicores / 1000 * points / 100
        )
        if needed_budget > 0:
            points = min(MAX_SPEED_UP_POINTS, points)
            needed_budget = (
                cost_per_core(run) * run.task.step.cpu_millicores / 1000 * points / 100
            )
        if needed_budget > remaining_budget:
            points = int(points * remaining_budget / needed_budget)
            needed_budget = remaining_budget
        remaining_budget -= needed_budget
        if points >= MIN_PACE:
            _set_pace(shard, executor, run, lowest_pace + points)


def _cores_at(run: workflow_state.Run, pace: int) -> float:
    """Return the cores of a run at a pace; an unknown pace counts as full."""
    share = 1.0 if pace == UNKNOWN_PACE else pace / 100
    return run.task.step.cpu_millicores / 1000 * share


def _highest_pace(run: workflow_state.Run) -> int:
    """Return the pace of a run; full speed if it is unknown."""
    return 100 if run.pace == UNKNOWN_PACE else run.pace


def _set_pace(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run, pace: int
) -> None:
    if run.pace == pace:
        return
    run.pace = pace
    if not run.is_pace_under_way:
        _start_sending_pace(shard, executor, run)


def _start_sending_pace(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> None:
    run.is_pace_under_way = True
    shard.spawn(_send_paces(shard, executor, run))


async def _send_paces(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> None:
    """Send the pace of a run, and newer ones that are set meanwhile.

    One call of a run is under way at a time: two of them could take effect in
    the wrong order.
    """
    try:
        reason = await _send_newest_pace(shard, executor, run)
    finally:
        run.is_pace_under_way = False
    if reason:
        pace, run.pace = run.pace, UNKNOWN_PACE  # The next change sends it again.
        logs.emit(
            events.PACE_FAILED,
            task=run.task.name,
            executor=executor.listing.executor_id,
            pace=pace,
            error=reason,
        )


async def _send_newest_pace(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> str:
    """Send the pace of a run until the newest one is answered.

    Returns:
        Why it was given up; empty if it was not.
    """
    sent, tries, reason = UNKNOWN_PACE, 0, ""
    while sent != run.pace or tries:
        await shard.send_window.admit(sending.HEAD_BYTES, sending.PACE_RANK)
        if executor.run_by_task.get(run.task.name) is not run:
            return ""
        if sent != run.pace:
            sent, tries = run.pace, 0
        if not proof.is_proven(shard):
            return "ownership not proven"
        if tries == PACE_TRIES:
            return reason
        tries += 1
        sent_at = shard.clock.monotonic()
        try:
            await shard.executor_client.pace(
                executor.listing,
                run.task.name,
                run.number,
                sent,
                restarts.token_of(shard, executor),
                timeout_s=PACE_TIMEOUT_S,
            )
            run.pace_answered_at = shard.clock.monotonic()
            tries = 0
        except (errors.ExecutorReplaced, errors.PlatformUnavailable) as error:
            run.pace_unanswered_at = sent_at
            reason = str(error)
    return ""
