"""Serves callers at any instance: stores jobs and asks the shards' owners."""

import asyncio
import collections
import contextlib
import dataclasses
import functools
import math
import random
from collections.abc import Callable, Collection, Iterator
from typing import Any, NoReturn

from limpetstream import clock as clock_module, errors, recent_ids
from limpetstream.border import closing as closing_module
from limpetstream.organisations import (
    events as organisation_events,
    revocations as revocations_module,
)
from limpetstream.shard import (
    carried_cancels,
    events,
    names,
    peer_messages,
    queries,
    shard_server,
    state,
    submission_attempts,
)
from limpetstream.shard.queueing import job_memory
from limpetstream.store import messages as store_messages
from limpetstream.telemetry import logs
from limpetstream.workflow import messages, records

STORE_TIMEOUT_S = 0.4  # Fifty times the store's usual response time.
MAX_STORE_TIMEOUT_S = 1.2
PEER_TIMEOUT_S = 0.5
# Copies of a request that are sent to an owner that does not answer: a second
# one, as the connection of the first may have fallen silent. An owner that is
# late gets later by each further one.
MAX_COPIES = 2
RETRY_S = 0.05
MAX_RETRY_S = 0.3
OWNER_LOOKUP_INTERVAL_S = 0.2
LOCAL_STORE_TRIES = 3  # Failed tries before another instance is asked.
# After failures for so long, here and at a peer, jobs are refused at once.
STORE_DOWN_AFTER_S = 0.8
PROBE_INTERVAL_S = 0.5
PROBE_WAIT_S = 0.6  # Longest wait of a request that probes the store.
MAX_TRIES_S = 10.0  # Longest time for which a job is tried to be stored.
RETRY_BUDGET_SHARE = 0.7  # Part of the caller's time limit spent on tries.
RETRY_AFTER_S = 1.0  # A new owner takes over in about a second.
# Other instances that get a cancel whose outcome was told as unknown: it is
# still asked for if two of three end before an owner takes it.
CANCEL_COPIES = 2
CLOSING = "the instance is closing"  # Reason of a refusal during a stop.
REVOKED = "the key may have been removed since the request was admitted"
# Requests that are made for a caller while it waits. Those that carry a cancel
# on afterwards tell no admission: the caller was answered long before.
ADMITTED_KINDS = frozenset({"state", "cancel", "waiting", "store"})


@dataclasses.dataclass(slots=True)
class _Asked:
    """What came of asking owners for one request.

    Args:
        may_be_done: Whether an owner may have carried the request out.
        reason: Why the newest try failed.
        retry_after_s: Seconds after which the caller may come back.
    """

    may_be_done: bool = False
    reason: str = "no owner was asked"
    retry_after_s: float = RETRY_AFTER_S


