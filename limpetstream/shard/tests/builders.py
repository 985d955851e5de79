"""Test data: a recovered shard, its executors, tasks and runs."""

import asyncio
import dataclasses
import types
from collections.abc import Callable, Coroutine, Iterable, Iterator
from typing import Any

import pytest

from limpetstream import errors
from limpetstream.executors import messages as executor_messages, tracking
from limpetstream.shard import (
    audits,
    job_api,
    journal,
    names,
    peer_messages,
    scheduling,
    sessions,
    state,
)
from limpetstream.store import messages as store_messages
from limpetstream.workflow import messages, state as workflow_state
from standins import keyed_store, shard_cluster, virtual_time

CAPACITY = executor_messages.Capacity(64_000, 256_000, 0)
SERVING = messages.Step(
    1,
    cpu_millicores=13_000,
    memory_mb=26_000,
    image="desk",
    tail_target_ms=18,
    long_running=True,
)
BEST_EFFORT = messages.Step(
    1, cpu_millicores=7_000, memory_mb=13_000, image="press", fills=True
)
SHORT = messages.Step(1, cpu_millicores=6_000, memory_mb=8_000)


class RecordingClient:
    """Client of executors that records the calls and answers them.

    ``fail`` leaves every call without an answer. ``deadlines`` holds the
    deadlines of the polls, on the executor's clock, and ``rows`` the runs that
    their replies list.
    """

    def __init__(self):
        self.calls = []
        self.deadlines = []
        self.rows = []
        self.fail = False

    async def start(self, listing, request, *, timeout_s):
        await self._record("start", timeout_s)
        return executor_messages.StartReply(executor_messages.STARTED)

    async def stop(self, listing, task, run, token, *, timeout_s):
        await self._record("stop", timeout_s)

    async def pace(self, listing, task, run, percent, token, *, timeout_s):
        await self._record("pace", timeout_s)

    async def poll(
        self, listing, *, token, acknowledged, deadline_ms, wait_ms, timeout_s
    ):
        self.deadlines.append(deadline_ms)
        await self._record("poll", timeout_s)
        await asyncio.sleep(max(wait_ms / 1000, 0.004))
        return executor_messages.PollReply(1000, 1, self.rows, [])

    async def _record(self, call, timeout_s):
        self.calls.append(call)
        if self.fail:
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("no answer")


class RecordingPeers:
    """Instances that answer the question for the highest epoch they know.

    ``name_by_member`` names the process that answers in place of another one,
    ``epoch_by_member`` holds later epochs that instances know,
    ``unreachable`` the instances that do not answer, and ``released`` those
    that have released the shard. ``stopped_below`` is what all tell of owners
    that have stopped, and ``told_stopped_below`` what they were told.
    """

    def __init__(self):
        self.asked = []
        self.stopped_below = 0
        self.told_stopped_below = []
        self.released = set()
        self.epoch_by_member = {}
        self.name_by_member = {}
        self.unreachable = set()

    async def call(self, member, request, *, timeout_s):
        self.asked.append(member)
        self.told_stopped_below.append(request.stopped_below)
        await asyncio.sleep(0.004)
        if member in self.unreachable:
            await asyncio.sleep(timeout_s)
            raise errors.PeerUnreachable(member)
        return peer_messages.PeerReply(
            epoch=max(request.epoch, self.epoch_by_member.get(member, 0)),
            member=self.name_by_member.get(member, member),
            released=member in self.released,
            stopped_below=self.stopped_below,
        )


def make_executor(executor_id: str, *, data_centre: str = "a") -> tracking.Executor:
    """Return an executor that was polled at time 0."""
    listing = executor_messages.Listing(
        executor_id,
        executor_id,
        data_centre,
        "service",
        executor_messages.READY,
        CAPACITY,
        (),
    )
    return tracking.Executor(
        listing, recorded=True, reached=True, has_listed_all=True, polled_at=0.0
    )


