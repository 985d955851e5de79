"""Decides when an owner records executors before it extends leases there.

A new owner extends the leases on the executors that it has inherited at once:
an outage of the store that begins right after its claim would end all running
work otherwise. Until it has recorded them under its epoch, its claim says
nothing of its leases, and the next owner takes each executor for one on which
it may have extended one. Then it writes the claim again, with
``leases_recorded_from``, and extends leases only where the record names it.
"""

import msgspec

from limpetstream.executors import tracking
from limpetstream.shard import names, ownership, state

# Time for the inherited executors to reply and for their records to become
# durable: several times a round trip between data centres and an append.
COMPLETE_AFTER_S = 0.2
RETRY_S = 0.1  # Half of that.


def may_extend(shard: state.Shard, executor: tracking.Executor) -> bool:
    """Return whether the next owner will know of a lease on an executor."""
    if executor.recorded:
        return True
    if not executor.fenced:
        return False
    executor_id = executor.listing.executor_id
    is_inherited = executor_id in shard.inherited_executors
    is_kept = shard.record_state_by_id.get(executor_id) == state.KEPT
    return is_inherited and is_kept and not shard.lease_records_complete


async def complete(shard: state.Shard) -> None:
    """Write the claim again once all executors that have replied are recorded.

    Raises:
        WriterFenced: Another owner has taken over.
        NotOwner: The ownership has ended.
    """
    await shard.clock.sleep(COMPLETE_AFTER_S)
    while not shard.lease_records_complete:
        if _are_complete(shard):
            shard.journal.put(names.OWNER_KEY, lambda: _encode_complete_claim(shard))
            await shard.journal.wait_until_durable()
        if not shard.lease_records_complete:
            await shard.clock.sleep(RETRY_S)


def _encode_complete_claim(shard: state.Shard) -> bytes:
    """Encode the claim as it is appended; no lease is unrecorded afterwards.

    Whether the append takes effect is not known while it has no answer, so
    from its first try on leases are extended only where both claims hold.
    """
    shard.lease_records_complete = _are_complete(shard)
    return msgspec.json.encode(_claim_record(shard))


def encode_claim(shard: state.Shard) -> bytes:
    """Encode the claim once more as the fencing token was raised."""
    return msgspec.json.encode(_claim_record(shard))


def encode_token(shard: state.Shard) -> bytes:
    """Encode the highest fencing token of this owner."""
    return msgspec.json.encode(shard.epoch + shard.token_raises)


def encode_release(shard: state.Shard) -> bytes:
    """Encode the claim once more as this owner has released the shard."""
    record = _claim_record(shard)
    record.released = True
    return msgspec.json.encode(record)


def _claim_record(shard: state.Shard) -> ownership.OwnerRecord:
    recorded_from = shard.leases_recorded_from if shard.lease_records_complete else None
    quorum = shard.instance_quorum
    return ownership.OwnerRecord(
        shard.epoch + shard.token_raises,
        quorum.member,
        quorum.binds_earlier_owners,
        recorded_from,
        shard.proof_ends.stopped_below,
        token_raises=shard.token_raises,
        starts_recorded_from=shard.starts_recorded_from,
    )


def _are_complete(shard: state.Shard) -> bool:
    """Return whether every lease that this owner has extended is recorded.

    It extends none before an executor has replied. On one without a record
    nothing can run.
    """
    return all(
        executor.recorded
        for executor_id, executor in shard.executor_by_id.items()
        if executor.reached and executor_id in shard.record_state_by_id
    )
