"""Executors of the soak test, each behind a link of its own."""

import dataclasses

from emulator import executors
from limpetstream.executors import messages
from standins import keyed_store, link, step_executors

CAPACITY = messages.Capacity(16_000, 64_000, 0)  # 16 cores, 64,000 MB.
MAX_TASK_MILLICORES = 4000  # Largest task that callers submit.
TASK_MEMORY_MB = 50  # Of every task.


@dataclasses.dataclass(slots=True)
class LinkedExecutor:
    """One executor and the link to it.

    Args:
        executor: The executor.
        link: Link to it.
        store: Store that holds the list of executors.
        is_restarting: Whether it has crashed and is not back yet.
    """

    executor: step_executors.Executor
    link: link.Link
    store: keyed_store.Store
    is_restarting: bool = False

    @property
    def executor_id(self) -> str:
        """Id of the executor."""
        return self.executor.listing.executor_id

    def publish(self) -> None:
        """Publish its entry in the list of executors."""
        executors.publish_listing(self.store, self.executor)

    def restart(self) -> None:
        """Restart it, which loses its runs, and publish its entry."""
        self.executor.restart()
        self.publish()

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
