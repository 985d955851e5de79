"""What an owner has learned, kept for the next one."""

import dataclasses

import msgspec

from limpetstream.shard import names, state
from limpetstream.workflow import interference


@dataclasses.dataclass(slots=True)
class StoredEstimates:
    """Stored form.

    Args:
        run_s_by_queue: Mean seconds of a run that ended as done, by queue.
        estimate_by_serving: What is known of serving images beside filling
            work.
    """

    run_s_by_queue: dict[str, float]
    estimate_by_serving: dict[str, interference.Estimate]


def load(shard: state.Shard, raw: bytes) -> None:
    """Take over what an earlier owner has learned.

    Raises:
        DecodeError: The record is damaged or of another shape.
    """
    stored = msgspec.json.decode(raw, type=StoredEstimates)
    shard.run_s_by_queue = stored.run_s_by_queue
    shard.interference_model.load(stored.estimate_by_serving)


def save(shard: state.Shard) -> None:
    """Have the present state written with the next append."""
    shard.journal.put(
        names.ESTIMATES_KEY,
        lambda: msgspec.json.encode(
            StoredEstimates(shard.run_s_by_queue, shard.interference_model.dump())
        ),
    )
