"""Executors of the soak test, each behind a link of its own."""

import contextlib
import dataclasses
import random
from collections.abc import Iterator

from emulator import executors
from limpetstream.executors import messages
from soak import _late_calls
from standins import keyed_store, link, step_executors

CAPACITY = messages.Capacity(16_000, 64_000, 0)  # 16 cores, 64,000 MB.
MAX_TASK_MILLICORES = 4000  # Largest task that callers submit.
MAX_CLOCK_START_MS = 300_000  # Above the age of any process of a run.
CLOCK_BACK_SHARE = 0.7
TASK_MEMORY_MB = 50  # Of every task.


def draw_clock_start_ms(choices: random.Random, former_ms: int = 0) -> int:
    """Return what the clock of a process shows as it starts.

    Args:
        choices: Source of random decisions.
        former_ms: What the clock of the process before shows. That of the
            next one goes back in most cases, as then deadlines lie far ahead.
    """
    if former_ms and choices.random() < CLOCK_BACK_SHARE:
        return choices.randrange(former_ms)
    return choices.randrange(MAX_CLOCK_START_MS)


@dataclasses.dataclass(slots=True)
class LinkedExecutor:
    """One executor and the link to it.

    Args:
        executor: The executor.
        link: Link to it.
        store: Store that holds the list of executors.
        late_calls: Carries calls to it out.
        choices: Source of random decisions on its restarts.
        is_restarting: Whether it has crashed and is not back yet, or has left.
        is_leaving: Whether it has left for good, or is about to.
    """

    executor: step_executors.Executor
    link: link.Link
    store: keyed_store.Store
    late_calls: _late_calls.LateCalls
    choices: random.Random
    is_restarting: bool = False
    is_leaving: bool = False

    @property
    def executor_id(self) -> str:
        """Id of the executor."""
        return self.executor.listing.executor_id

    def publish(self) -> None:
        """Publish its entry in the list of executors."""
        executors.publish_listing(self.store, self.executor)

    def crash(self) -> None:
        """End its process and runs; the next one has another clock."""
        former_ms = self.executor.clock_ms()
        start_ms = draw_clock_start_ms(self.choices, former_ms)
        self.executor.restart(clock_start_ms=start_ms)

    def restart(self) -> None:
        """Restart it, which loses its runs, and publish its entry."""
        self.crash()
        self.publish()

    @contextlib.contextmanager
    def down(self) -> Iterator[None]:
        """Count it as crashed and not back yet while the context is open."""
        self.is_restarting = self.late_calls.is_down = True
        try:
            yield
        finally:
            self.is_restarting = self.late_calls.is_down = False

    def announce_departure(self, notice_s: float) -> None:
        """Publish that it is about to leave, in seconds from now."""
        self.executor.listing = dataclasses.replace(
            self.executor.listing,
            state=messages.DRAINING,
            remaining_ms=int(notice_s * 1000),
        )
        self.publish()

    def end(self, *, is_silent: bool) -> None:
        """End it for good, with its runs; its entry stays.

        Args:
            is_silent: Whether its connections fall silent, as without power;
                otherwise they are reset.
        """
        self.is_restarting = True
        if is_silent:
            self.link.pause()
        else:
            self.link.cut()
        # Requests that were held back for it do not arrive either.
        self.executor.restart()
        del self.executor.breaches.advance_by_executor[self.executor_id]

    def unlist(self) -> None:
        """Delete its entry."""
        executors.delete_listing(self.store, self.executor_id)

    def has_room(self, cpu_millicores: int) -> bool:
        """Return whether it is up and ready and has room for a task."""
        if self.is_restarting or self.executor.listing.state != messages.READY:
            return False
        runs = self.executor.run_by_task.values()
        used_millicores = sum(run.cpu for run in runs)
        return (
            used_millicores + cpu_millicores <= CAPACITY.cpu_millicores
            and (len(runs) + 1) * TASK_MEMORY_MB <= CAPACITY.memory_mb
        )
