"""Loads and serves the shards that this instance owns."""

import asyncio
import contextlib
import functools
import math
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from limpetstream import clock as clock_module, errors
from limpetstream.executors import measuring, messages as executor_messages
from limpetstream.shard import (
    events,
    executor_list,
    executor_records,
    fences,
    housekeeping,
    instance_quorum,
    instance_votes,
    journal,
    lease_records,
    names,
    ownership,
    peer_messages,
    proof,
    proof_ends,
    recovery,
    restarts,
    scheduling,
    sessions,
    state,
)
from limpetstream.shard.queueing import job_memory
from limpetstream.store import follower, messages as store_messages
from limpetstream.telemetry import logs
from limpetstream.workflow import records

# Bounds for how long a silent connection hides accepted jobs: each is counted
# as waiting within 5 s, and a read may last 0.7 s longer than it waits.
SUBMISSIONS_WAIT_S = 2.0
LISTING_PAUSE_S = 0.4  # Executors write every 1.5 s; one read returns several.

DecodeListing = Callable[[store_messages.Entry], executor_messages.Listing | None]


class ShardServer:
    """Serves shards, each from its claim until the ownership ends.

    Args:
        store: Store of keyed topics.
        executor_client: Sends requests to executors.
        clock: Source of time.
        view: Configuration and closed data centres, kept current by the
            caller.
        timing: Durations that the deployment sets.
        shard_count: Number of shards in use.
        executors_topic: Topic that lists the executors.
        decode_listing: Decodes one entry of that topic; returns None for an
            entry that names no usable executor.
        member: Name of this instance in the group.
        peers: Sends requests to other instances; None if there are none.
        job_memory_bytes: Memory that the jobs of all shards may take.
    """

    def __init__(
        self,
        *,
        store: store_messages.Store,
        executor_client: executor_messages.ExecutorClient,
        clock: clock_module.Clock,
        view: state.DeploymentView,
        timing: state.Timing,
        shard_count: int,
        executors_topic: str,
        decode_listing: DecodeListing,
        member: str = "",
        peers: peer_messages.Peers | None = None,
        job_memory_bytes: float = math.inf,
    ) -> None:
        self.shard_by_number: dict[int, state.Shard] = {}
        self._store = store
        self._executor_client = executor_client
        self._clock = clock
        self._view = view
        self._timing = timing
        self._shard_count = shard_count
        self._executors_topic = executors_topic
        self._decode_listing = decode_listing
        self._member = member
        self._peers = peers
        self._job_memory_bytes = job_memory_bytes
        self._epoch_by_shard: dict[int, int] = {}
        self._proof_ends_by_shard: dict[int, proof_ends.ProofEnds] = {}

    async def serve(self, number: int, claim: ownership.Claim) -> None:
        """Serve a claimed shard until cancelled.

        Args:
            number: Number of the shard.
            claim: Its claim.

        Raises:
            WriterFenced: Another instance has claimed the shard.
            TokenOutdated: An executor has seen the token of a later owner, as
                far as can be told while the store does not answer.
        """
        try:
            await self._serve(number, claim)
        except* (errors.WriterFenced, errors.TokenOutdated) as caught:
            raise _first_error(caught) from None
        except* Exception as caught:
            # The text of a group names none of its errors.
            raise _first_error(caught) from caught

    async def _serve(self, number: int, claim: ownership.Claim) -> None:
        shard: state.Shard | None = None
        try:
            async with asyncio.TaskGroup() as group:
                spawn = functools.partial(_spawn, group)
                shard = self._make_shard(number, claim, spawn)
                async with self._registered(shard):
                    await self._load_and_serve(shard)
        except asyncio.CancelledError:
            if shard is not None:
                await _note_release(shard)
            raise

    def stalled_s(self, number: int) -> float:
        """Return for how long the store has kept a shard from being served.

        The journal fails, or the shard cannot be loaded although there is a
        configuration.
        """
        shard = self.shard_by_number.get(number)
        if shard is None:
            return 0.0
        since = shard.journal.failing_since
        if since is None and not shard.recovered:
            since = shard.load_began_at
        return 0.0 if since is None else self._clock.monotonic() - since

    async def is_served_by(self, number: int, member: str) -> bool | None:
        """Ask a member whether it serves a shard; None without an answer."""
        if self._peers is None:
            return None
        request = peer_messages.PeerRequest("serves", number)
        try:
            reply = await self._peers.call(
                member, request, timeout_s=instance_votes.ASK_TIMEOUT_S
            )
        except errors.PeerUnreachable:
            return None
        if not reply.member:
            return not reply.refused  # It has a version without this question.
        # Another process at the address of the member has another name.
        return reply.known and reply.member == member

    def answer_serves(
        self, request: peer_messages.PeerRequest
    ) -> peer_messages.PeerReply:
        """Tell whether this instance serves a shard."""
        return peer_messages.PeerReply(
            known=request.shard in self.shard_by_number, member=self._member
        )

    def answer_epoch(
        self, request: peer_messages.PeerRequest
    ) -> peer_messages.PeerReply:
        """Note the epoch of an owner; tell it what is known here."""
        epoch = self._note_epoch(request.shard, request.epoch)
        ends = self._proof_ends_of(request.shard)
        now = self._clock.monotonic()
        ends.note_told(request.proof_ends, now)
        ends.note_stopped(request.stopped_below)
        return peer_messages.PeerReply(
            epoch=epoch,
            member=self._member,
            proof_ends=ends.tell(now),
            stopped_below=ends.stopped_below,
        )

    def _note_epoch(self, number: int, epoch: int) -> int:
        """Note an epoch of a shard; return the highest one known here."""
        highest = max(epoch, self._epoch_by_shard.get(number, 0))
        self._epoch_by_shard[number] = highest
        return highest

    def _proof_ends_of(self, number: int) -> proof_ends.ProofEnds:
        return self._proof_ends_by_shard.setdefault(number, proof_ends.ProofEnds())

    @contextlib.asynccontextmanager
    async def _registered(self, shard: state.Shard) -> AsyncIterator[None]:
        self.shard_by_number[shard.number] = shard
        try:
            yield
        finally:
            del self.shard_by_number[shard.number]
            shard.ended = True
            shard.journal.fail_waiters(errors.NotOwner(f"shard {shard.number}"))

    def _make_shard(
        self,
        number: int,
        claim: ownership.Claim,
        spawn: Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]],
    ) -> state.Shard:
        shard = state.Shard(
            number=number,
            shard_count=self._shard_count,
            epoch=claim.epoch,
            store=self._store,
            executor_client=self._executor_client,
            clock=self._clock,
            view=self._view,
            timing=self._timing,
            journal=journal.Journal(self._store, number, claim.epoch, self._clock),
            spawn=spawn,
            ownership_proven_at=claim.proven_at,
            claimed_at=self._clock.monotonic(),
            claim_proven_at=claim.proven_at,
            instance_quorum=instance_quorum.Quorum(
                self._member,
                self._peers,
                self._note_epoch,
                claim.instances_vote,
            ),
            proof_ends=self._proof_ends_of(number),
            leases_recorded_from=claim.leases_recorded_from,
            starts_recorded_from=claim.starts_recorded_from,
            offset_by_voter=claim.offset_by_voter,
            previous_epoch=claim.previous_epoch,
            previous_member=claim.previous_member,
            lease_records_complete=False,
            job_memory=job_memory.JobMemory(self._job_memory_bytes / self._shard_count),
        )
        shard.proof_ends.note_stopped(claim.stopped_below)
        if claim.previous_released:
            shard.previous_ended_at = shard.claimed_at
            # Notes it now, as this owner may end before it has asked anybody.
            proof.have_earlier_owners_stopped(shard)
        shard.executor_client = fences.CheckingClient(
            measuring.MeasuringClient(
                self._executor_client, shard.send_window, self._clock
            ),
            functools.partial(proof.confirm, shard),
            functools.partial(restarts.newest_token, shard),
        )
        return shard

    async def _load_and_serve(self, shard: state.Shard) -> None:
        shard.spawn(shard.journal.run())
        shard.spawn(
            shard.send_window.run(
                lambda: len(shard.executor_by_id),
                functools.partial(_report_link, shard),
                functools.partial(_report_lateness, shard),
            )
        )
        while shard.view.configuration is None:
            await self._clock.sleep(recovery.RETRY_S)
        shard.load_began_at = self._clock.monotonic()
        executors = self._executors_follower(shard)
        submissions, progress_by_id = _submissions_follower(shard)
        journaled = await recovery.load_journal(shard)
        progress_by_id.update(journaled.progress_by_id)
        await _load_follower(shard, submissions)
        recovery.restore_final_jobs(shard, progress_by_id)
        progress_by_id.clear()
        shard.spawn(instance_votes.ask(shard))
        # Executors are polled only once the jobs are known. Otherwise the
        # ends of their runs would be acknowledged as those of unknown jobs.
        for record in journaled.executors:
            executor_records.note_inherited(shard, record)
            executor_list.add_executor(shard, record.listing, listed=False)
        await _load_follower(shard, executors)
        shard.recovered = True
        logs.emit(
            events.SHARD_RECOVERED,
            shard=shard.number,
            epoch=shard.epoch,
            jobs=len(shard.job_by_id),
            executors=len(shard.executor_by_id),
            after_ms=round((self._clock.monotonic() - shard.claimed_at) * 1000),
        )
        sessions.check_earlier_runs(shard)
        shard.spawn(submissions.run())
        shard.spawn(executors.run())
        shard.spawn(housekeeping.run(shard))
        shard.spawn(instance_votes.record(shard))
        shard.spawn(lease_records.complete(shard))
        await scheduling.run(shard)

    def _executors_follower(self, shard: state.Shard) -> follower.Follower:
        def apply(entries: list[store_messages.Entry], complete: bool) -> None:
            listing_by_id = {
                entry.key: self._decode_listing(entry)
                if entry.value is not None
                else None
                for entry in entries
            }
            executor_list.apply_listings(shard, listing_by_id, complete=complete)

        return _follower(
            shard, self._executors_topic, 0, apply, wait_s=0.0, pause_s=LISTING_PAUSE_S
        )


