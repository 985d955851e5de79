"""Fault switches of the platform stand-in and its counters of breaches."""

import collections
import dataclasses
import random
from typing import Any

import msgspec

from limpetstream import errors

MAX_DETAILS = 100
DEFAULT_LOST_CALLS = ("append", "start", "renew", "throttle", "checkpoint", "stop")


class AnswerLost(errors.LogUnavailable):
    """The call took effect, but its answer was dropped."""


class BadCall(Exception):
    """A call to a stand-in is invalid."""


@dataclasses.dataclass(slots=True)
class WorkerClock:
    """How a worker's clock differs from the platform's.

    Args:
        offset_ms: Jump of the clock, applied once when the switch is set.
        rate: Rate relative to the platform's clock.
    """

    offset_ms: float = 0.0
    rate: float = 1.0


@dataclasses.dataclass(slots=True)
class Faults:
    """All fault switches; the defaults simulate normal operation.

    Lists of workers may also name racks and data centres.

    Args:
        log_down: Calls to the log answer 503 and have no effect.
        log_hang: Calls to the log wait until this is switched off and then
            take effect.
        log_delay_ms: Delay of each call to the log before it takes effect.
        log_keep_s: Age at which frames expire.
        log_keep_frames: Number of frames that a stream keeps.
        log_appends_per_s: Rate limit of appends; 0 for no limit.
        lost_answer_probability: Probability that the answer to a call is
            dropped after the call took effect.
        lost_answer_calls: Names of the calls whose answers may be dropped.
        seed: Seed of lost answers and of jitter.
        list_down: The list of instances answers 503.
        list_lag_ms: Age of the list of instances.
        usage_lag_ms: Age at which usage samples are delivered.
        packet_delay_ms: One-way delay of every call and answer.
        packet_jitter_ms: Upper bound of the random addition to the delay.
        failing_workers: Workers on which every started attempt fails.
        failing_jobs: Jobs whose attempts fail on every worker.
        fail_after_s: Amount of work after which such an attempt fails.
        paused_workers: Workers that neither make progress nor answer until
            they are resumed; calls that arrived meanwhile are then executed.
        dead_workers: Workers that lost all their attempts and answer 503.
        clock_by_worker: Deviations of the workers' clocks.
        slowdown_by_pair: Slowdown of work of the first class by a worker
            that is full of work of the second class, by ``first|second``;
            ``*`` stands for any class, and ``desk`` as the first class for a
            desk request.
        size_factor_by_class: Actual use of processors and memory relative to
            the declared one.
        run_factor_by_class: Actual run time relative to the declared one.
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
        """Set the named switches, either all of them or none.

        Raises:
            BadCall: A switch does not exist or a value has the wrong type.
        """
        known = {field.name for field in dataclasses.fields(Faults)}
        unknown = sorted(set(changes) - known)
        if unknown:
            raise BadCall(f"unknown fault switches: {', '.join(unknown)}")
        try:
            merged = msgspec.convert(
                {**msgspec.to_builtins(self), **changes}, Faults, strict=False
            )
        except msgspec.ValidationError as error:
            raise BadCall(str(error)) from error
        for name in changes:
            setattr(self, name, getattr(merged, name))

    def slowdown(self, first: str, second: str) -> float:
        """Return the slowdown of ``first`` on a worker full of ``second``."""
        for pair in (f"{first}|{second}", f"{first}|*", f"*|{second}", "*|*"):
            if pair in self.slowdown_by_pair:
                return self.slowdown_by_pair[pair]
        return 0.0


@dataclasses.dataclass(slots=True)
class FaultSampler:
    """Random fault decisions, reproducible from the seed of the switches."""

    faults: Faults
    seed: int | None = None
    source: random.Random = dataclasses.field(default_factory=random.Random)

    def _seeded_source(self) -> random.Random:
        if self.seed != self.faults.seed:
            self.seed = self.faults.seed
            self.source = random.Random(self.seed)
        return self.source

    def drops_answer(self, call: str) -> bool:
        """Decide whether the answer to this call is dropped."""
        probability = self.faults.lost_answer_probability
        if probability <= 0 or call not in self.faults.lost_answer_calls:
            return False
        return self._seeded_source().random() < probability

    def packet_delay_s(self) -> float:
        """Return the one-way network delay of the next message in seconds."""
        jitter_ms = self.faults.packet_jitter_ms
        extra_ms = self._seeded_source().uniform(0, jitter_ms) if jitter_ms > 0 else 0.0
        return (self.faults.packet_delay_ms + extra_ms) / 1000


@dataclasses.dataclass(slots=True)
class Breaches:
    """Counters of violated guarantees, with texts of the most recent cases.

    Args:
        over_capacity: Starts after which the attempts on a worker exceeded
            its capacity.
        two_places: Starts of a task that was still running elsewhere.
        done_twice: Repeated finishes of a task.
        started_after_finish: Starts of a task that had already finished.
        started_while_out: Starts more than 3 s after the data centre was
            taken out.
        resumed_behind: Starts from an older checkpoint than the task's newest.
        details: Texts of the last ``MAX_DETAILS`` breaches.
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
        """Count one breach and keep its text."""
        setattr(self, name, getattr(self, name) + 1)
        self.details.append(f"{name}: {detail}")

    def to_wire(self) -> dict[str, Any]:
        """Return counters and details as a value that is encoded as JSON."""
        counters = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
            if field.name != "details"
        }
        return {**counters, "details": list(self.details)}
