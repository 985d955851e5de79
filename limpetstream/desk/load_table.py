"""Table of the load of all groups, and selection of a group by it."""

import dataclasses
import math
import random
from collections.abc import Iterable
from typing import Any

import msgspec

from limpetstream.desk import messages

EXCHANGE_INTERVAL_S = 1.0
# Bounds the bytes a second for load exchanges; see the entry_cost bench.
MAX_ROWS = 12
# Entries older than this are not passed on to other instances.
MAX_ENTRY_AGE_S = 15.0
SUSPECT_DURATION_S = 2.0
# Run times older than this do not count towards the typical one.
MAX_RUN_TIME_AGE_S = 3.0
# Raises the cost of an almost full group, whose last free slots may be taken
# before a request arrives there.
FULL_GROUP_PENALTY = 2.0


@dataclasses.dataclass(slots=True)
class LoadEntry:
    """Load of one group, and the forwards of this instance since then.

    Args:
        load: Load that the holder reported.
        measured_at: Monotonic time of this instance to which it belongs.
        forwards_since: Requests forwarded there since the load was received.
    """

    load: messages.Load
    measured_at: float
    forwards_since: int = 0


@dataclasses.dataclass(slots=True)
class LoadTable:
    """Load of the groups of all holders, as far as it was reported.

    Args:
        rng: Source of random numbers.
        by_key: Entries by service and group.
        suspect_until: Monotonic time by member until which it is avoided.
    """

    rng: random.Random
    by_key: dict[tuple[str, str], LoadEntry] = dataclasses.field(default_factory=dict)
    suspect_until: dict[str, float] = dataclasses.field(default_factory=dict)

    def merge(self, rows: Iterable[list[Any]], now: float) -> None:
        """Merge load rows; rows older than the known ones are dropped.

        Rows in the format of another program version are skipped, so that
        forwards go on during a rolling update.

        Args:
            rows: Loads as ``encode_rows`` returns them.
            now: Monotonic time in seconds.
        """
        for row in rows:
            try:
                fields = dict(zip(_FIELD_NAMES, row, strict=True))
                load = msgspec.convert(fields, messages.Load)
            except (ValueError, msgspec.ValidationError):
                continue
            measured_at = now - max(0, load.age_ms) / 1000
            key = (load.service, load.group)
            known = self.by_key.get(key)
            if known is None or _is_newer(load, measured_at, known):
                self.by_key[key] = LoadEntry(load, measured_at)

    def encode_rows(
        self, local_loads: list[messages.Load], now: float
    ) -> list[list[Any]]:
        """Return load rows for a message, at most ``MAX_ROWS``.

        Args:
            local_loads: Loads of this instance's groups, which come first;
                those of other holders follow, the newest first.
            now: Monotonic time in seconds.
        """
        held = {(load.service, load.group) for load in local_loads}
        others = sorted(
            (
                entry
                for key, entry in self.by_key.items()
                if key not in held and now - entry.measured_at < MAX_ENTRY_AGE_S
            ),
            key=lambda entry: -entry.measured_at,
        )
        rows = [_encode_row(load, 0) for load in local_loads]
        rows += [
            _encode_row(entry.load, int((now - entry.measured_at) * 1000))
            for entry in others
        ]
        return rows[: max(MAX_ROWS, 1)]

    def mark_suspect(self, member: str, now: float) -> None:
        """Avoid a member that did not answer, for ``SUSPECT_DURATION_S``."""
        self.suspect_until[member] = now + SUSPECT_DURATION_S

    def count_forward(self, service: str, group: str) -> None:
        """Count a forward, so that the next one expects fewer free slots."""
        entry = self.by_key.get((service, group))
        if entry is not None:
            entry.forwards_since += 1

    def expected_completion_s(
        self, service: str, group: str, round_trip_s: float, run_s: float
    ) -> float:
        """Return the expected time in seconds to run a request at a group.

        Args:
            service: Name of the desk service.
            group: Group whose holder would run the request.
            round_trip_s: Seconds to the holder and back.
            run_s: Run time in seconds; a group without a reported load is
                expected to take twice as long.
        """
        entry = self.by_key.get((service, group))
        if entry is None:
            return round_trip_s + 2.0 * run_s
        return round_trip_s + completion_s(entry.load, entry.forwards_since)

    def recent_run_s(self, service: str, now: float) -> list[float]:
        """Return the run times in seconds of groups with a recent load."""
        return [
            entry.load.run_ms / 1000
            for key, entry in self.by_key.items()
            if key[0] == service and now - entry.measured_at < MAX_RUN_TIME_AGE_S
        ]

    def pick_group(
        self,
        service: str,
        candidates: list[tuple[str, str, float]],
        weights: list[int],
        run_s: float,
    ) -> tuple[str, str, float] | None:
        """Choose a group by the power of two random choices.

        Args:
            service: Name of the desk service.
            candidates: Triples of group, holder and ``round_trip_s``.
            weights: Number of executors in each group; larger groups are drawn
                more often.
            run_s: Run time in seconds, see ``expected_completion_s``.

        Returns:
            Group, holder and expected completion time in seconds, or None
            without a candidate.
        """
        chosen = self._draw_two(candidates, weights)
        chosen.sort(
            key=lambda candidate: self.expected_completion_s(
                service, candidate[0], candidate[2], run_s
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

    def _draw_two(
        self, candidates: list[tuple[str, str, float]], weights: list[int]
    ) -> list[tuple[str, str, float]]:
        if len(candidates) <= 2:
            return list(candidates)
        numbers = range(len(candidates))
        first = self.rng.choices(numbers, weights)[0]
        second_weights = [
            0 if number == first else weights[number] for number in numbers
        ]
        second = self.rng.choices(numbers, second_weights)[0]
        return [candidates[first], candidates[second]]


def _is_newer(load: messages.Load, measured_at: float, known: LoadEntry) -> bool:
    if load.holder == known.load.holder:
        return load.stamp_ms > known.load.stamp_ms
    return measured_at > known.measured_at


_FIELD_NAMES = [field.name for field in dataclasses.fields(messages.Load)]


def _encode_row(load: messages.Load, age_ms: int) -> list[Any]:
    return [getattr(load, name) for name in _FIELD_NAMES[:-1]] + [age_ms]


def completion_s(load: messages.Load, forwards_since: int = 0) -> float:
    """Return the expected time in seconds to run one more request.

    Args:
        load: Load of the group.
        forwards_since: Requests that were forwarded there since.

    >>> completion_s(messages.Load("s", "g", "h", 8, 8, 0, 100.0))
    0.1
    >>> completion_s(messages.Load("s", "g", "h", 8, 0, 8, 100.0)) > 0.2
    True
    """
    if load.slots <= 0:
        return math.inf
    run_s, free = load.run_ms / 1000, load.free - forwards_since
    used = max(0.0, min(1.0, 1.0 - free / load.slots))
    wait_s = 0.0 if free > 0 else run_s * (load.queued - free + 1) / load.slots
    return run_s * (1.0 + FULL_GROUP_PENALTY * used**4) + wait_s