class JobApi:
    """Operations that one instance offers to callers.

    Args:
        store: Store of keyed topics.
        peers: Sends requests to other instances.
        server: Shards that this instance owns.
        owner_by_shard: Announced owners that this instance has seen, by
            shard.
        claimed_shards: Shards that this instance owns, or is claiming; may
            change.
        member: Name of this instance in the group.
        shard_count: Number of shards in use.
        clock: Source of time.
        closing: Bounds the time of requests once a stop has begun; None if
            the instance is never stopped.
        revocations: Removals of keys; None to check no admissions.
    """

    def __init__(
        self,
        *,
        store: store_messages.Store,
        peers: peer_messages.Peers,
        server: shard_server.ShardServer,
        owner_by_shard: dict[int, str],
        claimed_shards: Collection[int],
        member: str,
        shard_count: int,
        clock: clock_module.Clock,
        closing: closing_module.Closing | None = None,
        revocations: revocations_module.Revocations | None = None,
    ) -> None:
        self._store = store
        self._peers = peers
        self._server = server
        self._owner_by_shard = owner_by_shard
        self._claimed_shards = claimed_shards
        self._member = member
        self._shard_count = shard_count
        self._clock = clock
        self._closing = closing or closing_module.Closing(clock)
        self._revocations = revocations
        self._member_by_shard: dict[int, str] = {}
        self._followed_hints: set[int] = set()
        self._members: list[str] = []
        self._voters: frozenset[str] = frozenset()
        self._looked_up_at = float("-inf")
        self._store_down_since: float | None = None
        self._probe_at = float("-inf")
        self._stored_jobs = recent_ids.RecentIds()
        self._possibly_stored_jobs = recent_ids.RecentIds()
        self._submission_count_by_job: collections.Counter[str] = collections.Counter()
        self._room = job_memory.OwnerRoom(self._ask_for_room, clock)
        self._carried_cancels = carried_cancels.CarriedCancels(
            self._cancel_once, self._hand_over, clock
        )

    def begin_stop(self) -> None:
        """Hand over what this instance would go on asking owners for."""
        self._carried_cancels.share_all()

    def is_handing_over(self) -> bool:
        """Return whether other instances do not have all of that yet."""
        return self._carried_cancels.is_sharing()

    def close(self) -> None:
        """End the tasks of this instance."""
        self._carried_cancels.close()
        self._room.close()

    async def submit(
        self,
        submission: messages.Submission,
        *,
        wait_s: float,
        is_wanted: Callable[[], bool] = lambda: True,
        admission: revocations_module.Admission = revocations_module.NO_KEY,
    ) -> None:
        """Store a job durably.

        A caller that no longer waits may have cancelled the job elsewhere, so
        nothing is stored for it.

        Args:
            submission: Job that was validated.
            wait_s: Seconds that the caller still waits.
            is_wanted: Returns whether the caller still waits for the answer.
            admission: How the request was admitted.

        Raises:
            NotRun: The job was certainly not stored, by this request or an
                earlier one at this instance.
            OutcomeUnknown: The job may have been stored.
        """
        if submission.job_id in self._stored_jobs:
            return  # The request has come before.
        attempts = submission_attempts.Attempts(self._clock)
        shard = names.shard_of(submission.job_id, self._shard_count)
        size = job_memory.estimate_bytes(
            submission, len(records.encode_submission(submission))
        )
        with self._counting_submission(submission.job_id):
            self._refuse_if_full(shard, size, submission, attempts)
            try:
                async with self._closing.bounded():
                    tries = await self._store_job(
                        submission, wait_s, is_wanted, attempts, admission
                    )
            except TimeoutError:
                self._raise_failure(submission, attempts, CLOSING)
            self._note_stored(submission, tries)
            self._room.note_stored(shard, size)

    def _refuse_if_full(
        self,
        shard: int,
        size: int,
        submission: messages.Submission,
        attempts: submission_attempts.Attempts,
    ) -> None:
        """Refuse a job that the owner of its shard has no memory for.

        Raises:
            NotRun: As ``submit``.
            OutcomeUnknown: As ``submit``.
        """
        retry_after_s = self._room.retry_after_s(shard, size)
        if retry_after_s:
            self._raise_failure(
                submission,
                attempts,
                "the owner has no memory for more jobs",
                code="too-many-jobs",
                retry_after_s=retry_after_s,
            )

    async def _ask_for_room(self, shard: int) -> job_memory.Answer | None:
        """Ask the owner of a shard how much memory it has left for jobs."""
        asked_at = self._clock.monotonic()
        request = peer_messages.PeerRequest("room", shard)
        reply = await self._ask_repeatedly(request, PEER_TIMEOUT_S, _Asked())
        if reply is None:
            return None
        return job_memory.Answer(reply.count, reply.retry_after_s, asked_at)

    def may_be_stored(self, job_id: str, *, own_submissions: int = 0) -> bool:
        """Return whether a submission of a job here has or may have stored it.

        Submissions under way may store it yet. A refusal of another request
        for the job would then be a wrong promise.

        Args:
            job_id: Id of the job.
            own_submissions: Submissions under way that are not counted.
        """
        return (
            job_id in self._stored_jobs
            or job_id in self._possibly_stored_jobs
            or self._submission_count_by_job[job_id] > own_submissions
        )

    @contextlib.contextmanager
    def _counting_submission(self, job_id: str) -> Iterator[None]:
        """Count a submission as under way while the context is open."""
        self._submission_count_by_job[job_id] += 1
        try:
            yield
        finally:
            self._submission_count_by_job[job_id] -= 1
            if not self._submission_count_by_job[job_id]:
                del self._submission_count_by_job[job_id]

    def _note_stored(self, submission: messages.Submission, tries: int) -> None:
        self._stored_jobs.add(submission.job_id)
        logs.emit(
            events.SUBMISSION_STORED,
            job=submission.job_id,
            queue=submission.queue,
            steps=len(submission.steps),
            tries=tries,
            took_ms=self._clock.wall_ms() - submission.accepted_ms,
        )

    async def _store_job(
        self,
        submission: messages.Submission,
        wait_s: float,
        is_wanted: Callable[[], bool],
        attempts: submission_attempts.Attempts,
        admission: revocations_module.Admission,
    ) -> int:
        """Try to store a job until it is stored; return the number of tries.

        Raises:
            NotRun: As ``submit``.
            OutcomeUnknown: As ``submit``.
        """
        shard = names.shard_of(submission.job_id, self._shard_count)
        if self._refuse_if_store_down(submission):
            wait_s = min(wait_s, PROBE_WAIT_S)
        tries_s = min(MAX_TRIES_S, wait_s * RETRY_BUDGET_SHARE)
        give_up_at = self._clock.monotonic() + tries_s
        timeout_s, retry_s, failed_tries = STORE_TIMEOUT_S, RETRY_S, 0
        while True:
            # A process may be suspended at any place for longer than its wait.
            is_late = self._clock.monotonic() > give_up_at
            if wait_s <= 0 or is_late or not is_wanted():
                self._raise_failure(submission, attempts, "the caller has left")
            if await self._store_here(shard, submission, timeout_s, attempts):
                return failed_tries + 1
            failed_tries += 1
            if failed_tries >= LOCAL_STORE_TRIES:
                if await self._store_at_peer(shard, submission, attempts, admission):
                    return failed_tries + 1
            if self._clock.monotonic() + retry_s >= give_up_at:
                self._raise_failure(submission, attempts, attempts.reason)
            await self._clock.sleep(retry_s * random.uniform(0.5, 1.0))
            retry_s = min(MAX_RETRY_S, retry_s * 2)
            timeout_s = min(MAX_STORE_TIMEOUT_S, timeout_s * 2)

    async def _store_here(
        self,
        shard: int,
        submission: messages.Submission,
        timeout_s: float,
        attempts: submission_attempts.Attempts,
    ) -> bool:
        """Append a job to the store.

        Returns:
            Whether the job is stored; if not, the attempt is noted.
        """
        try:
            with self._noting_cut(submission, attempts, submission_attempts.STORE):
                await self._append(shard, submission, timeout_s)
        except errors.PlatformUnavailable as error:
            attempts.note_store(error)
            if attempts.may_be_stored:
                self._possibly_stored_jobs.add(submission.job_id)
            if self._store_down_since is None:
                self._store_down_since = self._clock.monotonic()
            return False
        self._store_down_since = None
        return True

    def _refuse_if_store_down(self, submission: messages.Submission) -> bool:
        """Refuse a job at once while the store is known to be down.

        At intervals one request passes as a probe of the store.

        Returns:
            Whether this request is a probe.

        Raises:
            NotRun: The store is down, and no probe is due.
        """
        now = self._clock.monotonic()
        since = self._store_down_since
        if since is None or now - since < STORE_DOWN_AFTER_S:
            return False
        if now >= self._probe_at:
            self._probe_at = now + PROBE_INTERVAL_S
            return True
        self._raise_failure(
            submission,
            submission_attempts.Attempts(self._clock),
            "the store does not answer; a later request probes it again",
        )

    async def job_state(
        self,
        job_id: str,
        *,
        wait_s: float,
        admission: revocations_module.Admission = revocations_module.NO_KEY,
    ) -> str | None:
        """Return the state of a job; None if the job certainly does not exist.

        Raises:
            NotRun: No owner could be asked in time.
        """
        shard = names.shard_of(job_id, self._shard_count)
        reply = await self._ask_owner(
            _admitted(admission, "state", shard, job_id=job_id), wait_s
        )
        return reply.state if reply.known else None

    async def cancel(
        self,
        job_id: str,
        *,
        wait_s: float,
        admission: revocations_module.Admission = revocations_module.NO_KEY,
    ) -> bool:
        """Cancel a job durably; return False if it certainly does not exist.

        Raises:
            NotRun: No owner has taken the cancel.
            OutcomeUnknown: An owner may have taken it.
        """
        shard = names.shard_of(job_id, self._shard_count)
        if shard in self._server.shard_by_number:
            # The ownership may have ended once the outcome is told.
            owned = self._server.shard_by_number[shard]
            self._voters = owned.instance_quorum.recorded
        try:
            reply = await self._ask_owner(
                _admitted(admission, "cancel", shard, job_id=job_id), wait_s
            )
        except errors.OutcomeUnknown:
            self._carried_cancels.add(job_id)
            raise
        self._carried_cancels.discard(job_id)
        return reply.known

    async def _cancel_once(self, job_id: str) -> bool:
        """Ask for a cancel once more; return whether an owner has taken it."""
        shard = names.shard_of(job_id, self._shard_count)
        request = peer_messages.PeerRequest("cancel", shard, job_id=job_id)
        reply = await self._ask_repeatedly(request, PEER_TIMEOUT_S, _Asked())
        return reply is not None

    async def _hand_over(self, carried: list[peer_messages.CarriedCancel]) -> bool:
        """Pass cancels to other instances; return whether one has taken them.

        The group is looked up only if too few of the known members answer, as
        the store may be down.
        """
        request = peer_messages.PeerRequest("carry", 0, carried=carried)
        asked: set[str] = set()
        takers: set[str] = set()
        for is_last in (False, True):
            members = self._members_to_hand_over_to(asked)
            while members and len(takers) < CANCEL_COPIES:
                missing = CANCEL_COPIES - len(takers)
                chosen, members = members[:missing], members[missing:]
                asked.update(chosen)
                takers |= await self._pass_to(chosen, request)
            if len(takers) >= CANCEL_COPIES:
                break
            if not is_last:
                await self._look_up_owners()
        if takers:
            logs.emit(
                events.CANCELS_HANDED_OVER,
                count=len(carried),
                members=sorted(takers),
            )
        return bool(takers)

    def _members_to_hand_over_to(self, asked: Collection[str]) -> list[str]:
        """Return other members that were not asked yet, owners last.

        The owner is the one that has not taken the cancel.
        """
        members = self._voters.union(self._members)
        others = sorted(members.difference(asked, [self._member]))
        random.shuffle(others)
        owners = set(self._member_by_shard.values())
        return sorted(others, key=owners.__contains__)

    async def _pass_to(
        self, members: list[str], request: peer_messages.PeerRequest
    ) -> set[str]:
        """Send a request to members; return the others that have taken it.

        Another process may answer at the address of a member, or this one.
        """
        replies = await asyncio.gather(
            *[
                self._peers.call(member, request, timeout_s=PEER_TIMEOUT_S)
                for member in members
            ],
            return_exceptions=True,
        )
        takers = set()
        for reply in replies:
            if isinstance(reply, peer_messages.PeerReply):
                takers.update([reply.member] if reply.known else [])
            elif not isinstance(reply, errors.PeerUnreachable):
                raise reply
        return takers.difference([self._member])

    async def count_waiting_jobs(
        self,
        queue: str,
        *,
        wait_s: float,
        admission: revocations_module.Admission = revocations_module.NO_KEY,
    ) -> int:
        """Return how many accepted jobs of a queue have not started.

        Raises:
            NotRun: An owner could not be asked in time.
        """
        count = 0
        for shard in range(self._shard_count):
            reply = await self._ask_owner(
                _admitted(admission, "waiting", shard, queue=queue), wait_s
            )
            count += reply.count
        return count

    async def answer_peer(
        self, request: peer_messages.PeerRequest, *, is_wanted: bool = True
    ) -> peer_messages.PeerReply:
        """Answer a request of another instance or of this one.

        Args:
            request: The request.
            is_wanted: Whether the sender still waits. Nothing is stored
                otherwise: the job may have been cancelled meanwhile.
        """
        if request.kind == "store" and not is_wanted:
            return peer_messages.PeerReply(refused="the sender has left")
        if request.kind in ADMITTED_KINDS and self._is_revoked(request):
            return peer_messages.PeerReply(refused=REVOKED, retry_after_s=RETRY_AFTER_S)
        is_begun = False
        try:
            async with self._closing.bounded():
                is_begun = True
                return await self._answer_peer(request)
        except TimeoutError:
            changes_state = request.kind in ("cancel", "store")
            return peer_messages.PeerReply(
                refused=CLOSING, unknown=is_begun and changes_state
            )

    def _is_revoked(self, request: peer_messages.PeerRequest) -> bool:
        """Return whether keys were removed too long since the admission."""
        admission = revocations_module.Admission(
            request.organisation, request.configuration_version
        )
        now = self._clock.monotonic()
        if self._revocations is None or not self._revocations.is_revoked(
            admission, now
        ):
            return False
        logs.emit(
            organisation_events.PEER_ADMISSION_REFUSED,
            call=request.kind,
            job=request.job_id,
            organisation=request.organisation,
            version=request.configuration_version,
        )
        return True

    async def _answer_peer(
        self, request: peer_messages.PeerRequest
    ) -> peer_messages.PeerReply:
        if request.kind == "store":
            return await self._answer_store(request)
        if request.kind == "carry":
            return self._answer_carry(request)
        if request.kind == "serves":
            return self._server.answer_serves(request)
        if request.kind == "epoch":
            reply = self._server.answer_epoch(request)
            reply.released = request.shard not in self._claimed_shards
            return reply
        shard = self._server.shard_by_number.get(request.shard)
        try:
            if shard is None:
                owner = self._owner_by_shard.get(request.shard, "")
                return peer_messages.PeerReply(
                    refused="not the owner of the shard", owner=owner
                )
            if request.kind == "room":
                return peer_messages.PeerReply(
                    known=True,
                    count=job_memory.used_percent(shard.job_memory),
                    retry_after_s=job_memory.retry_after_s(
                        shard.job_memory, self._clock.monotonic()
                    ),
                )
            if request.kind == "waiting":
                return peer_messages.PeerReply(
                    count=queries.count_waiting_jobs(shard, request.queue)
                )
            if request.kind == "cancel":
                return await _cancel(shard, request.job_id)
            job_state = await queries.job_state(shard, request.job_id)
            return peer_messages.PeerReply(
                known=job_state is not None, state=job_state or ""
            )
        except errors.LimpetstreamError as error:
            return peer_messages.PeerReply(refused=f"{type(error).__name__}: {error}")

    async def _answer_store(
        self, request: peer_messages.PeerRequest
    ) -> peer_messages.PeerReply:
        if request.submission is None:
            return peer_messages.PeerReply(refused="the request has no submission")
        try:
            await self._append(request.shard, request.submission, STORE_TIMEOUT_S)
        except errors.PlatformUnavailable as error:
            if not error.not_applied:
                attempts = submission_attempts.Attempts(self._clock)
                attempts.note_store(error)
                logs.emit(
                    events.PEER_JOB_NOT_STORED,
                    job=request.submission.job_id,
                    attempts=attempts.rows(),
                )
            return peer_messages.PeerReply(
                refused=str(error), unknown=not error.not_applied
            )
        return peer_messages.PeerReply(known=True)

    def _answer_carry(
        self, request: peer_messages.PeerRequest
    ) -> peer_messages.PeerReply:
        if math.isfinite(self._closing.answer_by):
            return peer_messages.PeerReply(refused=CLOSING)
        if not self._carried_cancels.take(request.carried):
            return peer_messages.PeerReply(refused="too many cancels")
        return peer_messages.PeerReply(known=True, member=self._member)

    async def _append(
        self, shard: int, submission: messages.Submission, timeout_s: float
    ) -> None:
        await self._store.append(
            names.SUBMISSIONS_TOPIC,
            shard,
            [
                store_messages.Entry(
                    submission.job_id, records.encode_submission(submission)
                )
            ],
            timeout_s=timeout_s,
        )

    async def _store_at_peer(
        self,
        shard: int,
        submission: messages.Submission,
        attempts: submission_attempts.Attempts,
        admission: revocations_module.Admission,
    ) -> bool:
        """Ask another instance to store a job that this one cannot store.

        Returns:
            Whether the job is stored; if not, the attempt is noted.
        """
        others = [member for member in self._members if member != self._member]
        if not others:
            return False
        member = random.choice(others)
        try:
            with self._noting_cut(submission, attempts, member):
                reply = await self._peers.call(
                    member,
                    _admitted(admission, "store", shard, submission=submission),
                    timeout_s=PEER_TIMEOUT_S,
                )
        except errors.PeerUnreachable as error:
            attempts.note_unreachable(member, error)
        else:
            if reply.known:
                self._store_down_since = None
                return True
            attempts.note_peer(member, reply)
        if attempts.may_be_stored:
            self._possibly_stored_jobs.add(submission.job_id)
        return False

    @contextlib.contextmanager
    def _noting_cut(
        self,
        submission: messages.Submission,
        attempts: submission_attempts.Attempts,
        via: str,
    ) -> Iterator[None]:
        """Note that an attempt that is cut off may have stored the job."""
        try:
            yield
        except asyncio.CancelledError:
            attempts.note_cut(via)
            self._possibly_stored_jobs.add(submission.job_id)
            raise

    def _raise_failure(
        self,
        submission: messages.Submission,
        attempts: submission_attempts.Attempts,
        reason: str,
        *,
        code: str = "store-unavailable",
        retry_after_s: float = RETRY_AFTER_S,
    ) -> NoReturn:
        job_id = submission.job_id
        # Another request for it may be under way, or have ended meanwhile.
        earlier_request = not attempts.may_be_stored and self.may_be_stored(
            job_id, own_submissions=1
        )
        may_be_stored = attempts.may_be_stored or earlier_request
        logs.emit(
            events.CALL_REFUSED,
            call="submit",
            job=job_id,
            outcome="unknown" if may_be_stored else "not-run",
            reason=reason,
            earlier_request=earlier_request,
            attempts=attempts.rows(),
            left_out=attempts.left_out,
        )
        if may_be_stored:
            raise errors.OutcomeUnknown(reason)
        raise errors.NotRun(code, reason, retry_after_s=retry_after_s)

    async def _ask_owner(
        self, request: peer_messages.PeerRequest, wait_s: float
    ) -> peer_messages.PeerReply:
        """Ask the owner of a shard; look it up again after each failure.

        Raises:
            NotRun: No owner has answered, and the request had no effect.
            OutcomeUnknown: No owner has answered; one may have carried it out.
        """
        asked = _Asked()
        try:
            async with self._closing.bounded():
                reply = await self._ask_repeatedly(request, wait_s, asked)
        except TimeoutError:
            reply, asked.reason = None, f"{CLOSING}; {asked.reason}"
        if reply is not None:
            return reply
        logs.emit(
            events.CALL_REFUSED,
            call=request.kind,
            job=request.job_id,
            queue=request.queue,
            outcome="unknown" if asked.may_be_done else "not-run",
            reason=asked.reason,
        )
        if asked.may_be_done:
            raise errors.OutcomeUnknown(asked.reason)
        raise errors.NotRun("no-owner", asked.reason, retry_after_s=asked.retry_after_s)

    async def _ask_repeatedly(
        self, request: peer_messages.PeerRequest, wait_s: float, asked: _Asked
    ) -> peer_messages.PeerReply | None:
        """Ask until an owner answers; return None once the time is over."""
        give_up_at = self._clock.monotonic() + wait_s * RETRY_BUDGET_SHARE
        retry_s = RETRY_S
        ask_known_owner = functools.partial(self._ask_known_owner, give_up_at)
        while True:
            for ask in (self.answer_peer, ask_known_owner):
                try:
                    reply = await ask(request)
                except asyncio.CancelledError:
                    # What was sent to an owner may have arrived there.
                    asked.may_be_done |= request.kind == "cancel"
                    raise
                if not reply.refused:
                    return reply
                asked.may_be_done |= reply.unknown
                asked.reason = reply.refused
                if reply.retry_after_s:
                    asked.retry_after_s = reply.retry_after_s
                    return None
            if self._clock.monotonic() + retry_s >= give_up_at:
                return None
            await self._clock.sleep(retry_s * random.uniform(0.5, 1.0))
            retry_s = min(MAX_RETRY_S, retry_s * 2)

    async def _ask_known_owner(
        self, give_up_at: float, request: peer_messages.PeerRequest
    ) -> peer_messages.PeerReply:
        member = self._member_by_shard.get(request.shard)
        if member is None or member == self._member:
            await self._look_up_owners()
            member = self._member_by_shard.get(request.shard)
        if member is None:
            return peer_messages.PeerReply(refused="no owner of the shard is known")
        if member == self._member:
            member = self._owner_by_shard.get(request.shard, self._member)
        if member == self._member:
            return await self.answer_peer(request)
        try:
            reply = await self._call_owner(member, request, give_up_at)
        except errors.PeerUnreachable as error:
            await self._look_up_owners()
            changes_state = request.kind == "cancel"
            return peer_messages.PeerReply(refused=str(error), unknown=changes_state)
        if not reply.refused:
            return reply
        names_other_owner = reply.owner not in ("", member, self._member)
        if names_other_owner and request.shard not in self._followed_hints:
            # The next try asks the owner that this member named.
            self._member_by_shard[request.shard] = reply.owner
            self._followed_hints.add(request.shard)
        else:
            # Members with outdated hints may name each other endlessly.
            self._followed_hints.discard(request.shard)
            await self._look_up_owners()
        return reply

    async def _call_owner(
        self, member: str, request: peer_messages.PeerRequest, give_up_at: float
    ) -> peer_messages.PeerReply:
        """Call the owner of a shard until it answers or is the owner no more.

        An owner that is short of processor time answers late. It would be
        asked again and again if each call had a short time limit, and every
        request would make it later.

        Args:
            member: Owner by what is known here.
            request: Request that may be carried out twice.
            give_up_at: Monotonic time at which no answer is of use any more.

        Raises:
            PeerUnreachable: No usable answer came; another member may own the
                shard by now.
        """
        calls: set[asyncio.Task[peer_messages.PeerReply]] = set()
        copies = 0
        try:
            while True:
                left_s = max(PEER_TIMEOUT_S, give_up_at - self._clock.monotonic())
                if copies < MAX_COPIES:
                    copies += 1
                    call = self._peers.call(member, request, timeout_s=left_s)
                    calls.add(asyncio.create_task(call))
                ended, calls = await asyncio.wait(
                    calls,
                    timeout=PEER_TIMEOUT_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                failures = [call for call in ended if call.exception() is not None]
                answers = ended.difference(failures)
                if answers:
                    return answers.pop().result()
                if not calls:
                    return failures[0].result()  # Raises its error.
                await self._look_up_owners()
                if self._member_by_shard.get(request.shard) != member:
                    raise errors.PeerUnreachable(f"{member} owns the shard no more")
        finally:
            for call in calls:
                call.cancel()

    async def _look_up_owners(self) -> None:
        now = self._clock.monotonic()
        if now - self._looked_up_at < OWNER_LOOKUP_INTERVAL_S:
            return
        self._looked_up_at = now
        try:
            member_by_partition = await self._store.owners(
                names.GROUP, timeout_s=STORE_TIMEOUT_S
            ) or await self._store.owners(
                names.RESERVE_GROUP, timeout_s=STORE_TIMEOUT_S
            )
        except errors.PlatformUnavailable as error:
            logs.emit(events.LIST_READ_FAILED, topic="owners", error=str(error))
            return
        self._members = sorted(set(member_by_partition.values()))
        member_by_shard = {
            partition: member
            for (topic, partition), member in member_by_partition.items()
            if topic == names.PROGRESS_TOPIC and partition < self._shard_count
        }
        if member_by_shard != self._member_by_shard:
            logs.emit(events.OWNER_LOOKED_UP, owners=member_by_shard)
        self._member_by_shard = member_by_shard


def _admitted(
    admission: revocations_module.Admission, kind: str, shard: int, **fields: Any
) -> peer_messages.PeerRequest:
    """Return a request that tells how it was admitted."""
    return peer_messages.PeerRequest(
        kind,
        shard,
        organisation=admission.organisation,
        configuration_version=admission.version,
        **fields,
    )


async def _cancel(shard: state.Shard, job_id: str) -> peer_messages.PeerReply:
    """Cancel a job at its owner; a failure may come after it took effect."""
    try:
        return peer_messages.PeerReply(known=await queries.cancel(shard, job_id))
    except errors.LimpetstreamError as error:
        job = shard.job_by_id.get(job_id)
        is_noted = job_id in shard.cancelled_at_by_unknown_job
        return peer_messages.PeerReply(
            refused=f"{type(error).__name__}: {error}",
            retry_after_s=getattr(error, "retry_after_s", 0.0),
            unknown=is_noted or (job is not None and job.outcome == messages.CANCELLED),
        )
