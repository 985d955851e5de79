"""Deployment of entry instances and fake workers on virtual time."""

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
    """Settings tree of section 3.4, held in plain dictionaries."""

    team_by_name: dict[str, schema.Team]
    data_centre_by_name: dict[str, schema.DataCentre]
    service_by_name: dict[str, schema.Service] = dataclasses.field(default_factory=dict)
    work_by_name: dict[str, tuple[str, schema.Work]] = dataclasses.field(
        default_factory=dict
    )
    version: int = 0

    def team(self, name: str) -> schema.Team:
        """Return the settings of a team."""
        return self.team_by_name[name]

    def data_centre(self, name: str) -> schema.DataCentre:
        """Return the settings of a data centre."""
        return self.data_centre_by_name[name]

    def service(self, name: str) -> schema.Service:
        """Return the settings of a desk service."""
        return self.service_by_name[name]

    def work(self, name: str) -> schema.Work:
        """Return the settings of a watcher or job."""
        return self.work_by_name[name][1]

    def names(self, kind: str) -> list[str]:
        """Return the names of all nodes of a kind."""
        if kind in ("job", "watcher"):
            return [
                name for name, (each, _) in self.work_by_name.items() if each == kind
            ]
        by_kind: dict[str, Any] = {
            "team": self.team_by_name,
            "data-centre": self.data_centre_by_name,
            "service": self.service_by_name,
        }
        return sorted(by_kind.get(kind, {}))


@dataclasses.dataclass(slots=True)
class World:
    """Simulated deployment of one run.

    Args:
        random: Source of rates, offsets and faults.
        loop: Event loop with the virtual time.
        log: Fake of the control stream.
        tree: Settings that every new entry instance starts with.
        directory: Instance list.
        monitor: Records breaches of invariants.
        worker_by_id: All workers.
        entry_by_id: All entry instances, also those that have crashed.
        stall_probability: See ``WorkerClient``; for new entry instances.
        lost_answer_probability: See ``WorkerClient``; for new entry instances.
        read_usage_samples: See ``WorkerClient``; for new entry instances.
        edit_count: Number of settings edits so far.
        last_edit_offset_by_data_centre: Offset of the last edit of a data
            centre whose answer arrived.
    """

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
        """Add a worker, and an executor on it if a service is given."""
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
        added = _platform_fakes.Worker(
            instance, size, self.loop.time, self.monitor, clock_rate=rate
        )
        added.clock_offset_s = self.random.uniform(0.0, 1e6)
        self.worker_by_id[name] = added
        self.directory.version += 1.0
        return added

    def add_entry(self, name: str) -> _entry_instance.EntryInstance:
        """Add an entry instance, which the caller has to start."""
        rate = 1.0 + self.random.uniform(-0.009, 0.009)
        added = _entry_instance.EntryInstance(
            name,
            self.log,
            dataclasses.replace(
                self.tree, data_centre_by_name=dict(self.tree.data_centre_by_name)
            ),
            virtual_time.make_clock(self.loop, rate=rate),
            self.directory,
            [jobs.resource_of(each) for each in self.tree.data_centre_by_name],
            self.entry_by_id,
        )
        added.client = _worker_client.WorkerClient(
            added,
            self.worker_by_id,
            random.Random(self.random.random()),
            self.monitor,
        )
        added.client.stall_probability = self.stall_probability
        added.client.lost_answer_probability = self.lost_answer_probability
        added.client.read_usage_samples = self.read_usage_samples
        self.entry_by_id[name] = added
        return added

    def start(self) -> None:
        """Start all entry instances."""
        for entry in self.entry_by_id.values():
            entry.start()

    def any_running_instance(self) -> _entry_instance.EntryInstance:
        """Return an entry instance that is neither dead, paused nor cut off.

        Raises:
            LogUnavailable: There is none.
        """
        for entry in self.entry_by_id.values():
            if entry.alive and entry.not_paused.is_set() and not entry.cut_off:
                return entry
        raise errors.LogUnavailable("no entry instance reaches the log")

    async def submit(self, name: str, *, tasks: int = 1, **options: Any) -> None:
        """Submit a job through any running entry instance.

        Args:
            name: Id of the job and of the request.
            tasks: Number of its tasks.
            **options: Size and run time of each task (``cores``,
                ``memory_gb``, ``accelerators``, ``run_s``) and fields of
                ``JobSubmit``.

        Raises:
            LogUnavailable: The job was not confirmed; it may be stored.
        """
        task_group = messages.TaskGroup(
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
            tasks=[task_group],
            at_ms=entry.clock.wall_ms(),
            **options,
        )
        await entry.append("job.submit", body)

    async def set_data_centre_state(self, data_centre: str, state: str) -> bool:
        """Set a data centre to ``out`` or ``in``.

        Returns:
            False if the edit was not confirmed, as in a log outage.
        """
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
            # The edit may have taken effect although its answer is missing.
            self.monitor.out_since_by_data_centre.pop(data_centre, None)
            return False
        if offset < self.last_edit_offset_by_data_centre.get(data_centre, -1):
            # The answer to an edit further on in the log arrived first.
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
        """Wait until a condition holds.

        Returns:
            Whether it came to hold within ``limit_s`` seconds.
        """
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
    """Return a deployment without workers and entry instances."""
    rng = random.Random(seed)
    tree = SettingsTree(
        {name: schema.Team() for name in teams},
        {name: schema.DataCentre() for name in data_centres},
    )
    log = _platform_fakes.Log(random.Random(seed + 1))
    directory = _platform_fakes.Directory(loop.time)
    return World(rng, loop, log, tree, directory, _platform_fakes.InvariantMonitor())
