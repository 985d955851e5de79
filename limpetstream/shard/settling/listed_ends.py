"""Tells which tasks may have ended on an executor that has not listed the end.

A reply to a poll lists all runs that are present, but a limited number of
ends; the next ones follow once these are acknowledged. Until a reply has
listed all, a task that an earlier owner may have started there may have ended,
so it must not run again. Long-running tasks run again however they ended.
"""

from limpetstream.executors import messages, tracking
from limpetstream.shard import events, proof, state
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state

MAX_LISTED_ENDS = 500  # In one reply, by the platform's protocol.


def has_all(reply: messages.PollReply) -> bool:
    """Return whether a reply lists all ends; a full list may go on."""
    return len(reply.ended) < MAX_LISTED_ENDS


def note_reply(
    shard: state.Shard, executor: tracking.Executor, reply: messages.PollReply
) -> None:
    """Note whether a reply has listed all ends of earlier owners' runs."""
    if executor.has_listed_all:
        return
    executor_id = executor.listing.executor_id
    is_unread = executor_id in shard.unread_executor_by_id
    executor.has_listed_all = has_all(reply)
    if executor.has_listed_all == is_unread:
        logs.emit(
            events.ENDS_READ if is_unread else events.ENDS_UNREAD,
            executor=executor_id,
            listed=len(reply.ended),
            last=executor.applied_end,
        )
    if not executor.has_listed_all:
        shard.unread_executor_by_id[executor_id] = executor
    elif is_unread:
        shard.spawn(_forget_once_confirmed(shard, executor))


async def _forget_once_confirmed(
    shard: state.Shard, executor: tracking.Executor
) -> None:
    """Let tasks run again after an append that begins now is confirmed.

    A later owner may have read the rest of the list, and the executor have
    restarted since.
    """
    await proof.confirm(shard)
    if executor.has_listed_all:
        forget(shard, executor)


def forget(shard: state.Shard, executor: tracking.Executor) -> None:
    """Wait no longer for the rest of a list."""
    executor_id = executor.listing.executor_id
    if shard.unread_executor_by_id.get(executor_id) is executor:
        del shard.unread_executor_by_id[executor_id]
        shard.changed.set()


def may_have_ended(shard: state.Shard, task: workflow_state.Task) -> bool:
    """Return whether an end of a task may not be listed yet.

    Args:
        shard: Shard of the task.
        task: Task that an earlier owner may have started.
    """
    step = task.step
    if step.long_running:
        return False
    return any(
        not step.required_label or step.required_label in executor.listing.labels
        for executor in shard.unread_executor_by_id.values()
    )
