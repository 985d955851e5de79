"""Stand-in executors: they run tasks under leases, as the users' pages say.

The text of a job, its ``spec``, tells how long each of its tasks works:
``ms=300`` for 300 ms, ``ms=0`` for tasks that last, ``until=T`` until a Unix
time T in milliseconds. ``gang=20`` adds that the
tasks work only while 20 of them are present, and ``saved=128`` that each saves
a checkpoint of 128 characters as it begins.
"""

import asyncio
import json
import random
import time
from collections.abc import Callable
from typing import Any

from kit_3 import store as store_module, wire

HEARTBEAT_S = 1.5
TICK_S = 0.01
NO_ANSWER_S = 30.0  # Longer than a caller waits.
ROUND_TRIP_S = 0.0068  # 3.4 ms one way between zones.


class Run:
    """One run of a task.

    Args:
        task: Its name.
        number: Number of the run.
        spec: Text of the job.
        checkpoint: Checkpoint from which it goes on.
        now: Time of its start.
    """

    def __init__(
        self, task: str, number: int, spec: str, checkpoint: str, now: float
    ) -> None:
        self.task = task
        self.number = number
        self.checkpoint = checkpoint
        fields = dict(each.partition("=")[::2] for each in spec.split(";"))
        work_s = int(fields.get("ms", "0")) / 1000
        if "until" in fields:
            work_s = max(0.001, int(fields["until"]) / 1000 - time.time())
        self.started_at = now
        self.work_s = work_s
        self.gang = int(fields.get("gang", "0"))
        self.is_whole = False
        self.ends_at = now + work_s if work_s and not self.gang else None
        if not checkpoint and "saved" in fields:
            size = int(fields["saved"])
            self.checkpoint = f"{random.randrange(16**size):0{size}x}"
        self.stops_at: float | None = None


class Gang:
    """Members of one run of a gang."""

    def __init__(self) -> None:
        self.present: set[str] = set()
        self.ends_at = 0.0
        self.is_done = False


