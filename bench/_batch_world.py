"""A small world of entry instances and workers on virtual time."""

import asyncio
import dataclasses
import random
from typing import Any

from bench import _entry_instance, _platform_fakes, _worker_client
from limpetstream import errors
from limpetstream.batch import jobs, messages
from limpetstream.records import codec
from limpetstream.settings import schema
from standins import virtual_time


@dataclasses.dataclass(slots=True)
class SettingsTree:
    """Settings tree of section 3.4 over plain dictionaries."""

    team_by_name: dict[str, schema.Team]
    data_centre_by_name: dict[str, schema.DataCentre]
    service_by_name: dict[str, schema.Service] = dataclasses.field(default_factory=dict)
    work_by_name: dict[str, tuple[str, schema.Work]] = dataclasses.field(
        default_factory=dict
    )
    version: int = 0

    def team(self, name: str) -> schema.Team:
        """Return a team."""
        return self.team_by_name[name]

    def data_centre(self, name: str) -> schema.DataCentre:
        """Return a data centre."""
        return self.data_centre_by_name[name]

    def service(self, name: str) -> schema.Service:
        """Return a desk service."""
        return self.service_by_name[name]

    def work(self, name: str) -> schema.Work:
        """Return a watcher or job."""
        return self.work_by_name[name][1]

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind."""
        if kind in ("job", "watcher"):
            return [name for name, (one, _) in self.work_by_name.items() if one == kind]
        by_kind: dict[str, Any] = {
            "team": self.team_by_name,
            "data-centre": self.data_centre_by_name,
            "service": self.service_by_name,
        }
        return sorted(by_kind.get(kind, {}))


@dataclasses.dataclass(slots=True)
class World:
    """All fakes of one run."""

    random: random.Random
    loop: virtual_time.Loop
    log: _platform_fakes.Log
    tree: SettingsTree
    directory: _platform_fakes.Directory
    monitor: _platform_fakes.InvariantMonitor
    worker_by_id: dict[str, _platform_fakes.Worker] = dataclasses.field(
        default_factory=dict
    )
    entry_by_id: dict[str, _entry_instance.EntryInstance] = dataclasses.field(
        default_factory=dict
    )
    stall_probability: float = 0.0
    lost_answer_probability: float = 0.0
    read_usage_samples: Any = None
    edit_count: int = 0
    last_edit_offset_by_data_centre: dict[str, int] = dataclasses.field(
        default_factory=dict
    )

    def add_worker(
        self,
        name: str,
        data_centre: str,
        rack: str,
        *,
        cores: float = 8.0,
        memory_gb: float = 64.0,
        accelerators: int = 0,
        service: str = "",
    ) -> _platform_fakes.Worker:
        """Add a worker, with an executor if a service is named."""
        instance = _platform_fakes.Instance(
            name,
            "worker",
            "127.0.0.1:1",
            data_centre,
            rack,
            cores=cores,
            memory_gb=memory_gb,
            accelerators=accelerators,
        )
        size = (cores, memory_gb, accelerators)
        self.directory.by_id[name] = instance
        if service:
            self.directory.by_id[f"x-{name}"] = _platform_fakes.Instance(
                f"x-{name}",
                "backend",
                "127.0.0.1:2",
                data_centre,
                rack,
                service=service,
                worker=name,
            )
            reserved = self.tree.service_by_name[service]
            size = (
                cores - reserved.executor_cores,
                memory_gb - reserved.executor_memory_gb,
                accelerators,
            )
        rate = 1.0 + self.random.uniform(-0.009, 0.009)
        made = _platform_fakes.Worker(
            instance, size, self.loop.time, self.monitor, clock_rate=rate
        )
        made.clock_offset_s = self.random.uniform(0.0, 1e6)
        self.worker_by_id[name] = made
        self.directory.version += 1.0
        return made

    def add_entry(self, name: str) -> _entry_instance.EntryInstance:
        """Add an entry instance; it begins at once."""
        rate = 1.0 + self.random.uniform(-0.009, 0.009)
        made = _entry_instance.EntryInstance(
            name,
            self.log,
            dataclasses.replace(
                self.tree, data_centre_by_name=dict(self.tree.data_centre_by_name)
            ),
            virtual_time.make_clock(self.loop, rate=rate),
            self.directory,
            [jobs.resource_of(one) for one in self.tree.data_centre_by_name],
            self.entry_by_id,
        )
        made.client = _worker_client.WorkerClient(
            made,
            self.worker_by_id,
            random.Random(self.random.random()),
            self.monitor,
        )
        made.client.stall_probability = self.stall_probability
        made.client.lost_answer_probability = self.lost_answer_probability
        made.client.read_usage_samples = self.read_usage_samples
        self.entry_by_id[name] = made
        return made

    def start(self) -> None:
        """Let all entry instances begin."""
        for entry in self.entry_by_id.values():
            entry.start()

    def any_running_instance(self) -> _entry_instance.EntryInstance:
        """Return an entry instance that lives and is not paused.

        Raises:
            LogUnavailable: There is none.
        """
        for entry in self.entry_by_id.values():
            if entry.alive and entry.not_paused.is_set() and not entry.cut_off:
                return entry
        raise errors.LogUnavailable("no entry instance")

    async def submit(self, name: str, *, tasks: int = 1, **options: Any) -> None:
        """Submit a job through any entry instance."""
        group = messages.TaskGroup(
            tasks,
            options.pop("cores", 1.0),
            options.pop("memory_gb", 1.0),
            options.pop("accelerators", 0),
            options.pop("run_s", 10.0),
        )
        options = {"team": "red", "work_class": "plan"} | options
        entry = self.any_running_instance()
        body = messages.JobSubmit(
            name,
            "shop",
            name,
            "",
            tasks=[group],
            at_ms=entry.clock.wall_ms(),
            **options,
        )
        await entry.append("job.submit", body)

    async def set_data_centre_state(self, data_centre: str, state: str) -> bool:
        """Take a data centre out or bring it back; False in a log outage."""
        called_at = self.loop.time()
        self.edit_count += 1
        envelope = codec.Envelope(
            k="settings.edit",
            v=1,
            w="operator",
            n=self.edit_count,
            b={"data_centre": data_centre, "state": state},
        )
        try:
            offset = await self.log.append([codec.encode(envelope)])
        except errors.LogUnavailable:
            # The edit may have taken effect all the same.
            self.monitor.out_since_by_data_centre.pop(data_centre, None)
            return False
        if offset < self.last_edit_offset_by_data_centre.get(data_centre, -1):
            # An edit that comes later in the log was answered first.
            return True
        self.last_edit_offset_by_data_centre[data_centre] = offset
        if state == "out":
            self.monitor.out_since_by_data_centre[data_centre] = called_at
        else:
            self.monitor.out_since_by_data_centre.pop(data_centre, None)
        return True

    async def wait_until(
        self, condition: Any, limit_s: float, step_s: float = 0.25
    ) -> bool:
        """Wait for a condition; False if it did not come in time."""
        end = self.loop.time() + limit_s
        while not condition():
            if self.loop.time() >= end:
                return False
            await asyncio.sleep(step_s)
        return True


def make(
    seed: int,
    loop: virtual_time.Loop,
    *,
    data_centres: tuple[str, ...] = ("a", "b"),
    teams: tuple[str, ...] = ("red", "blue"),
) -> World:
    """Return a world without workers and entry instances."""
    source = random.Random(seed)
    tree = SettingsTree(
        {name: schema.Team() for name in teams},
        {name: schema.DataCentre() for name in data_centres},
    )
    log = _platform_fakes.Log(random.Random(seed + 1))
    directory = _platform_fakes.Directory(loop.time)
    return World(source, loop, log, tree, directory, _platform_fakes.InvariantMonitor())
