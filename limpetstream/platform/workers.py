"""Client of the workers; the platform forwards all its calls to them."""

import dataclasses
from collections.abc import Iterable
from typing import Any

from limpetstream.platform import http, messages


@dataclasses.dataclass(slots=True)
class ClockReading:
    """Reading of a worker's own clock, from the worker's last answer.

    Args:
        clock_ms: The worker's clock when the worker answered.
        received_at: Monotonic time after the answer was read, in seconds.
    """

    clock_ms: int
    received_at: float

    def at(self, now: float) -> int:
        """Return a lower bound of the worker's clock at ``now``.

        The worker read its clock before the answer was received; the time
        that the answer travelled is not counted.

        Args:
            now: Monotonic time in seconds.
        """
        return self.clock_ms + http.whole_ms(max(0.0, now - self.received_at))


class WorkerClient:
    """Starts, renews, throttles, checkpoints and stops attempts on workers.

    Every call raises ``errors.PlatformUnavailable`` if there is no answer in
    time; the call may still take effect. A delayed start has no effect once
    its lease has expired on the worker's own clock, and a repeated start of an
    attempt is answered ``already``.

    Args:
        client: HTTP client of the platform.
        timeout_s: Time limit of a call; 1 s is the bound for starting an
            attempt.

    Attributes:
        reading_by_worker: Clock reading of the last answer of each worker.
    """

    def __init__(self, *, client: http.Client, timeout_s: float = 1.0) -> None:
        self._client = client
        self._timeout_s = timeout_s
        self.reading_by_worker: dict[str, ClockReading] = {}

    async def status(self, worker: str) -> messages.Status:
        """Return the worker's clock and all attempts that it knows."""
        return await self._fetch("GET", worker, "", None, messages.Status)

    async def start(
        self, worker: str, starts: Iterable[messages.Start]
    ) -> messages.Started:
        """Start attempts; the answer has one result for each."""
        body = {"starts": [start.to_wire() for start in starts]}
        return await self._fetch("POST", worker, "/start", body, messages.Started)

    async def renew(
        self, worker: str, leases: Iterable[messages.Lease]
    ) -> messages.Renewed:
        """Extend leases; a lease never becomes shorter."""
        body = {"leases": list(leases)}
        return await self._fetch("POST", worker, "/renew", body, messages.Renewed)

    async def throttle(
        self, worker: str, attempt: str, share: float
    ) -> messages.Changed:
        """Limit an attempt to a share (0 to 1) of its processors."""
        body = {"attempt": attempt, "share": share}
        return await self._fetch("POST", worker, "/throttle", body, messages.Changed)

    async def checkpoint(self, worker: str, attempt: str) -> messages.Checkpointed:
        """Take a checkpoint of a running attempt and return its name."""
        body = {"attempt": attempt}
        return await self._fetch(
            "POST", worker, "/checkpoint", body, messages.Checkpointed
        )

    async def stop(self, worker: str, attempt: str) -> messages.Changed:
        """Stop an attempt permanently and return its final state."""
        body = {"attempt": attempt}
        return await self._fetch("POST", worker, "/stop", body, messages.Changed)

    async def usage(self, since: int) -> list[messages.Sample]:
        """Return the available usage samples with numbers above ``since``."""
        usage = await self._client.fetch(
            "GET",
            f"/usage?since={since}",
            answer_type=messages.Usage,
            timeout_s=self._timeout_s,
        )
        return usage.samples

    async def _fetch(
        self, method: str, worker: str, action: str, body: Any, answer_type: Any
    ) -> Any:
        path = f"/workers/{http.quote(worker)}{action}"
        answer = await self._client.call(method, path, body, timeout_s=self._timeout_s)
        decoded = self._client.decode(answer, answer_type, f"{method} {path}")
        self.reading_by_worker[worker] = ClockReading(
            decoded.clock_ms, answer.received_at
        )
        return decoded
