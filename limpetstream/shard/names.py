"""Names the topics, groups and keys of this system's state in the store."""

import zlib

SUBMISSIONS_TOPIC = "keyed.limpetstream.submissions"
PROGRESS_TOPIC = "keyed.limpetstream.progress"
OWNERS_TOPIC = "keyed.limpetstream.owners"
GROUP = "limpetstream"
# Instances that own shards only while the group above has no member.
RESERVE_GROUP = "limpetstream.reserve"
WRITER = "limpetstream"
OWNER_KEY = "!owner"  # Sorts before every job id and executor key.
TOKEN_KEY = "!token"  # Highest fencing token, besides the one in the claim.
ESTIMATES_KEY = "!learned"
PROOF_KEY = "!proof"  # Never holds a value; see shard/proof.py.
INSTANCES_KEY = "!instances"
EXECUTOR_KEY_PREFIX = "!executor/"


def shard_of(job_id: str, shard_count: int) -> int:
    """Return the shard of a job; every instance computes the same one.

    >>> shard_of("5c0e7a21d94b36f8", 1)
    0
    """
    return zlib.crc32(job_id.encode()) % shard_count


def peer_address(member: str) -> str:
    """Return the address on which a member answers its peers.

    The rest of the name distinguishes successive processes of the member.

    >>> peer_address("10.1.0.13:7720#5f0c")
    '10.1.0.13:7720'
    """
    return member.partition("#")[0]


def shard_of_executor(executor_id: str, shard_count: int) -> int:
    """Return the shard that an executor belongs to."""
    return zlib.crc32(executor_id.encode()) % shard_count
