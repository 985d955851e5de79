"""Slows filling work down where it disturbs serving work beside it.

The load of serving work is predicted until the next look. Where it would bring
a tail over its target, the filling runs that disturb it most, by what has been
learned of their images, are slowed by as much as the excess asks for. When a
tail stays over although the model names no cause, all of them pause. Where
there is room, those that disturb least get their speed back first.
"""

import collections

from limpetstream import errors
from limpetstream.executors import tracking
from limpetstream.shard import events, objectives, state
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state

SLOW_AFTER_S = 0.9  # Reports lag by half a second and come with a look.
PAUSE_AFTER_S = 2.0  # Half of the time for which a task may be over its target.
MAX_SPEED_UP_POINTS = 40  # Points of one change; the model may be wrong.
MIN_SLACK = 0.01  # Utilization below the limit that counts as none.
MIN_PACE = 5  # Below this a run stands still, at no cost to others.
PACE_CHANGE_INTERVAL_S = 0.3  # A change needs 0.1 s to take effect.
PREDICTION_HORIZON_S = (
    0.6  # Until the next look, its answer and the effect of a change.
)
PACED_POLL_WAIT_S = 0.35  # Looks at an executor with both kinds of work.
REPORT_WINDOW_S = 0.6  # A report covers half a second, and it comes with a look.
WARM_UP_S = 1.0  # A run that has just started reports the tail of a part.
PACE_TIMEOUT_S = 0.5  # Seventy times the round trip between data centres.
PACE_TRIES = 4  # Two seconds in all, half of what HARM allows.
UNKNOWN_PACE = -1


def poll_wait_s(executor: tracking.Executor, usual_s: float) -> float:
    """Return how long the next look may wait for an end."""
    if executor.best_effort_runs() and executor.serving_runs():
        return PACED_POLL_WAIT_S
    return usual_s


def adjust(shard: state.Shard, executor: tracking.Executor) -> None:
    """Learn from a look, and set the pace of filling runs by its tails."""
    now = shard.clock.monotonic()
    fills = [
        run
        for run in executor.best_effort_runs()
        if run.phase == workflow_state.WORKING
    ]
    for run in executor.serving_runs():
        if tail(run) <= 1.0:
            run.over_target_since = None
        elif run.over_target_since is None:
            run.over_target_since = now
    serving = [run for run in executor.serving_runs() if run.load > 0]
    if not serving:
        for run in fills:
            _set(shard, executor, run, 100)
        return
    _learn(shard, executor, serving, fills)
    if now - executor.pace_changed_at >= PACE_CHANGE_INTERVAL_S:
        _apply(shard, executor, serving, fills)


def slow_for_new_run(shard: state.Shard, executor: tracking.Executor) -> None:
    """Make way for a filling run that has just started, at full speed."""
    serving = [run for run in executor.serving_runs() if run.load > 0]
    fills = [
        run
        for run in executor.best_effort_runs()
        if run.phase == workflow_state.WORKING
    ]
    if serving:
        _apply(shard, executor, serving, fills)


def _apply(
    shard: state.Shard,
    executor: tracking.Executor,
    serving: list[workflow_state.Run],
    fills: list[workflow_state.Run],
) -> None:
    """Change the paces and log what has decided it."""
    if not fills:
        return
    now = shard.clock.monotonic()
    before = [run.pace for run in fills]
    cores = _paced_cores(fills)
    expected = [(run, _expected(shard, run, cores, now)) for run in serving]
    _change(shard, executor, expected, fills, now)
    if [run.pace for run in fills] == before:
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
        tail=round(tail(worst), 2),
        looked_ms_ago=round((now - executor.polled_at) * 1000),
        before=round(sum(before) / len(before)),
        pace=round(sum(run.pace for run in fills) / len(fills)),
        fills=len(fills),
    )


def _change(
    shard: state.Shard,
    executor: tracking.Executor,
    expected: list[tuple[workflow_state.Run, float]],
    fills: list[workflow_state.Run],
    now: float,
) -> None:
    """Set paces by the utilization that serving runs are expected to reach."""
    if any(_over_s(run, now) >= PAUSE_AFTER_S for run, _ in expected):
        for run in fills:
            _set(shard, executor, run, 0)
        return
    over = [
        (run, utilization)
        for run, utilization in expected
        if utilization > shard.interference_model.limit(run.task.step.image)
    ]
    if over:
        for run, utilization in over:
            _slow_down(shard, executor, run, utilization, fills)
    elif not any(run.over_target_since is not None for run, _ in expected):
        _speed_up(shard, executor, expected, fills)


def _expected(
    shard: state.Shard,
    run: workflow_state.Run,
    cores: dict[str, float],
    now: float,
) -> float:
    """Return the highest utilization to expect until the next change.

    A tail that has been over its target for some time counts as it is, also
    if what has been learned does not explain it.
    """
    image = run.task.step.image
    load = shard.interference_model.user_load(run.task.job.submission.job_id)
    reported = shard.interference_model.utilization(image, tail(run))
    if load is None:
        return reported
    utilization = load.predict_max(now, now + PREDICTION_HORIZON_S)
    utilization += shard.interference_model.added_utilization(image, cores)
    if _over_s(run, now) >= SLOW_AFTER_S:
        utilization = max(utilization, reported)
    return utilization


def _paced_cores(fills: list[workflow_state.Run]) -> dict[str, float]:
    """Return the cores that filling runs may use at their pace, by image."""
    cores: dict[str, float] = collections.defaultdict(float)
    for run in fills:
        cores[run.task.step.image] += _cores_at(run, run.pace)
    return cores


