"""Executors of a shard, by the platform's list and by the journal."""

from limpetstream.executors import messages, tracking
from limpetstream.shard import events, executor_records, names, sessions, state
from limpetstream.telemetry import logs


def apply_listings(
    shard: state.Shard,
    listing_by_id: dict[str, messages.Listing | None],
    *,
    complete: bool,
) -> None:
    """Apply entries of the platform's list.

    Args:
        shard: Shard that owns some of the executors.
        listing_by_id: Newest entries; None for one that was removed.
        complete: Whether executors that are not among them are gone.
    """
    for executor_id, listing in listing_by_id.items():
        if names.shard_of_executor(executor_id, shard.shard_count) != shard.number:
            continue
        if listing is None:
            _unlist(shard, executor_id)
        else:
            _list(shard, listing)
    if complete:
        for executor_id in list(shard.executor_by_id):
            if listing_by_id.get(executor_id) is None:
                _unlist(shard, executor_id)


def add_executor(
    shard: state.Shard, listing: messages.Listing, *, listed: bool
) -> None:
    """Begin to look at an executor.

    Args:
        shard: Shard that it works for.
        listing: What it says of itself.
        listed: Whether the platform's list names it, rather than the journal.
    """
    executor = tracking.Executor(listing, listed=listed, recorded=not listed)
    executor.lease.duration_s = min(executor.lease.duration_s, shard.timing.max_lease_s)
    shard.executor_by_id[listing.executor_id] = executor
    if not listed:
        executor_records.note_inherited(shard, listing.executor_id)
    shard.spawn(sessions.run(shard, executor))
    if listed:
        shard.spawn(executor_records.write(shard, executor))


def _list(shard: state.Shard, listing: messages.Listing) -> None:
    executor = shard.executor_by_id.get(listing.executor_id)
    if executor is None:
        _log(listing, "new")
        add_executor(shard, listing, listed=True)
        return
    if executor.listing.state != listing.state or not executor.listed:
        _log(listing, listing.state)
        shard.changed.set()
    executor.listing = listing
    executor.listed = True


def _unlist(shard: state.Shard, executor_id: str) -> None:
    executor = shard.executor_by_id.get(executor_id)
    if executor is not None and executor.listed:
        executor.listed = False
        _log(executor.listing, "gone")


def _log(listing: messages.Listing, change: str) -> None:
    logs.emit(
        events.EXECUTOR_CHANGED,
        executor=listing.executor_id,
        address=listing.address,
        data_centre=listing.data_centre,
        change=change,
        remaining_ms=listing.remaining_ms,
    )


def is_draining(executor: tracking.Executor) -> bool:
    """Return whether an executor has announced that it leaves."""
    return executor.listing.state == messages.DRAINING
