"""Stores the estimates that an owner has learned, for the next owner."""

import dataclasses

import msgspec

from limpetstream.shard import names, state
from limpetstream.workflow import interference, records


@dataclasses.dataclass(slots=True)
class StoredEstimates:
    """Estimates as they are stored in the journal.

    Args:
        run_s_by_queue: Mean duration in seconds of runs that ended as done,
            by queue.
        estimate_by_serving: How best-effort work affects a serving image, by
            serving image.
    """

    run_s_by_queue: dict[str, float]
    estimate_by_serving: dict[str, interference.Estimate]


def load(shard: state.Shard, raw: bytes) -> None:
    """Take over the estimates of an earlier owner.

    Raises:
        DecodeError: The record is damaged or has another structure.
    """
    stored = msgspec.json.decode(raw, type=StoredEstimates)
    shard.run_s_by_queue = stored.run_s_by_queue
    shard.interference_model.load(stored.estimate_by_serving)


def save(shard: state.Shard) -> None:
    """Queue the present estimates for the next append to the journal."""
    shard.journal.put(names.ESTIMATES_KEY, lambda: _encode(shard))


def _encode(shard: state.Shard) -> bytes:
    """Return the present estimates, without the oldest if they are too many.

    Images are named by callers, and a record that is too large would hold back
    all others of the journal.
    """
    stored = StoredEstimates(shard.run_s_by_queue, shard.interference_model.dump())
    while True:
        raw = msgspec.json.encode(stored)
        estimates = list(stored.estimate_by_serving.items())
        if len(raw) <= records.MAX_RECORD_BYTES or not estimates:
            return raw
        stored.estimate_by_serving = dict(estimates[(len(estimates) + 1) // 2 :])
