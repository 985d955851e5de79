"""Adds executors to a shard and applies changes of the platform's list.

The executors write the entries of that list, the listings. Each executor
belongs to one shard, which is computed from its id. The shard's journal, its
durable state in the store, records the executors that may run its tasks.
"""

from limpetstream.executors import messages, tracking
from limpetstream.shard import (
    events,
    executor_records,
    names,
    restarts,
    sessions,
    state,
)
from limpetstream.shard.settling import long_running
from limpetstream.telemetry import logs


def apply_listings(
    shard: state.Shard,
    listing_by_id: dict[str, messages.Listing | None],
    *,
    complete: bool,
) -> None:
    """Apply entries of the platform's list of executors.

    Args:
        shard: Shard to update; executors of other shards are skipped.
        listing_by_id: Newest entry of each executor, by executor id; None for
            an executor that was removed from the list.
        complete: Whether the entries are the whole list, so that executors
            without an entry are no longer in it.
    """
    for executor_id, listing in listing_by_id.items():
        if names.shard_of_executor(executor_id, shard.shard_count) != shard.number:
            continue
        if listing is None:
            _mark_unlisted(shard, executor_id)
        else:
            _add_or_update(shard, listing)
    if complete:
        for executor_id in list(shard.executor_by_id):
            if listing_by_id.get(executor_id) is None:
                _mark_unlisted(shard, executor_id)


def add_executor(
    shard: state.Shard, listing: messages.Listing, *, listed: bool
) -> None:
    """Add an executor to the shard and start polling it.

    Args:
        shard: Shard to which the executor belongs.
        listing: Entry from the platform's list, or from the executor's record
            in the journal.
        listed: Whether the entry comes from the platform's list. Otherwise it
            comes from a record that an earlier owner of the shard left in the
            journal; the executor is marked as listed when its entry in the
            list is applied.
    """
    executor = tracking.Executor(listing, listed=listed, usage=shard.usage)
    executor.lease.duration_s = min(executor.lease.duration_s, shard.timing.max_lease_s)
    _note_draining(shard, executor)
    shard.executor_by_id[listing.executor_id] = executor
    restarts.note_return(shard, executor)
    long_running.note_added(shard, executor)
    shard.spawn(sessions.run(shard, executor))
    if listed:
        shard.spawn(executor_records.write(shard, executor))


def _add_or_update(shard: state.Shard, listing: messages.Listing) -> None:
    executor = shard.executor_by_id.get(listing.executor_id)
    if executor is None:
        _log_change(listing, "new")
        add_executor(shard, listing, listed=True)
        return
    if executor.listing.state != listing.state or not executor.listed:
        _log_change(listing, listing.state)
        shard.changed.set()
    if (
        _suitability(executor.listing) != _suitability(listing)
        or executor.listing.born_ms != listing.born_ms
    ):
        executor.has_freed = True  # Searches that failed may succeed there now.
        shard.changed.set()
    has_moved = executor.listing.address != listing.address
    executor.listing = listing
    executor.listed = True
    if has_moved:
        executor_records.note_moved(shard, executor)
    _note_draining(shard, executor)
    if executor.reached:
        executor_records.update(shard, executor)


def _suitability(listing: messages.Listing) -> tuple[object, ...]:
    """Return what decides which tasks an executor suits, besides its state."""
    return listing.service, listing.data_centre, listing.capacity, listing.labels


def _note_draining(shard: state.Shard, executor: tracking.Executor) -> None:
    if not is_draining(executor):
        executor.draining_since = executor.leaves_at = None
        return
    now = shard.clock.monotonic()
    if executor.draining_since is None:
        executor.draining_since = now
    if executor.listing.remaining_ms is not None:
        # The same entry may be read again later.
        leaves_at = now + executor.listing.remaining_ms / 1000
        executor.leaves_at = min(executor.leaves_at or leaves_at, leaves_at)


def _mark_unlisted(shard: state.Shard, executor_id: str) -> None:
    """Note that an executor is not in the list; it gets no new tasks.

    It is polled until a poll fails after every lease on it has expired; then
    ``sessions.run`` removes it from the shard.
    """
    executor = shard.executor_by_id.get(executor_id)
    if executor is not None and executor.listed:
        executor.listed = False
        _log_change(executor.listing, "gone")  # Gone from the list.


def _log_change(listing: messages.Listing, change: str) -> None:
    logs.emit(
        events.EXECUTOR_CHANGED,
        executor=listing.executor_id,
        address=listing.address,
        data_centre=listing.data_centre,
        change=change,
        remaining_ms=listing.remaining_ms,
    )


def is_draining(executor: tracking.Executor) -> bool:
    """Return whether an executor announces in its entry that it will leave."""
    return executor.listing.state == messages.DRAINING
