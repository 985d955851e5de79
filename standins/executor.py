"""One executor of a desk service: slots, connections, and its breaches."""

import asyncio
import collections
import dataclasses
import hashlib
import math
import random
from typing import Any

import msgspec

from standins import faults

MAX_WORK_AFTER_LEAVE_S = 3.0  # Work that arrives later after a leave is a breach.


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How an executor behaves; the defaults are an ordinary day.

    Args:
        median_ms: Median run time of a request.
        sigma: Spread of the logarithm of the run time.
        answer_bytes: Size of the filling of an answer.
        late_probability: Share of answers that are held back.
        late_ms: Time for which they are held back; the slot is free then.
        split_bytes: Size of the pieces an answer is sent in; 0 for one.
        split_pause_ms: Pause between two pieces.
        cut_probability: Share of connections cut after the run and before
            the first response byte.
        cut_midway_probability: Share cut half way through the answer.
        fail_probability: Share of requests answered 500 after their run.
        hang_probability: Share of requests that run until they are ended.
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
        """Set the named values; all or none of them are set.

        Raises:
            BadCall: A name or a type is wrong.
        """
        unknown = sorted(set(changes) - {f.name for f in dataclasses.fields(self)})
        if unknown:
            raise faults.BadCall(f"no such behaviour: {', '.join(unknown)}")
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
    """What one executor has counted."""

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
        data_centre: Data centre that it is in.
        worker: Worker that it runs on.
        slots: Requests that it holds at once.
        connections: Connections that it holds at once.
        max_run_s: Time after which it ends a request.
        seed: Seed of run times and of misbehaviour.
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
        """Count one more open connection."""
        self.open_connections += 1
        self.counters.peak_connections = max(
            self.counters.peak_connections, self.open_connections
        )
        if self.open_connections > self.connections:
            self.counters.over_connections += 1

    def remove_connection(self) -> None:
        """Count one open connection less."""
        self.open_connections -= 1

    async def run(self, request: str) -> tuple[bool, int]:
        """Run one request in a slot.

        Args:
            request: Caller and request id, to count repeated runs.

        Returns:
            Whether it was done before ``max_run_s``, and the number of this
            run of the same request on this executor.
        """
        loop = asyncio.get_running_loop()
        self._begin(request, loop.time())
        run = self.run_count_by_request[request]
        run_s = self._run_time_s()
        done = run_s <= self.max_run_s
        try:
            await asyncio.sleep(min(run_s, self.max_run_s))
        finally:
            self.running -= 1
        if not done:
            self.counters.ended_at_limit += 1
        self.latencies_ms.append(min(run_s, self.max_run_s) * 1000)
        return done, run

    def _begin(self, request: str, now: float) -> None:
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
        """Decide by the seed whether a misbehaviour happens."""
        return probability > 0 and self.generator.random() < probability


def answer_body(request_id: str, body: bytes, executor: Executor, run: int) -> bytes:
    """Return an answer that its caller can check with ``fault_in_answer``."""
    return msgspec.json.encode(
        {
            "request_id": request_id,
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "executor": executor.id,
            "run": run,
            "filling": _filling(request_id, executor.behaviour.answer_bytes),
            "filling_bytes": executor.behaviour.answer_bytes,
        }
    )


def fault_in_answer(answer: bytes, *, request_id: str, body: bytes) -> str | None:
    """Return what is wrong with an answer, or None if it is whole.

    >>> fault_in_answer(b'{"requ', request_id="r", body=b"")
    'not whole'
    """
    try:
        value = msgspec.json.decode(answer, type=dict[str, Any])
    except msgspec.DecodeError:
        return "not whole"
    if value.get("request_id") != request_id:
        return "answer to another request"
    if value.get("body_sha256") != hashlib.sha256(body).hexdigest():
        return "answer to another body"
    if value.get("filling") != _filling(request_id, value.get("filling_bytes", 0)):
        return "filling differs"
    return None


def _filling(request_id: str, size: int) -> str:
    return (f"{request_id}|" * (size // (len(request_id) + 1) + 1))[:size]
