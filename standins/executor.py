"""Simulates one executor of a desk service.

It counts requests and connections that exceed its limits as breaches.
"""

import asyncio
import collections
import dataclasses
import hashlib
import math
import random
from typing import Any

import msgspec

from standins import faults

# A request that arrives later than this after a leave is a breach.
MAX_WORK_AFTER_LEAVE_S = 3.0


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How an executor behaves; the defaults simulate normal operation.

    Args:
        median_ms: Median run time of a request.
        sigma: Standard deviation of the logarithm of the run time.
        answer_bytes: Size of the padding of an answer.
        late_probability: Share of answers that are delayed.
        late_ms: Delay of these answers; the slot is free meanwhile.
        split_bytes: Size of the pieces that an answer is sent in; 0 sends it
            in one piece.
        split_pause_ms: Pause between two pieces.
        cut_probability: Share of connections that are cut after the run and
            before the first response byte.
        cut_midway_probability: Share of connections that are cut half way
            through the answer.
        fail_probability: Share of requests that are answered 500 after their
            run.
        hang_probability: Share of requests that run until the time limit.
        down: New connections are reset.
    """

    median_ms: float = 20.0
    sigma: float = 0.5
    answer_bytes: int = 256
    late_probability: float = 0.0
    late_ms: float = 500.0
    split_bytes: int = 0
    split_pause_ms: float = 1.0
    cut_probability: float = 0.0
    cut_midway_probability: float = 0.0
    fail_probability: float = 0.0
    hang_probability: float = 0.0
    down: bool = False

    def merge(self, changes: dict[str, Any]) -> None:
        """Set the named values, either all of them or none.

        Raises:
            BadCall: A name does not exist or a value has the wrong type.
        """
        unknown = sorted(set(changes) - {f.name for f in dataclasses.fields(self)})
        if unknown:
            raise faults.BadCall(f"unknown behaviour switches: {', '.join(unknown)}")
        try:
            merged = msgspec.convert(
                {**msgspec.to_builtins(self), **changes}, Behaviour, strict=False
            )
        except msgspec.ValidationError as error:
            raise faults.BadCall(str(error)) from error
        for name in changes:
            setattr(self, name, getattr(merged, name))


@dataclasses.dataclass(slots=True)
class Counters:
    """Counters of one executor.

    Args:
        requests: Requests that were run.
        ended_at_limit: Requests that were ended at the time limit.
        peak_running: Largest number of requests that ran at once.
        peak_connections: Largest number of open connections.
        over_slots: Requests that arrived while all slots were taken.
        over_connections: Connections opened beyond the limit.
        after_leave: Requests that arrived too late after a leave.
    """

    requests: int = 0
    ended_at_limit: int = 0
    peak_running: int = 0
    peak_connections: int = 0
    over_slots: int = 0
    over_connections: int = 0
    after_leave: int = 0


@dataclasses.dataclass(slots=True)
class Executor:
    """State of one executor.

    Args:
        id: Unique id.
        service: Desk service.
        data_centre: Data centre of the executor.
        worker: Worker that it runs on.
        slots: Number of requests that may run at once.
        connections: Number of connections that may be open at once.
        max_run_s: Time after which a request is ended.
        seed: Seed of run times and of faults.
        port: Port that it listens on; 0 takes a free one.
        slowdown_factor: Factor by which run times are longer.
        running: Requests that run now.
        open_connections: Connections that are open now.
        leaving_at: Loop time at which it started to leave; infinite while it
            takes work.
        behaviour: Fault switches.
        counters: Counters of requests and breaches.
        run_count_by_request: Number of runs by caller and request id.
        latencies_ms: Run times since the last usage report.
    """

    id: str
    service: str = ""
    data_centre: str = ""
    worker: str = ""
    slots: int = 8
    connections: int = 64
    max_run_s: float = 2.0
    seed: int = 1
    port: int = 0
    slowdown_factor: float = 1.0
    running: int = 0
    open_connections: int = 0
    leaving_at: float = math.inf
    behaviour: Behaviour = dataclasses.field(default_factory=Behaviour)
    counters: Counters = dataclasses.field(default_factory=Counters)
    run_count_by_request: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    generator: random.Random = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.generator = random.Random(f"{self.seed}/{self.id}")

    def add_connection(self) -> None:
        """Count a connection that was opened."""
        self.open_connections += 1
        self.counters.peak_connections = max(
            self.counters.peak_connections, self.open_connections
        )
        if self.open_connections > self.connections:
            self.counters.over_connections += 1

    def remove_connection(self) -> None:
        """Count a connection that was closed."""
        self.open_connections -= 1

    async def run(self, request: str) -> tuple[bool, int]:
        """Run one request in a slot.

        Args:
            request: Caller and request id, by which runs are counted.

        Returns:
            Whether the run was complete within ``max_run_s``, and how often
            this executor has run the same request.
        """
        loop = asyncio.get_running_loop()
        self._count_start(request, loop.time())
        run = self.run_count_by_request[request]
        run_s = self._run_time_s()
        completed = run_s <= self.max_run_s
        try:
            await asyncio.sleep(min(run_s, self.max_run_s))
        finally:
            self.running -= 1
        if not completed:
            self.counters.ended_at_limit += 1
        self.latencies_ms.append(min(run_s, self.max_run_s) * 1000)
        return completed, run

    def _count_start(self, request: str, now: float) -> None:
        self.run_count_by_request[request] += 1
        self.running += 1
        self.counters.requests += 1
        self.counters.peak_running = max(self.counters.peak_running, self.running)
        if self.running > self.slots:
            self.counters.over_slots += 1
        if now > self.leaving_at + MAX_WORK_AFTER_LEAVE_S:
            self.counters.after_leave += 1

    def _run_time_s(self) -> float:
        if self.happens(self.behaviour.hang_probability):
            return math.inf
        median_s = self.behaviour.median_ms / 1000
        return (
            median_s
            * self.generator.lognormvariate(0, self.behaviour.sigma)
            * self.slowdown_factor
        )

    def happens(self, probability: float) -> bool:
        """Decide at random whether a fault of this probability happens."""
        return probability > 0 and self.generator.random() < probability


def answer_body(request_id: str, body: bytes, executor: Executor, run: int) -> bytes:
    """Return an answer that the caller can check with ``fault_in_answer``."""
    return msgspec.json.encode(
        {
            "request_id": request_id,
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "executor": executor.id,
            "run": run,
            "filling": _padding(request_id, executor.behaviour.answer_bytes),
            "filling_bytes": executor.behaviour.answer_bytes,
        }
    )


def fault_in_answer(answer: bytes, *, request_id: str, body: bytes) -> str | None:
    """Return what is wrong with an answer, or None if it is correct.

    >>> fault_in_answer(b'{"requ', request_id="r", body=b"")
    'not valid JSON'
    """
    try:
        value = msgspec.json.decode(answer, type=dict[str, Any])
    except msgspec.DecodeError:
        return "not valid JSON"
    if value.get("request_id") != request_id:
        return "answer to another request"
    if value.get("body_sha256") != hashlib.sha256(body).hexdigest():
        return "answer to another body"
    if value.get("filling") != _padding(request_id, value.get("filling_bytes", 0)):
        return "padding differs"
    return None


def _padding(request_id: str, size: int) -> str:
    return (f"{request_id}|" * (size // (len(request_id) + 1) + 1))[:size]
