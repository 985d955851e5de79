"""Sends the desk requests of the demonstration and records their outcomes."""

import asyncio
import dataclasses
import random

from demo import cluster, http_client, plan
from standins import executor

DEADLINE_MS = 1500
TIMEOUT_S = 4.0
MAX_ATTEMPTS = 3


@dataclasses.dataclass(slots=True)
class SentRequest:
    """One desk request and what its caller was told.

    Args:
        request_id: Id, unique over all callers.
        caller: Name of its caller.
        idempotent: Whether it may run twice.
        body: Its body.
        outcome: ``answered``, ``not-run``, ``unknown`` or ``failed`` as the
            reply says; ``no-reply`` without a reply.
        reason: Reason of a refusal.
        latency_ms: Time from the first send to the reply.
        answer_fault: What is wrong with the answer; None if it is correct.
        sent_at: Time of the first send, on the event loop's clock.
        cut_off_by: Entry instances that received the request and did not
            reply.
    """

    request_id: str
    caller: str
    idempotent: bool
    body: bytes
    outcome: str = "no-reply"
    reason: str = ""
    latency_ms: float = 0.0
    answer_fault: str | None = None
    sent_at: float = 0.0
    cut_off_by: list[str] = dataclasses.field(default_factory=list)


class LoadGenerator:
    """Sends desk requests through the balancer at a constant rate.

    Args:
        plan: Deployment and callers.
        cluster: Entry instances that receive the requests.
        client: Sends HTTP calls.
        seed: Seed of the choice of idempotent requests.
    """

    def __init__(
        self,
        *,
        plan: plan.Plan,
        cluster: cluster.Cluster,
        client: http_client.HttpClient,
        seed: int,
    ) -> None:
        self._plan = plan
        self._cluster = cluster
        self._client = client
        self._random = random.Random(seed)
        self.sent: list[SentRequest] = []

    async def run(self, seconds: float, per_s: float) -> None:
        """Send ``per_s`` requests per second and wait for all replies."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        sends = []
        for number in range(int(seconds * per_s)):
            await asyncio.sleep(started_at + number / per_s - loop.time())
            request = self._make(number)
            self.sent.append(request)
            sends.append(asyncio.create_task(self._send(request)))
        await asyncio.gather(*sends)

    def _make(self, number: int) -> SentRequest:
        callers = list(self._plan.key_by_caller)
        caller = callers[number % len(callers)]
        idempotent = self._random.random() >= plan.NON_IDEMPOTENT_SHARE
        body = f'{{"number": {number}, "desk": {self._plan.desk_body}}}'.encode()
        return SentRequest(f"{caller}-{number:05d}", caller, idempotent, body)

    async def _send(self, request: SentRequest) -> None:
        loop = asyncio.get_running_loop()
        started_at = request.sent_at = loop.time()
        for entry in self._cluster.entries_to_try(MAX_ATTEMPTS):
            try:
                reply = await self._post(entry, request)
            except http_client.Refused:
                entry.is_ready = False
                continue
            except http_client.NoReply:
                entry.is_ready = False
                request.cut_off_by.append(entry.id)
                if request.idempotent:
                    continue
                break
            request.latency_ms = (loop.time() - started_at) * 1000
            _record_reply(request, reply)
            return

    async def _post(
        self, entry: cluster.Entry, request: SentRequest
    ) -> http_client.Reply:
        return await self._client.call(
            "POST",
            f"{entry.url}/v1/desk/{self._plan.layout.service}",
            key=self._plan.key_by_caller[request.caller],
            body=request.body,
            headers={
                "Request-Id": request.request_id,
                "Idempotent": "true" if request.idempotent else "false",
                "Deadline-Ms": str(DEADLINE_MS),
                "Content-Type": "application/octet-stream",
            },
            timeout_s=TIMEOUT_S,
        )

    async def resolve_unknown_outcomes(self) -> int:
        """Query the outcome of all requests whose outcome is not known.

        Returns:
            Number of outcomes that are known now.
        """
        open_requests = [
            request
            for request in self.sent
            if request.outcome in ("unknown", "no-reply")
        ]
        resolved = await asyncio.gather(*map(self._query_outcome, open_requests))
        return sum(resolved)

    async def _query_outcome(self, request: SentRequest) -> bool:
        key = self._plan.key_by_caller[request.caller]
        for entry in self._cluster.entries_to_try(MAX_ATTEMPTS):
            url = f"{entry.url}/v1/requests/{request.request_id}"
            try:
                reply = await self._client.call("GET", url, key=key)
            except (http_client.Refused, http_client.NoReply):
                continue
            reply_body = reply.json()
            outcome = (
                reply.headers.get("Outcome")
                or reply_body.get("outcome")
                or reply_body.get("state")
            )
            if outcome in ("answered", "not-run", "failed"):
                request.outcome = outcome
                return True
            return False
        return False


def _record_reply(request: SentRequest, reply: http_client.Reply) -> None:
    """Record a reply; check that a 200 answer is whole and not another's."""
    request.outcome = reply.headers.get("Outcome") or f"status {reply.status}"
    if request.outcome == "not-run" and request.cut_off_by:
        # The refusal is that of this try; an earlier one may have run.
        request.outcome = "unknown"
    if reply.status == 200:
        request.outcome = "answered"
        request.answer_fault = executor.fault_in_answer(
            reply.body, request_id=request.request_id, body=request.body
        )
    else:
        request.reason = str(reply.json().get("reason", reply.status))
