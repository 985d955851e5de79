"""Stands in for executors, on loopback.

They follow the section on running tasks in PROTOCOL.md: fencing tokens, leases
on their own clock, numbered runs, and ends that are listed until they are
acknowledged. The text of a job begins with the milliseconds of work of its
tasks, which end as done; 0 lets them last.
"""

import asyncio
import dataclasses
import json
import time
from collections.abc import Callable

from tornado import httpserver, httputil, netutil

from kit import store as store_module

BEAT_S = 1.5
STOP_S = 0.1
HOLD_MAX_MS = 10_000
TOPIC = "keyed.servers"

Answer = tuple[int, dict[str, object]]


@dataclasses.dataclass
class Run:
    """One run; ``ends_at`` is None if it lasts."""

    number: int
    started_at: float
    ends_at: float | None
    stops_at: float | None = None


class Executor:
    """One executor, which writes its own entry into the store."""

    def __init__(
        self,
        store: store_module.Store,
        executor_id: str,
        zone: str,
        labels: list[str],
        note: Callable[..., None],
        service: str = "recover-desk",
    ) -> None:
        self.executor_id = executor_id
        self.address = ""
        self.zone = zone
        self.labels = labels
        self.service = service
        self.state = "ready"
        self.answer_s = 0.0  # Added to each answer.
        self.is_up = True
        # Called with the call's name; returns seconds after which it is
        # carried out without an answer, or None.
        self.divert: Callable[[str], float | None] = lambda call: None
        self._store = store
        self._note = note
        self._tasks: set[asyncio.Task[None]] = set()
        self._begin()

    def _begin(self) -> None:
        self.born_ms = time.time_ns() // 1_000_000
        self._born_at = time.monotonic()
        self.token = 0
        self.deadline_ms = 0
        self._has_lapsed = True
        self.runs: dict[str, Run] = {}
        self.ends: list[list[object]] = []
        self.last_end = 0
        self.past_run: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._sequence = 0

    def serve(self) -> None:
        """Serve the calls, and write the entry from now on."""

        def receive(request: httputil.HTTPServerRequest) -> None:
            self._spawn(self._respond(request))

        server = httpserver.HTTPServer(receive)
        (socket,) = netutil.bind_sockets(0, "127.0.0.1")
        server.add_socket(socket)
        self.address = f"127.0.0.1:{socket.getsockname()[1]}"
        self._spawn(self._beat())
        self._spawn(self._tick())

    def restart(self, labels: list[str]) -> None:
        """Crash, and start again under the same id with other labels."""
        for task in self.runs:
            self._note("gone", executor=self.executor_id, task=task)
        self.labels = labels
        self._begin()
        self._note("restarted", executor=self.executor_id, labels=labels)

    def clock_ms(self) -> int:
        """Return the executor's steady clock."""
        return int((time.monotonic() - self._born_at) * 1000)

    def publish(self) -> None:
        """Write the entry of the executor into the store."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "sequence": self._sequence,
            "born": self.born_ms,
            "labels": self.labels,
            "capacity": {"cpu": 64000, "mem_mb": 256000},
        }
        self._store.write(TOPIC, self.executor_id, json.dumps(entry).encode())

    async def _beat(self) -> None:
        while True:
            if self.is_up:
                self.publish()
            await asyncio.sleep(BEAT_S)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            self._lapse_if_due()
            now = time.monotonic()
            for task, run in list(self.runs.items()):
                if run.stops_at is not None and now >= run.stops_at:
                    self._end(task, "stopped")
                elif run.ends_at is not None and now >= run.ends_at:
                    self._end(task, "done")

    def _lapse_if_due(self) -> None:
        """End all runs if the lease has expired."""
        has_lapsed = self.clock_ms() > self.deadline_ms
        if has_lapsed and not self._has_lapsed:
            self._note("lapse", executor=self.executor_id)
        self._has_lapsed = has_lapsed
        if has_lapsed:
            for task in list(self.runs):
                self._end(task, "lapsed")

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        self.last_end += 1
        self.ends.append([self.last_end, task, run.number, how, ""])
        self.past_run[task] = max(run.number, self.past_run.get(task, 0))
        self._note(
            "ended", executor=self.executor_id, task=task, run=run.number, how=how
        )
        wake, self._wake = self._wake, asyncio.Event()
        wake.set()

    async def _respond(self, request: httputil.HTTPServerRequest) -> None:
        if self.answer_s:
            await asyncio.sleep(self.answer_s)
        status, content = 421, {}
        if request.headers.get("X-Expected-Instance") == self.executor_id:
            body = json.loads(request.body)
            late_s = self.divert(request.path.rpartition("/")[2])
            if late_s is not None:
                born_ms = self.born_ms
                await asyncio.sleep(late_s)
                if self.born_ms == born_ms:
                    await self._answer(request.path, body)
                return
            status, content = await self._answer(request.path, body)
        content["clock_ms"] = self.clock_ms()
        content["born"] = self.born_ms
        raw = json.dumps(content).encode()
        try:
            await request.connection.write_headers(
                httputil.ResponseStartLine("HTTP/1.1", status, "-"),
                httputil.HTTPHeaders({"Content-Length": str(len(raw))}),
                raw,
            )
            request.connection.finish()
        except Exception:
            return  # The connection has ended.

    async def _answer(self, path: str, body: dict[str, object]) -> Answer:
        token = int(str(body.get("fencing_token", 0)))
        if token < self.token:
            return 409, {"reason": "fence"}
        self.token = token
        call = path.rpartition("/")[2]
        if call == "run-start":
            return self._start(body)
        if call == "run-stop":
            return self._stop(body)
        if call == "hold":
            return await self._hold(body)
        return 200, {}

    def _extend(self, deadline_ms: int) -> None:
        self._lapse_if_due()
        longest = self.clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    def _start(self, body: dict[str, object]) -> Answer:
        self._lapse_if_due()
        task, number = str(body["task"]), int(str(body["run"]))
        spec, deadline_ms = str(body["spec"]), int(str(body["deadline_ms"]))
        if deadline_ms < self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(deadline_ms)
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return 200, {}
        if present is not None or number <= self.past_run.get(task, 0):
            return 409, {"reason": "old"}
        now, work_ms = time.monotonic(), int(spec.partition(" ")[0])
        ends_at = now + work_ms / 1000 if work_ms else None
        self.runs[task] = Run(number, now, ends_at)
        self._note(
            "started",
            executor=self.executor_id,
            task=task,
            run=number,
            token=self.token,
            labels=self.labels,
        )
        return 200, {}

    def _stop(self, body: dict[str, object]) -> Answer:
        task, number = str(body["task"]), int(str(body["run"]))
        run = self.runs.get(task)
        if run is not None and run.number == number:
            run.stops_at = run.stops_at or time.monotonic() + STOP_S
        self.past_run[task] = max(number, self.past_run.get(task, 0))
        return 200, {}

    async def _hold(self, body: dict[str, object]) -> Answer:
        if body.get("deadline_ms") is not None:
            self._extend(int(str(body["deadline_ms"])))
        cursor = int(str(body.get("ack_cursor", 0)))
        for end in self.ends:
            if int(str(end[0])) <= cursor:
                self._note("noted", executor=self.executor_id, end=end[1:4])
        self.ends = [end for end in self.ends if int(str(end[0])) > cursor]
        if not self.ends and body.get("wait_ms"):
            try:
                async with asyncio.timeout(int(str(body["wait_ms"])) / 1000):
                    await self._wake.wait()
            except TimeoutError:
                pass
        running = [[t, run.number, "", 100, 0] for t, run in self.runs.items()]
        return 200, {"running": running, "ended": self.ends[:500]}

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
