"""Calls to an executor that are carried out late.

The platform names the executor in a call, not its process: one that is under
way while the executor restarts is carried out by the next process.
"""

import asyncio
import random

import msgspec
from tornado import httputil

from adapter import executors as paths
from emulator import executors, replies
from limpetstream.border import simple_server
from standins import step_executors

DELAY_S = (2.0, 12.0)
LATE_S = 1.0  # No sender waits longer for the first part of an answer.
UP_CHECK_INTERVAL_S = 0.02
ORDER_PATHS = (
    paths.START_PATH,
    paths.STOP_PATH,
    paths.POLL_PATH,
    paths.PACE_PATH,
)


class LateCalls:
    """Carries the calls to one executor out, a share of them seconds later.

    ``share_by_path`` holds that share by the path of the call. Late calls get
    no answer. ``is_down`` tells that no process runs; calls wait for the next
    one.

    Args:
        executor: The executor.
        choices: Source of random decisions.
    """

    def __init__(
        self, executor: step_executors.Executor, choices: random.Random
    ) -> None:
        self.share_by_path: dict[str, float] = {}
        self.is_down = False
        self._executor = executor
        self._choices = choices
        self._handler = executors.ExecutorHandler(executor)
        self._reached_process = self._process()
        self._under_way: set[asyncio.Task[simple_server.Response]] = set()

    async def answer(
        self, request: httputil.HTTPServerRequest, *, sent_at: float
    ) -> simple_server.Response:
        """Carry a call out, at once or late.

        Args:
            request: The call.
            sent_at: Loop time at which it was sent.
        """
        share = self.share_by_path.get(request.path, 0.0)
        if share and self._choices.random() < share:
            delay_s = self._choices.uniform(*DELAY_S)
            task = asyncio.create_task(self._carry_out_later(request, delay_s))
            self._under_way.add(task)
            task.add_done_callback(self._under_way.discard)
            await asyncio.sleep(replies.NO_ANSWER_TIMEOUT_S)
            return simple_server.Response(503)
        is_late = asyncio.get_running_loop().time() - sent_at > LATE_S
        return await self._carry_out(request, is_late=is_late)

    def _process(self) -> int:
        """Return the number of the process that runs now."""
        return self._executor.listing.born_ms

    async def _carry_out_later(
        self, request: httputil.HTTPServerRequest, delay_s: float
    ) -> simple_server.Response:
        await asyncio.sleep(delay_s)
        return await self._carry_out(request, is_late=True)

    async def _carry_out(
        self, request: httputil.HTTPServerRequest, *, is_late: bool
    ) -> simple_server.Response:
        while self.is_down:
            await asyncio.sleep(UP_CHECK_INTERVAL_S)
        executor_id = self._executor.listing.executor_id
        if executor_id not in self._executor.breaches.advance_by_executor:
            return simple_server.Response(503)  # It has ended for good.
        process = self._process()
        if request.path == paths.START_PATH and process != self._reached_process:
            return await self._start_unreached(request)
        response = await self._handler.answer(request, is_late=is_late)
        if request.path == paths.POLL_PATH and response.status == 200 and not is_late:
            self._reached_process = process
        return response

    async def _start_unreached(
        self, request: httputil.HTTPServerRequest
    ) -> simple_server.Response:
        """Carry out a start before any owner has reached this process.

        It was meant for a former one. Design, section 11.3, does not cover it:
        the task may be started again as the lease of that process has expired.
        Such a run breaks no guarantee; everything else is checked as usual.
        """
        executor, breaches = self._executor, self._executor.breaches
        task = msgspec.json.decode(request.body)["task"]
        key = (task, executor.listing.executor_id)
        if task not in executor.run_by_task:
            breaches.uncovered_starts.add(key)
        response = await self._handler.answer(request, is_late=True)
        if task not in executor.run_by_task:
            breaches.uncovered_starts.discard(key)
        return response
