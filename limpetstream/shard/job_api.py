"""What any instance does for callers: it stores jobs and asks owners."""

import dataclasses
import random
from typing import NoReturn, Protocol

from limpetstream import clock as clock_module, errors
from limpetstream.shard import events, names, queries, shard_server
from limpetstream.store import messages as store_messages
from limpetstream.telemetry import logs
from limpetstream.workflow import messages, records

STORE_TIMEOUT_S = 0.4  # Fifty times the store's usual answer.
MAX_STORE_TIMEOUT_S = 1.2
PEER_TIMEOUT_S = 0.5
RETRY_S = 0.05
MAX_RETRY_S = 0.3
OWNER_LOOKUP_INTERVAL_S = 0.2
LOCAL_STORE_TRIES = 3  # Refused tries at the store before another instance is asked.
STORE_DOWN_AFTER_S = 0.8  # Failing for so long, at the store and at another instance.
PROBE_INTERVAL_S = 0.5
PROBE_WAIT_S = 0.6  # What a request that probes the store may wait.
RETRY_BUDGET_SHARE = 0.7  # Part of the caller's time that is spent on trying.
RETRY_AFTER_S = 1.0  # A new owner serves about a second after the last one.


@dataclasses.dataclass(slots=True)
class PeerRequest:
    """Message to another instance.

    Args:
        kind: ``state``, ``cancel``, ``waiting`` or ``store``.
        shard: Shard that it is about.
        job_id: Job, for ``state`` and ``cancel``.
        queue: Queue, for ``waiting``.
        submission: Job to store, for ``store``.
    """

    kind: str
    shard: int
    job_id: str = ""
    queue: str = ""
    submission: messages.Submission | None = None


@dataclasses.dataclass(slots=True)
class PeerReply:
    """Answer of another instance.

    Args:
        known: Whether the job is known.
        state: State of the job.
        count: Number of waiting jobs.
        refused: Why there is no answer; empty if there is one.
        unknown: Whether a refused store may have taken effect.
        owner: Member that owns the shard, if another one is known to.
    """

    known: bool = False
    state: str = ""
    count: int = 0
    refused: str = ""
    unknown: bool = False
    owner: str = ""


class Peers(Protocol):
    """Calls between instances."""

    async def call(
        self, member: str, request: PeerRequest, *, timeout_s: float
    ) -> PeerReply:
        """Send a request to a member.

        Raises:
            PeerUnreachable: No usable answer came.
        """
        ...


