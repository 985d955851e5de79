"""Starts the processes of the demonstration and balances calls over them.

The processes are the stand-ins of the platform and the backend servers, and
the entry instances.
"""

import asyncio
import dataclasses
import itertools
import json
import pathlib
from collections.abc import Iterator

from demo import http_client, plan
from standins import processes

ENTRY = "limpetstream.entry.program"
ADMIN = "limpetstream.admin.program"
DIRECTORY = "build/demo"
PEER_KEY = "5f0c7a9d1e3b4c688a2f6d9b0e7c4a135d8e2f7b9c1a4e60b3d5f8a7c2e9146b"
READY_POLL_INTERVAL_S = 0.2
START_TIMEOUT_S = 20.0


@dataclasses.dataclass(slots=True)
class Entry:
    """One entry instance.

    Args:
        id: Id, unique in this run.
        data_centre: Its data centre.
        url: Base URL for callers and operators.
        process: Its process.
        is_ready: Whether its last ``/ready`` was answered with 200.
    """

    id: str
    data_centre: str
    url: str
    process: processes.Process
    is_ready: bool = False


class Cluster:
    """All processes, and a round-robin balancer over ready entry instances.

    Args:
        plan: Deployment and jobs of the demonstration.
        group: Starts the processes, and ends them with the demonstration.
        client: Sends HTTP calls.
        seed: Seed of the stand-ins.
        directory: Folder for settings files, relative to the repository's
            root.
    """

    def __init__(
        self,
        *,
        plan: plan.Plan,
        group: processes.ProcessGroup,
        client: http_client.HttpClient,
        seed: int,
        directory: str = DIRECTORY,
    ) -> None:
        self._directory = directory
        self._plan = plan
        self._group = group
        self._client = client
        self._seed = seed
        self._entry_numbers = itertools.count(1)
        self._pick_count = itertools.count()
        self.entry_by_id: dict[str, Entry] = {}
        self.platform_url = ""
        self.backend_url = ""

    async def start_stand_ins(self) -> None:
        """Start the platform and the backend servers."""
        common_flags = ("--layout", self._plan.deployment, "--seed", str(self._seed))
        port = processes.free_port()
        self.platform_url = f"http://127.0.0.1:{port}"
        started = self._group.start(
            "platform", "standins.platform", "--port", str(port), *common_flags
        )
        await started.wait_until_ready(self.platform_url, "/breaches")
        port = processes.free_port()
        self.backend_url = f"http://127.0.0.1:{port}"
        started = self._group.start(
            "backend",
            "standins.backend",
            *("--platform-url", self.platform_url, "--control-port", str(port)),
            *common_flags,
        )
        await started.wait_until_ready(self.backend_url, "/stats")

    async def seed_settings(self) -> None:
        """Write the settings tree to the log with the operators' program.

        Raises:
            ProcessFailed: The program failed.
        """
        arguments = ("--platform", self.platform_url, "--file")
        started = self._group.start(
            "seed", ADMIN, "seed", *arguments, self._plan.settings_file
        )
        if await started.wait_for_exit(timeout_s=START_TIMEOUT_S) != 0:
            raise processes.ProcessFailed(
                f"writing the settings failed: {started.log_tail()}"
            )

    async def start_entry(self, data_centre: str) -> Entry:
        """Start one entry instance and list it; it is not ready yet."""
        number = next(self._entry_numbers)
        entry_id = f"entry-{number}"
        ports = processes.free_port(), processes.free_port()
        settings = {
            "id": entry_id,
            "data_centre": data_centre,
            "platform_url": self.platform_url,
            "peer_keys": [PEER_KEY],
            "host": "127.0.0.1",
            "caller_port": ports[0],
            "peer_port": ports[1],
        }
        path = pathlib.Path(processes.ROOT, self._directory, f"{entry_id}.jsonc")
        path.write_text(
            f"// Written by the demonstration.\n{json.dumps(settings, indent=2)}\n"
        )
        process = self._group.start(entry_id, ENTRY, "--settings", str(path))
        url = f"http://127.0.0.1:{ports[0]}"
        entry = Entry(entry_id, data_centre, url, process)
        self.entry_by_id[entry_id] = entry
        await self.publish_entry_state(entry, "live")
        return entry

    async def publish_entry_state(self, entry: Entry, state: str) -> None:
        """Set the state of an entry instance in the platform's list.

        Args:
            entry: Entry instance.
            state: Its state; ``gone`` removes it from the list.
        """
        listed = {
            "id": entry.id,
            "role": "entry",
            "address": entry.url.removeprefix("http://"),
            "data_centre": entry.data_centre,
            "state": state,
        }
        body = {"instances": [listed]}
        if state == "gone":
            body = {"remove": [entry.id]}
        await self._client.call("POST", f"{self.platform_url}/instances", body=body)

    async def poll_readiness(self) -> None:
        """Poll ``/ready`` of all entry instances until cancelled."""
        while True:
            await asyncio.gather(
                *map(self._update_readiness, list(self.entry_by_id.values()))
            )
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def _update_readiness(self, entry: Entry) -> None:
        try:
            reply = await self._client.call("GET", f"{entry.url}/ready", timeout_s=1.0)
        except (http_client.Refused, http_client.NoReply):
            entry.is_ready = False
        else:
            entry.is_ready = reply.status == 200

    async def wait_ready(self, entries: list[Entry]) -> None:
        """Wait until these entry instances are ready.

        Raises:
            ProcessFailed: One ended, or was not ready in time.
        """
        for entry in entries:
            await entry.process.wait_until_ready(
                entry.url, "/ready", timeout_s=START_TIMEOUT_S
            )
            entry.is_ready = True

    def next_entry(self) -> Entry:
        """Return the next ready entry instance; if none is, the next one."""
        candidates = [entry for entry in self.entry_by_id.values() if entry.is_ready]
        candidates = candidates or list(self.entry_by_id.values())
        return candidates[next(self._pick_count) % len(candidates)]

    def entries_to_try(self, count: int) -> Iterator[Entry]:
        """Yield the entry instances for a call and its retries."""
        for _ in range(count):
            yield self.next_entry()
