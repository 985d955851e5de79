"""Asks the instances that vote, and records which ones do."""

import asyncio
import math

import msgspec

from limpetstream import errors
from limpetstream.shard import (
    events,
    instance_quorum,
    names,
    ownership,
    peer_messages,
    proof,
    sessions,
    state,
)
from limpetstream.telemetry import logs

ASK_INTERVAL_S = 0.25
ASK_TIMEOUT_S = 0.5  # Seventy times the round trip between data centres.
# Instances are asked once the newest append is this old. An append proves the
# ownership for 2 s, so one call without an answer delays nothing.
ASK_APPEND_AGE_S = 0.8
INFORM_S = 3.0  # Tells instances for so long that earlier proofs have ended.
RECORD_INTERVAL_S = 1.0  # As long as a membership in the group.
READ_TIMEOUT_S = 0.5  # As long as a call that renews the membership.


def note_inherited(shard: state.Shard, record: instance_quorum.InstancesRecord) -> None:
    """Take over the instances that the journal records."""
    quorum = shard.instance_quorum
    quorum.recorded = frozenset(record.members)
    if quorum.binds_earlier_owners:
        quorum.inherited = quorum.recorded


async def ask(shard: state.Shard) -> None:
    """Tell instances this epoch, and ask them while appends are missing."""
    quorum = shard.instance_quorum
    while quorum.peers is not None:
        now = shard.clock.monotonic()
        members = quorum.inherited - quorum.told if not quorum.is_half_told() else set()
        if now - shard.journal.confirmed_at > ASK_APPEND_AGE_S:
            members = members | quorum.recorded | (quorum.writing or frozenset())
        members = members | _uninformed(shard, now) | _maybe_ended(shard)
        had_ended = shard.earlier_proofs_ended_at is not None
        if members:
            await asyncio.gather(*[_ask_member(shard, member) for member in members])
        proof.have_earlier_owners_stopped(shard)  # Notes it, for later owners.
        if had_ended or shard.earlier_proofs_ended_at is None:
            await shard.clock.sleep(ASK_INTERVAL_S)


def _uninformed(shard: state.Shard, now: float) -> frozenset[str]:
    """Return the instances to tell that earlier proofs have ended."""
    ended_at = shard.earlier_proofs_ended_at
    if ended_at is None or now - ended_at > INFORM_S:
        return frozenset()
    quorum = shard.instance_quorum
    return (quorum.inherited | quorum.recorded) - quorum.informed


def _maybe_ended(shard: state.Shard) -> set[str]:
    """Return the owner before if it helps to know that it has ended."""
    is_known = not shard.previous_member or math.isfinite(shard.previous_ended_at)
    if (
        is_known
        or shard.earlier_runs_settled
        or proof.have_earlier_owners_stopped(shard)
    ):
        return set()
    return {shard.previous_member}


async def _ask_member(shard: state.Shard, member: str) -> None:
    quorum = shard.instance_quorum
    sent_at = shard.clock.monotonic()
    informs = shard.earlier_proofs_ended_at is not None
    if member == quorum.member:
        # An instance claims a shard again only once it has released it.
        reply = peer_messages.PeerReply(
            epoch=quorum.note_epoch(shard.number, shard.epoch),
            member=member,
            released=True,
        )
    else:
        request = peer_messages.PeerRequest(
            "epoch",
            shard.number,
            epoch=shard.epoch,
            proof_ends=shard.proof_ends.tell(sent_at),
            stopped_below=shard.proof_ends.stopped_below,
        )
        try:
            reply = await quorum.peers.call(member, request, timeout_s=ASK_TIMEOUT_S)
        except errors.PeerUnreachable:
            return
    shard.proof_ends.note_told(reply.proof_ends, shard.clock.monotonic())
    shard.proof_ends.note_stopped(reply.stopped_below)
    if informs:
        quorum.informed.add(member)
    if not reply.member:
        return  # An instance of a version that does not vote.
    has_ended = reply.member != member
    if (has_ended or reply.released) and member == shard.previous_member:
        # Calls that it has sent carry deadlines, however late they arrive.
        ended_at = min(shard.previous_ended_at, shard.clock.monotonic())
        shard.previous_ended_at = ended_at
    if member in quorum.inherited and (has_ended or reply.epoch >= shard.epoch):
        quorum.told.add(member)
        if quorum.is_half_told():
            sessions.check_earlier_runs(shard)
            shard.changed.set()
    if not has_ended and reply.epoch <= shard.epoch:
        quorum.agreed_at_by_member[member] = sent_at


async def record(shard: state.Shard) -> None:
    """Record the instances that vote when the members of the groups change.

    Until no earlier owner can get a majority, those that the journal already
    holds go on voting: the next owner has to end the majorities of all.
    """
    quorum = shard.instance_quorum
    is_recorded = False
    while quorum.peers is not None:
        await shard.clock.sleep(RECORD_INTERVAL_S)
        if shard.earlier_proofs_ended_at is None:
            continue
        try:
            members = frozenset(
                await ownership.group_members(shard.store, timeout_s=READ_TIMEOUT_S)
            )
        except errors.PlatformUnavailable as error:
            logs.emit(events.LIST_READ_FAILED, topic=names.GROUP, error=str(error))
            continue
        if members and (members != quorum.recorded or not is_recorded):
            await _write(shard, members)
            is_recorded = True


async def _write(shard: state.Shard, members: frozenset[str]) -> None:
    quorum = shard.instance_quorum
    quorum.writing = members
    shard.journal.put(
        names.INSTANCES_KEY,
        lambda: msgspec.json.encode(
            instance_quorum.InstancesRecord(shard.epoch, sorted(members))
        ),
    )
    await shard.journal.wait_until_durable()
    quorum.recorded, quorum.writing = members, None
    quorum.unreadable = False