def make_shard(loop: virtual_time.Loop, *, executors: int = 1) -> state.Shard:
    """Return a recovered shard that sends no requests to executors.

    All runs of earlier owners are settled, and spawned tasks never run.
    """
    clock = virtual_time.make_clock(loop)

    def spawn(coroutine: Coroutine[Any, Any, Any]) -> None:
        coroutine.close()

    shard = state.Shard(
        number=0,
        shard_count=1,
        epoch=1,
        store=None,
        executor_client=None,
        clock=clock,
        view=state.DeploymentView(
            messages.Configuration(1, [shard_cluster.QUEUE, shard_cluster.BATCH])
        ),
        timing=state.Timing(),
        journal=journal.Journal(None, 0, 1, clock),
        spawn=spawn,
        recovered=True,
        earlier_runs_settled=True,
    )
    for number in range(executors):
        executor = make_executor(f"x{number}")
        executor.usage = shard.usage
        shard.executor_by_id[f"x{number}"] = executor
    return shard


def make_tasks(
    shard: state.Shard, step: messages.Step, *, queue: str = "batch"
) -> list[workflow_state.Task]:
    """Return the tasks of a new job; they are not queued."""
    job_id = f"{len(shard.job_by_id):016x}"
    submission = messages.Submission(
        job_id, queue, "service", "", [step], accepted_ms=shard.clock.wall_ms()
    )
    job = workflow_state.Job(submission)
    shard.job_by_id[job_id] = job
    return list(workflow_state.get_occurrence(job, 0).tasks_by_step[0])


def forget_waiting_tasks(shard: state.Shard) -> None:
    """Drop all waiting tasks, as a fault of the program would."""
    for task in list(shard.waiting_tasks):
        shard.waiting_tasks.remove(task)


def untracked_tasks(shard: state.Shard) -> list[workflow_state.Task]:
    """Return the open tasks that neither wait nor run."""
    return [
        task
        for task in audits.released_tasks(shard)
        if audits.find_violation(shard, task)
    ]


def start_run(
    executor: tracking.Executor,
    task: workflow_state.Task,
    *,
    start_requested_at: float = -10.0,
    load: float = 0.0,
) -> workflow_state.Run:
    """Return a run that works on an executor since ``start_requested_at``."""
    run = workflow_state.Run(
        task,
        1,
        executor.listing.executor_id,
        start_requested_at,
        phase=workflow_state.WORKING,
        load=load,
        percent=100 if task.step.long_running else 50,
    )
    task.run = run
    executor.reserve(run)
    return run


@dataclasses.dataclass(slots=True)
class Visits:
    """How many executors and runs a pass has looked at."""

    executors: int = 0
    runs: int = 0


class _CountedDict(dict[str, Any]):
    """Counts each value, item or key that an iteration yields."""

    def __init__(
        self, items: dict[str, Any], note_visit: Callable[[], None], /
    ) -> None:
        super().__init__(items)
        self._note_visit = note_visit

    def _counted(self, entries: Iterable[Any]) -> Iterator[Any]:
        for entry in entries:
            self._note_visit()
            yield entry

    def __iter__(self) -> Iterator[str]:
        return self._counted(super().__iter__())

    def values(self) -> Iterator[Any]:
        return self._counted(super().values())

    def items(self) -> Iterator[Any]:
        return self._counted(super().items())


def count_visits(shard: state.Shard, patch: pytest.MonkeyPatch) -> Visits:
    """Count from now on which executors are checked and which runs read.

    The counts are taken where the data are used, so they hold for any
    implementation of a pass.
    """
    visits = Visits()

    def note_executor() -> None:
        visits.executors += 1

    def note_run() -> None:
        visits.runs += 1

    for executor in shard.executor_by_id.values():
        executor.run_by_task = _CountedDict(executor.run_by_task, note_run)
    for name in ("fits", "fits_when_idle"):
        patch.setattr(
            tracking.Executor,
            name,
            _noting_calls(getattr(tracking.Executor, name), note_executor),
        )
    return visits


def _noting_calls(
    method: Callable[..., bool], note_call: Callable[[], None]
) -> Callable[..., bool]:
    def noting(executor: tracking.Executor, step: messages.Step) -> bool:
        note_call()
        return method(executor, step)

    return noting


def copy_step(step: messages.Step, **changes: Any) -> messages.Step:
    """Return a copy of a step with some fields changed."""
    return dataclasses.replace(step, **changes)


