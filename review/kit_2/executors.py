"""Stands in for executors, as ``PROTOCOL.md`` describes them."""

import asyncio
import dataclasses
import json
import time
from collections.abc import Callable
from typing import Any

import store as store_module
import wire

CALL_S = 0.002
HEARTBEAT_S = 1.1
STOP_S = 0.1
MAX_LEASE_MS = 6000
CAPACITY = {"cpu": 16000, "mem_mb": 65536, "gpu": 0}


@dataclasses.dataclass(slots=True)
class Run:
    """A run on an executor; ``ends_at`` is None for one that lasts."""

    number: int
    ends_at: float | None
    stops_at: float | None = None


class Executor:
    """One executor, which registers itself and runs what it is told to.

    The spec of a job holds ``ms``, how long each task works, or nothing for
    tasks that last.
    """

    def __init__(
        self,
        executor_id: str,
        zone: str,
        store: store_module.Store,
        note: Callable[..., None],
    ) -> None:
        self.executor_id = executor_id
        self.run_by_task: dict[str, Run] = {}
        self._zone = zone
        self._store = store
        self._note = note
        self._address = ""
        self._born_at = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self._token = 0
        self._deadline_ms = 0
        self._ended: list[list[Any]] = []
        self._end_count = 0
        self._stopped: dict[str, int] = {}
        self._changed = asyncio.Event()

    def clock_ms(self) -> int:
        """Return the steady clock of the executor, from its start."""
        return int((time.monotonic() - self._born_at) * 1000)

    async def serve(self, host: str, port: int) -> asyncio.Server:
        """Serve the system's calls."""
        self._address = f"{host}:{port}"
        return await wire.serve(host, port, self._answer)

    async def run(self) -> None:
        """Register and work until cancelled."""
        sequence, next_beat_at = 0, 0.0
        while True:
            self._advance()
            if time.monotonic() >= next_beat_at:
                next_beat_at = time.monotonic() + HEARTBEAT_S
                sequence += 1
                self._beat(sequence)
            await asyncio.sleep(0.01)

    def _beat(self, sequence: int) -> None:
        entry = {
            "service": "desk",
            "address": self._address,
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": CAPACITY,
            "labels": ["a", "r1-1"],
            "clock_ms": self.clock_ms(),
            "born": self._born_ms,
            "sequence": sequence,
        }
        value = json.dumps(entry).encode()
        self._store.put("keyed.servers", self.executor_id, value)

    def _advance(self) -> None:
        now, clock_ms = time.monotonic(), self.clock_ms()
        for task, run in list(self.run_by_task.items()):
            if clock_ms > self._deadline_ms:
                self._end(task, run, "lapsed")
            elif run.stops_at is not None and now >= run.stops_at:
                self._end(task, run, "stopped")
            elif run.ends_at is not None and now >= run.ends_at:
                self._end(task, run, "done")

    def _end(self, task: str, run: Run, how: str) -> None:
        del self.run_by_task[task]
        self._stopped[task] = max(self._stopped.get(task, 0), run.number)
        self._end_count += 1
        self._ended.append([self._end_count, task, run.number, how, ""])
        self._note("end", executor=self.executor_id, task=task, run=run.number, how=how)
        self._changed.set()

    async def _answer(self, request: wire.Request) -> wire.Reply:
        await asyncio.sleep(CALL_S)
        if request.headers.get("x-expected-instance", self.executor_id) != (
            self.executor_id
        ):
            return wire.as_json({"clock_ms": self.clock_ms()}, 421)
        body = request.json()
        if body.get("fencing_token", 0) < self._token:
            return self._reply(409, reason="fence")
        self._token = body.get("fencing_token", 0)
        self._advance()
        call = request.path.rpartition("/")[2]
        if call == "run-start":
            return self._start(body)
        if call == "run-stop":
            return self._stop(body)
        if call == "hold":
            return await self._hold(body)
        return self._reply(200 if call == "pace" else 404)

    def _reply(self, status: int, **fields: Any) -> wire.Reply:
        return wire.as_json(
            {"clock_ms": self.clock_ms(), "born": self._born_ms, **fields}, status
        )

    def _extend(self, body: dict[str, Any]) -> None:
        longest = self.clock_ms() + MAX_LEASE_MS
        deadline_ms = min(body.get("deadline_ms", 0), longest)
        self._deadline_ms = max(self._deadline_ms, deadline_ms)

    def _start(self, body: dict[str, Any]) -> wire.Reply:
        task, number = body["task"], body["run"]
        present = self.run_by_task.get(task)
        if present is not None and present.number == number:
            return self._reply(200)
        if body["deadline_ms"] <= self.clock_ms():
            return self._reply(409, reason="late")
        self._extend(body)
        if present is not None or number <= self._stopped.get(task, 0):
            return self._reply(409, reason="old")
        ms = json.loads(body["spec"]).get("ms")
        ends_at = None if ms is None else time.monotonic() + ms / 1000
        self.run_by_task[task] = Run(number, ends_at)
        self._note(
            "start",
            executor=self.executor_id,
            task=task,
            run=number,
            token=body.get("fencing_token", 0),
        )
        return self._reply(200)

    def _stop(self, body: dict[str, Any]) -> wire.Reply:
        task, number = body["task"], body["run"]
        self._stopped[task] = max(self._stopped.get(task, 0), number)
        run = self.run_by_task.get(task)
        if run is not None and run.number == number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
        return self._reply(200)

    async def _hold(self, body: dict[str, Any]) -> wire.Reply:
        self._extend(body)
        cursor = body.get("ack_cursor", 0)
        self._ended = [end for end in self._ended if end[0] > cursor]
        if not self._ended and body.get("wait_ms"):
            self._changed.clear()
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        self._advance()
        running = [
            [task, run.number, "", 100 if run.ends_at is None else 50, 0]
            for task, run in self.run_by_task.items()
        ]
        return self._reply(200, running=running, ended=self._ended[:500])