def _spawn(
    group: asyncio.TaskGroup, coroutine: Coroutine[Any, Any, Any]
) -> asyncio.Task[Any]:
    """Start a task that ends with the ownership.

    Raises:
        NotOwner: The ownership is ending. A request that was under way may
            still reach the shard then.
    """
    try:
        return group.create_task(coroutine)
    except RuntimeError as error:
        coroutine.close()
        raise errors.NotOwner("the ownership of the shard is ending") from error


async def _note_release(shard: state.Shard) -> None:
    """Tell the next owner in the journal that this one has stopped.

    Nothing is sent any more under its epoch. The next owner reads the claim
    before its own, so it need not ask this instance, which may have ended.
    """
    entry = store_messages.Entry(names.OWNER_KEY, lease_records.encode_release(shard))
    try:
        await shard.journal.append_last(entry, timeout_s=ownership.RELEASE_TIMEOUT_S)
    except (
        errors.PlatformUnavailable,
        errors.SequenceConflict,
        errors.WriterFenced,
    ) as error:
        logs.emit(
            events.RELEASE_NOT_STORED,
            shard=shard.number,
            epoch=shard.epoch,
            error=str(error),
        )


def _report_link(shard: state.Shard, is_full: bool) -> None:
    """Log that calls to executors wait for the link, or no longer do."""
    window = shard.send_window
    logs.emit(
        events.LINK_FULL if is_full else events.LINK_FREE,
        shard=shard.number,
        window_bytes=round(window.limit_bytes),
        waiting=window.waiting_count,
        unsent=window.unsent_starts,
        delay_ms=round(window.delay_s * 1000),
        lag_ms=round(window.lateness.lag_s * 1000),
    )