def _over_s(run: workflow_state.Run, now: float) -> float:
    """Return how long a serving run's tail has been over its target."""
    return 0.0 if run.over_target_since is None else now - run.over_target_since


def tail(run: workflow_state.Run) -> float:
    """Return the tail of a serving run as a share of its target."""
    return run.load / run.task.step.tail_target_ms


def cores_by_image(runs: list[workflow_state.Run]) -> dict[str, float]:
    """Return the cores that filling runs use, by image."""
    cores: dict[str, float] = collections.defaultdict(float)
    for run in runs:
        cores[run.task.step.image] += run.load / 1000
    return cores


def _learn(
    shard: state.Shard,
    executor: tracking.Executor,
    serving: list[workflow_state.Run],
    fills: list[workflow_state.Run],
) -> None:
    """Learn the load of serving jobs, and what filling work adds to it."""
    now = shard.clock.monotonic()
    filling = frozenset(run.task.name for run in executor.best_effort_runs())
    if executor.best_effort_seen - filling:
        # The report still covers runs that it does not list any more.
        executor.best_effort_ended_at = now
    executor.best_effort_seen = filling
    utilizations_by_job: dict[tuple[str, str], list[float]] = {}
    for run in serving:
        image = run.task.step.image
        if now - run.start_requested_at > WARM_UP_S:
            shard.interference_model.note_tail(image, tail(run))
            key = run.task.job.submission.job_id, image
            utilization = shard.interference_model.utilization(image, tail(run))
            utilizations_by_job.setdefault(key, []).append(utilization)
    if now - executor.best_effort_ended_at < REPORT_WINDOW_S:
        return
    cores = cores_by_image(fills)
    for (job_id, image), utilizations in utilizations_by_job.items():
        utilization = sum(utilizations) / len(utilizations)
        shard.interference_model.observe(job_id, image, utilization, cores, now)
        if not filling:
            shard.interference_model.note_baseline(image, utilization)


def _slow_down(
    shard: state.Shard,
    executor: tracking.Executor,
    serving: workflow_state.Run,
    utilization: float,
    fills: list[workflow_state.Run],
) -> None:
    """Slow the runs that disturb a serving run most, until it is enough."""
    image = serving.task.step.image
    excess = utilization - shard.interference_model.limit(image)

    def weight(run: workflow_state.Run) -> float:
        if not shard.interference_model.slows(image, run.task.step.image):
            return 0.0
        return shard.interference_model.weight(image, run.task.step.image)

    now_ms = shard.clock.wall_ms()

    def order(run: workflow_state.Run) -> tuple[bool, float]:
        return objectives.due_ms(shard, run.task.job) < now_ms, weight(run)

    for run in sorted(fills, key=order, reverse=True):
        if excess <= 0:
            return
        share = weight(run) * _cores_at(run, run.pace)
        if share <= 0:
            continue
        kept = max(0.0, 1 - excess / share)
        pace = int(run.pace * kept)
        _set(shard, executor, run, pace if pace >= MIN_PACE else 0)
        excess -= share * (1 - kept)


def _speed_up(
    shard: state.Shard,
    executor: tracking.Executor,
    expected: list[tuple[workflow_state.Run, float]],
    fills: list[workflow_state.Run],
) -> None:
    """Give speed back where the tails are expected to stay below the limit."""
    slack_by_image: dict[str, float] = {}
    for run, utilization in expected:
        image = run.task.step.image
        slack = shard.interference_model.limit(image) - utilization
        slack_by_image[image] = min(slack, slack_by_image.get(image, slack))

    def cost(run: workflow_state.Run) -> float:
        return max(
            shard.interference_model.weight(image, run.task.step.image)
            / max(slack, MIN_SLACK)
            if shard.interference_model.slows(image, run.task.step.image)
            else 0.0
            for image, slack in slack_by_image.items()
        )

    budget = 1.0
    for run in sorted(fills, key=cost):
        if run.pace >= 100 or budget <= 0:
            continue
        points = 100 - run.pace
        price = cost(run) * run.task.step.cpu_millicores / 1000 * points / 100
        if price > 0:
            points = min(MAX_SPEED_UP_POINTS, points)
            price = cost(run) * run.task.step.cpu_millicores / 1000 * points / 100
        if price > budget:
            points = int(points * budget / price)
            price = budget
        budget -= price
        if points >= MIN_PACE:
            _set(shard, executor, run, run.pace + points)


def _cores_at(run: workflow_state.Run, pace: int) -> float:
    """Return the cores of a run at a pace; at full pace if it is unknown."""
    share = 1.0 if pace == UNKNOWN_PACE else pace / 100
    return run.task.step.cpu_millicores / 1000 * share


def _set(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run, pace: int
) -> None:
    if run.pace == pace:
        return
    run.pace = pace
    shard.spawn(_order(shard, executor, run, pace))


async def _order(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run, pace: int
) -> None:
    reason = ""
    for _ in range(PACE_TRIES):
        if executor.run_by_task.get(run.task.name) is not run or run.pace != pace:
            return
        try:
            await shard.orders.pace(
                executor.listing,
                run.task.name,
                run.number,
                pace,
                shard.epoch,
                timeout_s=PACE_TIMEOUT_S,
            )
            return
        except (errors.ExecutorReplaced, errors.PlatformUnavailable) as error:
            reason = str(error)
    run.pace = UNKNOWN_PACE  # The next change orders it again.
    logs.emit(
        events.PACE_FAILED,
        task=run.task.name,
        executor=executor.listing.executor_id,
        pace=pace,
        error=reason,
    )
