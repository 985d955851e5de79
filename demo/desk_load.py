"""Desk requests of the demonstration's callers."""

import asyncio
import dataclasses
import random

from demo import cluster, http_client, plan
from standins import executor

DEADLINE_MS = 1500
TIMEOUT_S = 4.0
TRIES = 3


@dataclasses.dataclass(slots=True)
class SentRequest:
    """One desk request and what its caller was told.

    Args:
        request_id: Its id, unique over all callers.
        caller: Who sent it.
        idempotent: Whether it may be run twice.
        body: Its body.
        outcome: ``answered``, ``not-run``, ``unknown`` or ``failed`` as told
            in the reply; ``no-reply`` without one.
        reason: Reason of a refusal.
        latency_ms: Time from the first send to the reply.
        answer_fault: What is wrong with the answer, if anything.
        sent_at: Time of the first send, on the event loop's clock.
        cut_off_by: Entry instances that took the request and did not reply.
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
    """Sends desk requests through the balancer at a steady rate.

    Args:
        plan: What is demonstrated.
        cluster: Where requests go.
        client: Sends calls.
        seed: Seed of the mix of requests.
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
        """Send requests for some time and wait for their replies."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        running = []
        for number in range(int(seconds * per_s)):
            await asyncio.sleep(began_at + number / per_s - loop.time())
            request = self._make(number)
            self.sent.append(request)
            running.append(asyncio.create_task(self._send(request)))
        await asyncio.gather(*running)

    def _make(self, number: int) -> SentRequest:
        callers = list(self._plan.key_by_caller)
        caller = callers[number % len(callers)]
        idempotent = self._random.random() >= plan.NON_IDEMPOTENT_SHARE
        body = f'{{"number": {number}, "desk": {self._plan.desk_body}}}'.encode()
        return SentRequest(f"{caller}-{number:05d}", caller, idempotent, body)

    async def _send(self, request: SentRequest) -> None:
        loop = asyncio.get_running_loop()
        began_at = request.sent_at = loop.time()
        for entry in self._cluster.entries_to_try(TRIES):
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
            request.latency_ms = (loop.time() - began_at) * 1000
            _note(request, reply)
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
        """Ask for the outcome of requests whose outcome is not known.

        Returns:
            How many are known now.
        """
        open_requests = [
            request
            for request in self.sent
            if request.outcome in ("unknown", "no-reply")
        ]
        known = await asyncio.gather(*map(self._ask, open_requests))
        return sum(known)

    async def _ask(self, request: SentRequest) -> bool:
        key = self._plan.key_by_caller[request.caller]
        for entry in self._cluster.entries_to_try(TRIES):
            url = f"{entry.url}/v1/requests/{request.request_id}"
            try:
                reply = await self._client.call("GET", url, key=key)
            except (http_client.Refused, http_client.NoReply):
                continue
            told = reply.json()
            outcome = (
                reply.headers.get("Outcome") or told.get("outcome") or told.get("state")
            )
            if outcome in ("answered", "not-run", "failed"):
                request.outcome = outcome
                return True
            return False
        return False


def _note(request: SentRequest, reply: http_client.Reply) -> None:
    """Keep what a reply says; a 200 answer must be whole and its own."""
    request.outcome = reply.headers.get("Outcome") or f"status {reply.status}"
    if reply.status == 200:
        request.outcome = "answered"
        request.answer_fault = executor.fault_in_answer(
            reply.body, request_id=request.request_id, body=request.body
        )
    else:
        request.reason = str(reply.json().get("reason", reply.status))
