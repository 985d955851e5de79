"""Sends the requests that stop runs, until the executor confirms them."""

from limpetstream import errors
from limpetstream.executors import sending, tracking
from limpetstream.shard import events, proof, restarts, state
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state

STOP_TIMEOUT_S = 0.5  # Seventy times the round trip between data centres.
STOP_RETRY_S = 0.1


def stop_run(
    shard: state.Shard,
    executor: tracking.Executor,
    run: workflow_state.Run,
    reason: str,
) -> None:
    """Stop a run, which keeps its reserved capacity until its end is known."""
    if run.phase == workflow_state.STOPPING:
        return
    run.phase = workflow_state.STOPPING
    run.stop_reason = reason
    if run.stop_ordered_at is None:
        run.stop_ordered_at = shard.clock.monotonic()
    logs.emit(
        events.STOP_ORDERED,
        task=run.task.name,
        run=run.number,
        executor=executor.listing.executor_id,
        reason=reason,
    )
    shard.spawn(_send_until_confirmed(shard, executor, run.task.name, run.number, run))


def stop_again(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> None:
    """Stop a run that is still listed long after its stop was confirmed."""
    run.stop_confirmed_at = None
    run.phase = workflow_state.WORKING
    stop_run(shard, executor, run, run.stop_reason)


def stop_unknown_run(
    shard: state.Shard, executor: tracking.Executor, task: str, number: int, reason: str
) -> None:
    """Stop a run that no open job needs."""
    logs.emit(
        events.STOP_ORDERED,
        task=task,
        run=number,
        executor=executor.listing.executor_id,
        reason=reason,
    )
    shard.spawn(_send_until_confirmed(shard, executor, task, number, None))


async def _send_until_confirmed(
    shard: state.Shard,
    executor: tracking.Executor,
    task: str,
    number: int,
    run: workflow_state.Run | None,
) -> None:
    try_count = 0
    while shard.executor_by_id.get(executor.listing.executor_id) is executor:
        await shard.send_window.admit(sending.HEAD_BYTES, sending.STOP_RANK)
        if run is not None and executor.run_by_task.get(task) is not run:
            return
        if not proof.is_proven(shard):
            await shard.clock.sleep(STOP_RETRY_S)
            continue  # A later owner may need the run.
        try:
            await shard.executor_client.stop(
                executor.listing,
                task,
                number,
                restarts.token_of(shard, executor),
                timeout_s=shard.send_window.time_limit_s(STOP_TIMEOUT_S),
            )
        except errors.ExecutorReplaced:
            await shard.clock.sleep(STOP_RETRY_S)
            continue  # Polls remove the executor or reach a newer address.
        except errors.PlatformUnavailable as error:
            try_count += 1
            if try_count == 1:  # Later tries would only repeat the line.
                logs.emit(
                    events.ORDER_UNANSWERED,
                    order="stop",
                    task=task,
                    run=number,
                    executor=executor.listing.executor_id,
                    tried=try_count,
                    error=str(error),
                )
            await shard.clock.sleep(STOP_RETRY_S)
            continue
        confirmed_at = shard.clock.monotonic()
        if run is not None:
            run.stop_confirmed_at = confirmed_at
        elif (task, number) in executor.unknown_runs:
            executor.unknown_runs[task, number] = confirmed_at
        return
