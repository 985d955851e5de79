"""Ranks members for a resource by rendezvous hashing."""

from collections.abc import Iterable

import xxhash

from limpetstream.membership import members


def weight(member_id: str, resource: str) -> int:
    """Return the rendezvous weight of a member for a resource."""
    return xxhash.xxh64_intdigest(f"{member_id}|{resource}".encode())


def ranked(
    candidates: Iterable[members.Member], resource: str, data_centre: str = ""
) -> list[members.Member]:
    """Return members in order of preference for a resource.

    Members in ``data_centre`` come first, and then those with a higher weight.

    >>> near = members.Member("a", "gl-erie", "", "", 0)
    >>> far = [members.Member(str(n), "gl-huron", "", "", 0) for n in range(9)]
    >>> ranked([*far, near], "executors/gl-erie/0", "gl-erie")[0].id
    'a'
    """
    return sorted(
        candidates,
        key=lambda member: (
            member.data_centre != data_centre,
            -weight(member.id, resource),
            member.id,
        ),
    )


def rank_of(order: list[members.Member], member_id: str) -> int | None:
    """Return the index of a member in an order, or None if it is absent."""
    for rank, member in enumerate(order):
        if member.id == member_id:
            return rank
    return None
