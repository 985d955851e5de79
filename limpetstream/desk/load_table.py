"""Load of all groups, as their holders told it, and the choice among them."""

import dataclasses
import math
import random
from collections.abc import Iterable
from typing import Any

import msgspec

from limpetstream.desk import messages

EXCHANGE_INTERVAL_S = 1.0
# Bounds the bytes a second that summaries cost; see the entry_cost bench.
ROWS_MAX = 12
ENTRY_MAX_AGE_S = 15.0
SUSPECT_DURATION_S = 2.0
RECENT_MAX_AGE_S = 3.0
# Weight of an almost full group, whose free slots may be gone on arrival.
FULL_GROUP_PENALTY = 2.0


@dataclasses.dataclass(slots=True)
class LoadEntry:
    """Load of one group and what this instance did since.

    Args:
        load: Figures of the holder.
        measured_at: Monotonic time to which they belong.
        sent: Forwards sent there since.
    """

    load: messages.Load
    measured_at: float
    forwards_since: int = 0


@dataclasses.dataclass(slots=True)
class LoadTable:
    """What this instance knows about the groups of others."""

    rng: random.Random
    by_key: dict[tuple[str, str], LoadEntry] = dataclasses.field(default_factory=dict)
    suspect_until: dict[str, float] = dataclasses.field(default_factory=dict)

    def merge(self, rows: Iterable[list[Any]], now: float) -> None:
        """Take in summaries; figures older than known ones are dropped.

        Rows of another version of the program are skipped, so that forwards
        go on while instances are replaced one by one.
        """
        for row in rows:
            try:
                fields = dict(zip(_FIELDS, row, strict=True))
                load = msgspec.convert(fields, messages.Load)
            except (ValueError, msgspec.ValidationError):
                continue
            measured_at = now - max(0, load.age_ms) / 1000
            key = (load.service, load.group)
            known = self.by_key.get(key)
            if known is None or _newer(load, measured_at, known):
                self.by_key[key] = LoadEntry(load, measured_at)

    def encode_rows(self, own: list[messages.Load], now: float) -> list[list[Any]]:
        """Return the own loads and the freshest others, in wire form."""
        held = {(load.service, load.group) for load in own}
        others = sorted(
            (
                seen
                for key, seen in self.by_key.items()
                if key not in held and now - seen.measured_at < ENTRY_MAX_AGE_S
            ),
            key=lambda seen: -seen.measured_at,
        )
        rows = [_row(load, 0) for load in own]
        rows += [_row(s.load, int((now - s.measured_at) * 1000)) for s in others]
        return rows[: max(ROWS_MAX, 1)]

    def mark_suspect(self, member: str, now: float) -> None:
        """Avoid a member that did not answer for a while."""
        self.suspect_until[member] = now + SUSPECT_DURATION_S

    def count_forward(self, service: str, group: str) -> None:
        """Count a forward, so that the next one sees fewer free slots."""
        seen = self.by_key.get((service, group))
        if seen is not None:
            seen.forwards_since += 1

    def expected_completion_s(
        self, service: str, group: str, round_trip_s: float, run_s: float
    ) -> float:
        """Return the expected completion time through a group's holder.

        Args:
            service: Desk service.
            group: Group.
            round_trip_s: Time to the holder and back.
            run_s: Run time to assume when nothing is known.
        """
        seen = self.by_key.get((service, group))
        if seen is None:
            return round_trip_s + 2.0 * run_s
        return round_trip_s + completion_s(seen.load, seen.forwards_since)

    def recent_run_s(self, service: str, now: float) -> list[float]:
        """Return the recent run times in the groups of a service."""
        return [
            seen.load.run_ms / 1000
            for key, seen in self.by_key.items()
            if key[0] == service and now - seen.measured_at < RECENT_MAX_AGE_S
        ]

    def pick_group(
        self,
        service: str,
        candidates: list[tuple[str, str, float]],
        weights: list[int],
        run_s: float,
    ) -> tuple[str, str, float] | None:
        """Choose a group by the power of two choices.

        Args:
            service: Desk service.
            candidates: Triples of group, holder and ``round_trip_s``.
            weights: Executors in each group; large ones are drawn more often.
            run_s: Run time to assume when nothing is known.

        Returns:
            Group, holder and expected completion time.
        """
        chosen = self._two(candidates, weights)
        chosen.sort(
            key=lambda each: self.expected_completion_s(
                service, each[0], each[2], run_s
            )
        )
        if not chosen:
            return None
        group, member, round_trip_s = chosen[0]
        return (
            group,
            member,
            self.expected_completion_s(service, group, round_trip_s, run_s),
        )

    def _two(
        self, candidates: list[tuple[str, str, float]], weights: list[int]
    ) -> list[tuple[str, str, float]]:
        if len(candidates) <= 2:
            return list(candidates)
        numbers = range(len(candidates))
        first = self.rng.choices(numbers, weights)[0]
        rest = [0 if number == first else weights[number] for number in numbers]
        second = self.rng.choices(numbers, rest)[0]
        return [candidates[first], candidates[second]]


def _newer(load: messages.Load, measured_at: float, known: LoadEntry) -> bool:
    if load.holder == known.load.holder:
        return load.stamp_ms > known.load.stamp_ms
    return measured_at > known.measured_at


_FIELDS = [field.name for field in dataclasses.fields(messages.Load)]


def _row(load: messages.Load, age_ms: int) -> list[Any]:
    return [getattr(load, name) for name in _FIELDS[:-1]] + [age_ms]


def completion_s(load: messages.Load, sent: int = 0) -> float:
    """Return the expected time to run one more request.

    Args:
        load: Load of the group.
        sent: Requests that went there since.

    >>> completion_s(messages.Load("s", "g", "h", 8, 8, 0, 100.0))
    0.1
    >>> completion_s(messages.Load("s", "g", "h", 8, 0, 8, 100.0)) > 0.2
    True
    """
    if load.slots <= 0:
        return math.inf
    run_s, free = load.run_ms / 1000, load.free - sent
    used = max(0.0, min(1.0, 1.0 - free / load.slots))
    wait_s = 0.0 if free > 0 else run_s * (load.queued - free + 1) / load.slots
    return run_s * (1.0 + FULL_GROUP_PENALTY * used**4) + wait_s