def _report_lateness(shard: state.Shard, is_late: bool) -> None:
    """Log that the owner groups polls as it is late, or no longer does."""
    late = shard.send_window.lateness
    logs.emit(
        events.OWNER_LATE if is_late else events.OWNER_IN_TIME,
        shard=shard.number,
        lag_ms=round(late.lag_s * 1000),
        pause_ms=round(late.pause_s * 1000),
        waiting=len(shard.waiting_tasks),
    )


def _submissions_follower(
    shard: state.Shard,
) -> tuple[follower.Follower, dict[str, records.Progress]]:
    progress_by_id: dict[str, records.Progress] = {}

    def apply(entries: list[store_messages.Entry], complete: bool) -> None:
        recovery.apply_submissions(shard, entries, progress_by_id)

    submissions = _follower(
        shard,
        names.SUBMISSIONS_TOPIC,
        shard.number,
        apply,
        wait_s=SUBMISSIONS_WAIT_S,
    )
    shard.submissions_follower = submissions
    return submissions, progress_by_id


def _follower(
    shard: state.Shard,
    topic: str,
    partition: int,
    apply: follower.Apply,
    *,
    wait_s: float,
    pause_s: float = 0.0,
) -> follower.Follower:
    def failed(error: Exception) -> None:
        logs.emit(events.LIST_READ_FAILED, topic=topic, error=str(error))

    def restored(after_s: float) -> None:
        logs.emit(events.LIST_READ_RESTORED, topic=topic, after_s=round(after_s, 3))

    return follower.Follower(
        shard.store,
        topic,
        partition,
        shard.clock,
        apply,
        wait_s,
        pause_s,
        failed,
        restored,
    )


async def _load_follower(shard: state.Shard, source: follower.Follower) -> None:
    while True:
        try:
            await source.load()
            return
        except errors.PlatformUnavailable as error:
            source.on_failure(error)
        await shard.clock.sleep(recovery.RETRY_S)


def _first_error(group: BaseExceptionGroup) -> BaseException:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
