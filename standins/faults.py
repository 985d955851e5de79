"""Fault switches of the platform stand-in, and the breaches it counts."""

import collections
import dataclasses
import random
from typing import Any

import msgspec

from limpetstream import errors

MAX_DETAILS = 100
DEFAULT_LOST_CALLS = ("append", "start", "renew", "throttle", "checkpoint", "stop")


class AnswerLost(errors.LogUnavailable):
    """The call took effect, and its answer was dropped."""


class BadCall(Exception):
    """A call on a stand-in is malformed."""


@dataclasses.dataclass(slots=True)
class WorkerClock:
    """How a worker's own clock differs from the platform's.

    Args:
        offset_ms: Jump that is added once, when the switch is set.
        rate: Rate against the platform's clock.
    """

    offset_ms: float = 0.0
    rate: float = 1.0


@dataclasses.dataclass(slots=True)
class Faults:
    """All switches; the defaults are an ordinary day.

    Lists of workers may also name racks and data centres.

    Args:
        log_down: Calls on the log answer 503 and have no effect.
        log_hang: Calls on the log wait until this is off, then take effect.
        log_delay_ms: Delay of each call on the log before its effect.
        log_keep_s: Age at which frames expire.
        log_keep_frames: Frames of a stream that are kept.
        log_appends_per_s: Appends that the log takes; 0 for no limit.
        lost_answer_probability: Share of calls whose answer is dropped after
            the effect.
        lost_answer_calls: Calls that this applies to.
        seed: Seed of lost answers and of jitter.
        list_down: The list of instances answers 503.
        list_lag_ms: Age of the list of instances.
        usage_lag_ms: Age at which usage samples are delivered.
        packet_delay_ms: One-way delay of every call and answer.
        packet_jitter_ms: Largest random addition to it.
        failing_workers: Workers that fail every attempt they start.
        failing_jobs: Jobs whose attempts fail on every worker.
        fail_after_s: Work after which such an attempt fails.
        paused_workers: Workers that neither work nor answer until resumed;
            calls that arrived in between are then carried out.
        dead_workers: Workers that lost all their attempts and answer 503.
        clock_by_worker: Clocks that differ.
        slowdown_by_pair: Slowdown that a full worker of the second class
            adds to the first, by ``first|second``; ``*`` is any class, and
            ``desk`` as the first is a desk request.
        size_factor_by_class: Real use of processors and memory against the
            declared one.
        run_factor_by_class: Real run time against the declared one.
    """

    log_down: bool = False
    log_hang: bool = False
    log_delay_ms: float = 0.0
    log_keep_s: float = 3600.0
    log_keep_frames: int = 1_000_000
    log_appends_per_s: float = 300.0
    lost_answer_probability: float = 0.0
    lost_answer_calls: list[str] = dataclasses.field(
        default_factory=lambda: list(DEFAULT_LOST_CALLS)
    )
    seed: int = 1
    list_down: bool = False
    list_lag_ms: float = 500.0
    usage_lag_ms: float = 2000.0
    packet_delay_ms: float = 0.0
    packet_jitter_ms: float = 0.0
    failing_workers: list[str] = dataclasses.field(default_factory=list)
    failing_jobs: list[str] = dataclasses.field(default_factory=list)
    fail_after_s: float = 0.2
    paused_workers: list[str] = dataclasses.field(default_factory=list)
    dead_workers: list[str] = dataclasses.field(default_factory=list)
    clock_by_worker: dict[str, WorkerClock] = dataclasses.field(default_factory=dict)
    slowdown_by_pair: dict[str, float] = dataclasses.field(
        default_factory=lambda: {"*|*": 0.2}
    )
    size_factor_by_class: dict[str, float] = dataclasses.field(default_factory=dict)
    run_factor_by_class: dict[str, float] = dataclasses.field(default_factory=dict)

    def merge(self, changes: dict[str, Any]) -> None:
        """Set the named switches; all or none of them are set.

        Raises:
            BadCall: A name or a type is wrong.
        """
        known = {field.name for field in dataclasses.fields(Faults)}
        unknown = sorted(set(changes) - known)
        if unknown:
            raise BadCall(f"no such switch: {', '.join(unknown)}")
        try:
            merged = msgspec.convert(
                {**msgspec.to_builtins(self), **changes}, Faults, strict=False
            )
        except msgspec.ValidationError as error:
            raise BadCall(str(error)) from error
        for name in changes:
            setattr(self, name, getattr(merged, name))

    def slowdown(self, first: str, second: str) -> float:
        """Return the slowdown of ``first`` by a worker full of ``second``."""
        for pair in (f"{first}|{second}", f"{first}|*", f"*|{second}", "*|*"):
            if pair in self.slowdown_by_pair:
                return self.slowdown_by_pair[pair]
        return 0.0


@dataclasses.dataclass(slots=True)
class FaultSampler:
    """Random decisions that follow the seed of the switches."""

    faults: Faults
    seed: int | None = None
    source: random.Random = dataclasses.field(default_factory=random.Random)

    def _seeded(self) -> random.Random:
        if self.seed != self.faults.seed:
            self.seed = self.faults.seed
            self.source = random.Random(self.seed)
        return self.source

    def drops_answer(self, call: str) -> bool:
        """Return whether the answer to this call is dropped."""
        share = self.faults.lost_answer_probability
        if share <= 0 or call not in self.faults.lost_answer_calls:
            return False
        return self._seeded().random() < share

    def packet_delay_s(self) -> float:
        """Return the one-way delay of the next packet."""
        jitter_ms = self.faults.packet_jitter_ms
        extra_ms = self._seeded().uniform(0, jitter_ms) if jitter_ms > 0 else 0.0
        return (self.faults.packet_delay_ms + extra_ms) / 1000


@dataclasses.dataclass(slots=True)
class Breaches:
    """Counters of what must never happen, with the last cases in words.

    Args:
        over_capacity: Starts after which a worker held more than its size.
        two_places: Starts of a task that was still running elsewhere.
        done_twice: Second and further times that a task finished.
        started_after_finish: Starts of a task that had already finished.
        started_while_out: Starts more than 3 s after the data centre was
            taken out.
        resumed_behind: Starts from an older checkpoint than the task's newest.
    """

    over_capacity: int = 0
    two_places: int = 0
    done_twice: int = 0
    started_after_finish: int = 0
    started_while_out: int = 0
    resumed_behind: int = 0
    details: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_DETAILS)
    )

    def count(self, name: str, detail: str) -> None:
        """Add one breach."""
        setattr(self, name, getattr(self, name) + 1)
        self.details.append(f"{name}: {detail}")

    def to_wire(self) -> dict[str, Any]:
        """Return counters and details as JSON."""
        counters = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
            if field.name != "details"
        }
        return {**counters, "details": list(self.details)}