class Executor:
    """One executor.

    Args:
        world: What is sent, run and judged.
        store: The platform's store.
        number: Its number.
        options: Settings of all executors.
    """

    def __init__(
        self,
        world: Any,
        store: store_module.Store,
        number: int,
        options: dict[str, Any],
    ) -> None:
        self.world = world
        self.store = store
        self.id = f"srv-{number:02d}-{options['salt']}"
        rack = number // options["rack"]
        self.zone = options["zones"][rack % len(options["zones"])]
        self.labels = ["a", f"r{rack}"]
        self.lists_ends = 500  # At a time.
        self.cpu = options["cpu"]
        self.mem_mb = options["mem_mb"]
        self.service = options["service"]
        self.hold_max_ms = options["hold_max_ms"]
        self.stop_ms = options["stop_ms"]
        self.gang_ms = options["gang_ms"]
        self.address = ""
        self.sequence = 0
        self.born_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.deadline_ms = 0
        self.run_by_task: dict[str, Run] = {}
        self.highest_by_task: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.last_end = 0
        self.last_end_at_lapse = 0  # Ends up to it may be taken note of too late.
        self.changed = asyncio.Event()
        self.is_down = False
        # May take a call away; it then gets no answer.
        self.take: Callable[[wire.Request], bool] = lambda request: False

    def crash(self) -> None:
        """End at once; nothing answers at the address until ``restart``."""
        self.is_down = True
        self.world.note(f"{self.id} crashes")
        for run in list(self.run_by_task.values()):
            self.world.note_end(self.id, run.task, run.number, "crashed")

    def restart(self) -> None:
        """Start again under the same id, without anything of before."""
        self.is_down = False
        self.sequence = 0
        self.born_at, self.born = time.monotonic(), int(time.time() * 1000)
        self.token = self.deadline_ms = 0
        self.run_by_task, self.highest_by_task, self.ended = {}, {}, []
        self.last_end = self.last_end_at_lapse = 0
        self.world.note(f"{self.id} has started again")
        self.beat()

    def clock_ms(self) -> int:
        """Return its steady clock."""
        return int((time.monotonic() - self.born_at) * 1000)

    def beat(self) -> None:
        """Write its entry to the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
            "labels": self.labels,
            "born": self.born,
        }
        self.store.write("keyed.servers", self.id, json.dumps(entry).encode())

    async def live(self) -> None:
        """Beat, and end runs whose time has come."""
        beat_at = 0.0
        while True:
            now = time.monotonic()
            if self.is_down:
                await asyncio.sleep(TICK_S)
                continue
            if now >= beat_at:
                beat_at = now + HEARTBEAT_S
                self.beat()
            self._advance(now)
            await asyncio.sleep(TICK_S)

    def _advance(self, now: float) -> None:
        if self.clock_ms() > self.deadline_ms:
            for run in list(self.run_by_task.values()):
                self._end(run, "lapsed")
            self.last_end_at_lapse = self.last_end
        for run in list(self.run_by_task.values()):
            if run.stops_at is not None and now >= run.stops_at:
                self._end(run, "stopped")
            elif run.gang:
                self._advance_gang(run, now)
            elif run.ends_at is not None and now >= run.ends_at:
                self._end(run, "done")

    def _advance_gang(self, run: Run, now: float) -> None:
        """Let a member of a gang work while all members are present."""
        gang = self.world.gang_by_run[run.task.rpartition(".")[0], run.number]
        if not run.is_whole and len(gang.present) == run.gang:
            run.is_whole = True
            gang.ends_at = gang.ends_at or now + run.work_s
        if run.is_whole and (gang.is_done or now >= gang.ends_at):
            gang.is_done = True
            self._end(run, "done")
        elif run.is_whole and len(gang.present) < run.gang:
            self._end(run, "broken")
        elif not run.is_whole and now > run.started_at + self.gang_ms / 1000:
            self._end(run, "alone")

    def _end(self, run: Run, how: str) -> None:
        del self.run_by_task[run.task]
        if run.gang:
            gang = self.world.gang_by_run[run.task.rpartition(".")[0], run.number]
            gang.present.discard(run.task)
        self._raise_highest(run.task, run.number)
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, run.checkpoint])
        self.world.note_end(self.id, run.task, run.number, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def _raise_highest(self, task: str, number: int) -> None:
        self.highest_by_task[task] = max(number, self.highest_by_task.get(task, 0))

    async def handle(self, request: wire.Request) -> wire.Reply | None:
        """Answer one call."""
        await asyncio.sleep(ROUND_TRIP_S)
        if self.is_down:
            return None
        if self.take(request):
            await asyncio.sleep(NO_ANSWER_S)
            return None
        return await self.answer(request)

    async def answer(self, request: wire.Request) -> wire.Reply | None:
        """Carry a call out."""
        if request.headers.get("x-expected-instance") != self.id:
            return wire.as_json({}, 421)
        body = request.json()
        self._advance(time.monotonic())
        if body.get("fencing_token", 0) < self.token:
            answer = {"clock_ms": self.clock_ms(), "reason": "fence"}
            return wire.as_json(answer, 409)
        self.token = body.get("fencing_token", 0)
        name = request.path.rpartition("/")[2]
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            return self._stop(body)
        if name == "hold":
            return await self._hold(body)
        if name == "pace":
            return wire.as_json({"clock_ms": self.clock_ms()})
        return wire.as_json({"error": "no such call"}, 400)

    def _extend(self, deadline_ms: int) -> None:
        longest = self.clock_ms() + self.hold_max_ms
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    def _refuse(self, reason: str) -> wire.Reply:
        return wire.as_json({"clock_ms": self.clock_ms(), "reason": reason}, 409)

    def _start(self, body: dict[str, Any]) -> wire.Reply:
        task, number = body["task"], body["run"]
        present = self.run_by_task.get(task)
        if present is not None and present.number == number:
            return wire.as_json({"clock_ms": self.clock_ms()})
        if self.clock_ms() > body["deadline_ms"]:
            return self._refuse("late")
        if present is not None or number <= self.highest_by_task.get(task, 0):
            self._extend(body["deadline_ms"])
            return self._refuse("old")
        self._extend(body["deadline_ms"])
        run = Run(
            task, number, body["spec"], body.get("checkpoint", ""), time.monotonic()
        )
        self.run_by_task[task] = run
        if run.gang:
            place = task.rpartition(".")[0], number
            self.world.gang_by_run.setdefault(place, Gang()).present.add(task)
        self.world.note_start(self.id, task, number, body["spec"])
        return wire.as_json({"clock_ms": self.clock_ms()})

    def _stop(self, body: dict[str, Any]) -> wire.Reply:
        self._raise_highest(body["task"], body["run"])
        run = self.run_by_task.get(body["task"])
        if run is not None and run.number <= body["run"] and run.stops_at is None:
            run.stops_at = time.monotonic() + self.stop_ms / 1000
        return wire.as_json({"clock_ms": self.clock_ms()})

    async def _hold(self, body: dict[str, Any]) -> wire.Reply:
        cursor = body.get("ack_cursor", 0)
        for row in self.ended:
            if self.last_end_at_lapse < row[0] <= cursor:
                self.world.note_taken(row[1], row[2], row[3])
        self.ended = [row for row in self.ended if row[0] > cursor]
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await self.changed.wait()
            except TimeoutError:
                break
        running = [
            [run.task, run.number, run.checkpoint, 50, 0]
            for run in self.run_by_task.values()
        ]
        return wire.as_json(
            {
                "clock_ms": self.clock_ms(),
                "born": self.born,
                "running": running,
                "ended": self.ended[: self.lists_ends],
            }
        )