class JobApi:
    """Callers' operations at one instance.

    Args:
        store: Store of keyed topics.
        peers: Calls to other instances.
        server: Shards that this instance owns.
        owner_by_shard: Owners that this instance has seen announced.
        member: Name of this instance in the group.
        shard_count: Number of shards in use.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        store: store_messages.Store,
        peers: Peers,
        server: shard_server.ShardServer,
        owner_by_shard: dict[int, str],
        member: str,
        shard_count: int,
        clock: clock_module.Clock,
    ) -> None:
        self._store = store
        self._peers = peers
        self._server = server
        self._owner_by_shard = owner_by_shard
        self._member = member
        self._shard_count = shard_count
        self._clock = clock
        self._member_by_shard: dict[int, str] = {}
        self._hinted: set[int] = set()
        self._members: list[str] = []
        self._looked_up_at = float("-inf")
        self._store_down_since: float | None = None
        self._probe_at = float("-inf")

    async def submit(self, submission: messages.Submission, *, wait_s: float) -> None:
        """Store a job durably.

        Args:
            submission: Checked job.
            wait_s: How long the caller waits.

        Raises:
            NotRun: It is certain that nothing was stored.
            OutcomeUnknown: It may have been stored.
        """
        shard = names.shard_of(submission.job_id, self._shard_count)
        if self._refuse_while_down(submission):
            wait_s = min(wait_s, PROBE_WAIT_S)
        until = self._clock.monotonic() + wait_s * RETRY_BUDGET_SHARE
        refusals, doubtful = 0, False
        timeout_s, retry_s = STORE_TIMEOUT_S, RETRY_S
        while True:
            try:
                await self._append(shard, submission, timeout_s)
                self._store_down_since = None
                break
            except errors.PlatformUnavailable as error:
                doubtful = doubtful or not error.not_applied
                refusals += 1
                if self._store_down_since is None:
                    self._store_down_since = self._clock.monotonic()
                reason = str(error)
            if refusals >= LOCAL_STORE_TRIES:
                reply = await self._store_elsewhere(shard, submission)
                if reply.known:
                    self._store_down_since = None
                    break
                doubtful = doubtful or reply.unknown
            if self._clock.monotonic() + retry_s >= until:
                self._fail(submission, doubtful, reason)
            await self._clock.sleep(retry_s * random.uniform(0.5, 1.0))
            retry_s = min(MAX_RETRY_S, retry_s * 2)
            timeout_s = min(MAX_STORE_TIMEOUT_S, timeout_s * 2)
        logs.emit(
            events.SUBMISSION_STORED,
            job=submission.job_id,
            queue=submission.queue,
            steps=len(submission.steps),
            tries=refusals + 1,
            took_ms=self._clock.wall_ms() - submission.accepted_ms,
        )

    def _refuse_while_down(self, submission: messages.Submission) -> bool:
        """Refuse at once while the store is known not to answer.

        Now and then a request goes through, to find out whether it does.

        Returns:
            Whether the request goes through for that.
        """
        now = self._clock.monotonic()
        since = self._store_down_since
        if since is None or now - since < STORE_DOWN_AFTER_S:
            return False
        if now >= self._probe_at:
            self._probe_at = now + PROBE_INTERVAL_S
            return True
        self._fail(submission, False, "the store has not answered lately")

    async def job_state(self, job_id: str, *, wait_s: float) -> str | None:
        """Return the state of a job; None if there is certainly none.

        Raises:
            NotRun: No owner could be asked in time.
        """
        shard = names.shard_of(job_id, self._shard_count)
        reply = await self._ask(PeerRequest("state", shard, job_id=job_id), wait_s)
        return reply.state if reply.known else None

    async def cancel(self, job_id: str, *, wait_s: float) -> bool:
        """Cancel a job durably; return False if there is certainly none.

        Raises:
            NotRun: No owner could be asked in time.
        """
        shard = names.shard_of(job_id, self._shard_count)
        reply = await self._ask(PeerRequest("cancel", shard, job_id=job_id), wait_s)
        return reply.known

    async def count_waiting_jobs(self, queue: str, *, wait_s: float) -> int:
        """Return how many accepted jobs of a queue have not begun.

        Raises:
            NotRun: An owner could not be asked in time.
        """
        count = 0
        for shard in range(self._shard_count):
            reply = await self._ask(PeerRequest("waiting", shard, queue=queue), wait_s)
            count += reply.count
        return count

    async def answer_peer(self, request: PeerRequest) -> PeerReply:
        """Answer a request of another instance, or one of our own."""
        if request.kind == "store":
            return await self._answer_store(request)
        shard = self._server.shard_by_number.get(request.shard)
        try:
            if shard is None:
                owner_ = self._owner_by_shard.get(request.shard, "")
                return PeerReply(refused="another owner", owner=owner_)
            if request.kind == "waiting":
                return PeerReply(count=queries.count_waiting_jobs(shard, request.queue))
            if request.kind == "cancel":
                return PeerReply(known=await queries.cancel(shard, request.job_id))
            state = await queries.job_state(shard, request.job_id)
            return PeerReply(known=state is not None, state=state or "")
        except errors.LimpetstreamError as error:
            return PeerReply(refused=f"{type(error).__name__}: {error}")

    async def _answer_store(self, request: PeerRequest) -> PeerReply:
        if request.submission is None:
            return PeerReply(refused="no submission")
        try:
            await self._append(request.shard, request.submission, STORE_TIMEOUT_S)
        except errors.PlatformUnavailable as error:
            return PeerReply(refused=str(error), unknown=not error.not_applied)
        return PeerReply(known=True)

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

    async def _store_elsewhere(
        self, shard: int, submission: messages.Submission
    ) -> PeerReply:
        """Have another instance store a job that this one can not store."""
        others = [member for member in self._members if member != self._member]
        if not others:
            return PeerReply(refused="no other instance is known")
        try:
            return await self._peers.call(
                random.choice(others),
                PeerRequest("store", shard, submission=submission),
                timeout_s=PEER_TIMEOUT_S,
            )
        except errors.PeerUnreachable as error:
            return PeerReply(refused=str(error), unknown=True)

    def _fail(
        self, submission: messages.Submission, doubtful: bool, reason: str
    ) -> NoReturn:
        logs.emit(
            events.CALL_REFUSED,
            call="submit",
            job=submission.job_id,
            outcome="unknown" if doubtful else "not-run",
            reason=reason,
        )
        if doubtful:
            raise errors.OutcomeUnknown(reason)
        raise errors.NotRun("store-unavailable", reason, retry_after_s=RETRY_AFTER_S)

    async def _ask(self, request: PeerRequest, wait_s: float) -> PeerReply:
        """Ask the owner of a shard, looking it up again while it fails."""
        until = self._clock.monotonic() + wait_s * RETRY_BUDGET_SHARE
        retry_s = RETRY_S
        while True:
            reason = await self._try(request)
            if isinstance(reason, PeerReply):
                return reason
            if self._clock.monotonic() + retry_s >= until:
                break
            await self._clock.sleep(retry_s * random.uniform(0.5, 1.0))
            retry_s = min(MAX_RETRY_S, retry_s * 2)
        logs.emit(
            events.CALL_REFUSED,
            call=request.kind,
            job=request.job_id,
            queue=request.queue,
            outcome="not-run",
            reason=reason,
        )
        raise errors.NotRun("no-owner", reason, retry_after_s=RETRY_AFTER_S)

    async def _try(self, request: PeerRequest) -> PeerReply | str:
        if request.shard in self._server.shard_by_number:
            reply = await self.answer_peer(request)
            if not reply.refused:
                return reply
        member = self._member_by_shard.get(request.shard)
        if member is None or member == self._member:
            await self._look_up()
            member = self._member_by_shard.get(request.shard)
        if member is None:
            return "no owner is known"
        if member == self._member:
            member = self._owner_by_shard.get(request.shard, self._member)
        if member == self._member:
            reply = await self.answer_peer(request)
            return reply if not reply.refused else reply.refused
        try:
            reply = await self._peers.call(member, request, timeout_s=PEER_TIMEOUT_S)
        except errors.PeerUnreachable as error:
            await self._look_up()
            return str(error)
        if not reply.refused:
            return reply
        hint = reply.owner not in ("", member, self._member)
        if hint and request.shard not in self._hinted:
            # The next try asks the owner that this member has named.
            self._member_by_shard[request.shard] = reply.owner
            self._hinted.add(request.shard)
        else:
            # Members with stale beliefs may name each other for ever.
            self._hinted.discard(request.shard)
            await self._look_up()
        return reply.refused

    async def _look_up(self) -> None:
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
        found = {
            partition: member
            for (topic, partition), member in member_by_partition.items()
            if topic == names.PROGRESS_TOPIC and partition < self._shard_count
        }
        if found != self._member_by_shard:
            logs.emit(events.OWNER_LOOKED_UP, owners=found)
        self._member_by_shard = found
