"""Handles the control calls of the backend stand-in.

``docs/PLATFORM.md`` lists the calls.
"""

import asyncio
import collections
import dataclasses
import math
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from tornado import web

from standins import executor, faults

StateListener = Callable[[list[executor.Executor]], Awaitable[None]]


class _Faults(msgspec.Struct):
    executors: list[str] | None = None
    behaviour: dict[str, Any] = {}


class _Interference(msgspec.Struct):
    by_worker: dict[str, float] = {}
    by_executor: dict[str, float] = {}


class _Executors(msgspec.Struct):
    executors: list[str]


@dataclasses.dataclass(slots=True)
class ExecutorGroup:
    """The executors of one process, by id."""

    executor_by_id: dict[str, executor.Executor]

    def select(self, ids: list[str] | None) -> list[executor.Executor]:
        """Return the executors of the given ids; None selects all.

        Raises:
            BadCall: An id is unknown.
        """
        if ids is None:
            return list(self.executor_by_id.values())
        unknown = sorted(set(ids) - set(self.executor_by_id))
        if unknown:
            raise faults.BadCall(f"unknown executors: {', '.join(unknown)}")
        return [self.executor_by_id[executor_id] for executor_id in ids]

    def run_counts(self) -> collections.Counter[str]:
        """Return how often each request was run by all executors together."""
        total: collections.Counter[str] = collections.Counter()
        for served in self.executor_by_id.values():
            total.update(served.run_count_by_request)
        return total

    def stats(self) -> dict[str, Any]:
        """Return the counters of each executor and the total of breaches."""
        by_executor = {
            served.id: {
                **msgspec.to_builtins(served.counters),
                "running": served.running,
                "connections": served.open_connections,
                "data_centre": served.data_centre,
            }
            for served in self.executor_by_id.values()
        }
        breach_names = ("over_slots", "over_connections", "after_leave")
        breaches = {
            name: sum(counted[name] for counted in by_executor.values())
            for name in breach_names
        }
        runs = self.run_counts()
        return {
            "executors": by_executor,
            "breaches": breaches,
            "runs": sum(runs.values()),
            "run_twice": sorted(key for key, count in runs.items() if count > 1),
        }

    def set_slowdown_factors(
        self, *, by_worker: dict[str, float], by_executor: dict[str, float]
    ) -> None:
        """Set the factors by which run times are longer.

        Args:
            by_worker: Factor by worker, for all executors on it.
            by_executor: Factor by executor id, which takes precedence.
        """
        for served in self.executor_by_id.values():
            factor = by_worker.get(served.worker, served.slowdown_factor)
            served.slowdown_factor = by_executor.get(served.id, factor)


class Handler(web.RequestHandler):
    """Executes one control call."""

    def initialize(self, group: ExecutorGroup, on_state: StateListener) -> None:
        """Store the executors and the listener for changes of their states."""
        self._group = group
        self._on_state = on_state

    def get(self, name: str) -> None:
        """Answer ``stats`` or ``runs``."""
        value = {"stats": self._group.stats, "runs": self._group.run_counts}.get(name)
        if value is None:
            self._answer(404, {"detail": "unknown control call"})
        else:
            self._answer(200, value())

    async def post(self, name: str) -> None:
        """Execute ``faults``, ``interference``, ``leave`` or ``return``."""
        try:
            self._answer(200, await self._execute_call(name))
        except (faults.BadCall, msgspec.DecodeError) as error:
            self._answer(400, {"detail": str(error)})

    async def _execute_call(self, name: str) -> Any:
        if name == "faults":
            change = msgspec.json.decode(self.request.body, type=_Faults)
            for served in self._group.select(change.executors):
                served.behaviour.merge(change.behaviour)
        elif name == "interference":
            factors = msgspec.json.decode(self.request.body, type=_Interference)
            self._group.set_slowdown_factors(
                by_worker=factors.by_worker, by_executor=factors.by_executor
            )
        elif name in ("leave", "return"):
            ids = msgspec.json.decode(self.request.body, type=_Executors).executors
            changed = self._group.select(ids)
            now = asyncio.get_running_loop().time()
            for served in changed:
                served.leaving_at = now if name == "leave" else math.inf
            await self._on_state(changed)
        else:
            raise faults.BadCall(f"unknown control call: {name}")
        return {}

    def _answer(self, status: int, value: Any) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))