class JournaledShard:
    """A shard with a journal in a store, and the tasks that it has spawned."""

    def __init__(self, *, executors=1):
        self.loop = virtual_time.Loop()
        asyncio.set_event_loop(self.loop)
        self.shard = make_shard(self.loop, executors=executors)
        self.client = RecordingClient()
        self.shard.executor_client = self.client
        self.store = keyed_store.Store()
        self.store_client = keyed_store.Client(self.store)
        self.shard.journal = journal.Journal(
            self.store_client, 0, self.shard.epoch, self.shard.clock
        )
        self.errors = []
        self._tasks = []
        self.shard.spawn = self._spawn
        self.shard.spawn(self.shard.journal.run())

    def _spawn(self, coroutine):
        async def guarded():
            try:
                await coroutine
            except Exception as error:
                self.errors.append(type(error))

        self._tasks.append(self.loop.create_task(guarded()))

    def close(self):
        """Cancel the tasks and close the loop."""
        for task in self._tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*self._tasks, return_exceptions=True)
        )
        asyncio.set_event_loop(None)
        self.loop.close()

    def advance(self, seconds):
        """Advance virtual time and run what is due."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def claim_elsewhere(self):
        """Let another instance claim the shard."""
        self.store.append(
            names.PROGRESS_TOPIC,
            0,
            [store_messages.Entry(names.OWNER_KEY, b"{}")],
            store_messages.Writer(names.WRITER, self.shard.epoch + 1, 0),
            None,
        )


def make_job_api(scene):
    """Return the operations of the instance that owns the shard of a scene."""
    return job_api.JobApi(
        store=scene.store_client,
        peers=None,
        server=types.SimpleNamespace(shard_by_number={0: scene.shard}),
        owner_by_shard={},
        claimed_shards={0},
        member="m0",
        shard_count=1,
        clock=scene.shard.clock,
    )


class PolledShard(JournaledShard):
    """A journaled shard whose executors are polled.

    The client leaves the calls in ``unanswered``, pairs of the call and the
    executor's id, without an answer and an effect.
    """

    def __init__(self, *, executors=1):
        super().__init__(executors=executors)
        self.client = self.shard.executor_client = SelectiveClient(self.loop)
        for executor_id, executor in self.shard.executor_by_id.items():
            executor.listing.address = "10.0.0.1:7000"
            self.shard.record_state_by_id[executor_id] = state.KEPT
            self.shard.spawn(sessions.run(self.shard, executor))
        self.advance(0.1)

    def executor(self, executor_id):
        """Return an executor by its id."""
        return self.shard.executor_by_id[executor_id]

    def schedule(self):
        """Place waiting tasks from now on."""
        self.shard.spawn(scheduling.run(self.shard))


class SelectiveClient(RecordingClient):
    """Answers the calls to each executor differently.

    ``unanswered`` holds pairs of a call and an executor's id that get no
    answer, ``rows_by_id`` the runs that the replies of an executor list,
    ``starts`` and ``stops`` the executor's id of each such call.
    """

    def __init__(self, loop):
        super().__init__()
        self.unanswered = set()
        self.rows_by_id = {}
        self.starts = []
        self.stops = []
        self._loop = loop

    async def start(self, listing, request, *, timeout_s):
        self.starts.append(listing.executor_id)
        await self._answer("start", listing, timeout_s)
        return executor_messages.StartReply(executor_messages.STARTED)

    async def stop(self, listing, task, run, token, *, timeout_s):
        self.stops.append(listing.executor_id)
        await self._answer("stop", listing, timeout_s)

    async def poll(
        self, listing, *, token, acknowledged, deadline_ms, wait_ms, timeout_s
    ):
        await self._answer("poll", listing, timeout_s)
        await asyncio.sleep(max(wait_ms / 1000, 0.004))
        rows = self.rows_by_id.get(listing.executor_id, [])
        return executor_messages.PollReply(
            int(self._loop.time() * 1000), 1, list(rows), []
        )

    async def _answer(self, call, listing, timeout_s):
        if (call, listing.executor_id) in self.unanswered:
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("no answer")
