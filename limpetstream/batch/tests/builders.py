"""Builders of test data for the batch package."""

import dataclasses

import msgspec

from limpetstream.batch import jobs, messages, quotas
from limpetstream.records import codec, registry, view
from limpetstream.settings import schema


@dataclasses.dataclass(slots=True)
class Tree:
    """Fake of the settings tree (section 3.4) over plain dictionaries."""

    team_by_name: dict = dataclasses.field(default_factory=dict)
    data_centre_by_name: dict = dataclasses.field(default_factory=dict)
    service_by_name: dict = dataclasses.field(default_factory=dict)
    work_by_name: dict = dataclasses.field(default_factory=dict)
    caller_by_hash: dict = dataclasses.field(default_factory=dict)
    version: int = 0

    def team(self, name: str) -> schema.Team:
        return self.team_by_name[name]

    def data_centre(self, name: str) -> schema.DataCentre:
        return self.data_centre_by_name[name]

    def service(self, name: str) -> schema.Service:
        return self.service_by_name[name]

    def work(self, name: str) -> schema.Work:
        return self.work_by_name[name][1]

    def names(self, kind: str) -> list[str]:
        if kind in ("job", "watcher"):
            return [n for n, (k, _) in self.work_by_name.items() if k == kind]
        return sorted(
            {
                "team": self.team_by_name,
                "data-centre": self.data_centre_by_name,
                "service": self.service_by_name,
            }.get(kind, {})
        )

    def caller_by_key(self, sha256: str):
        return self.caller_by_hash.get(sha256)


def tree(*, teams=("red", "blue"), data_centres=("a", "b"), quota=-1.0) -> Tree:
    """Return a tree with some teams and data centres, all in service."""
    return Tree(
        team_by_name={name: schema.Team(quota_cores=quota) for name in teams},
        data_centre_by_name={
            name: schema.DataCentre(region="north") for name in data_centres
        },
    )


@dataclasses.dataclass(slots=True)
class RecordLog:
    """Writes records to a view with batch state.

    Any writer holds every resource, unless ``holds_right`` says otherwise.
    """

    tree: Tree
    jobs: jobs.Jobs
    view: view.View
    apply_results: list = dataclasses.field(default_factory=list)
    held: dict = dataclasses.field(default_factory=dict)
    sequence: int = 0

    def write(self, kind, body, *, writer="e1", resource=None, epoch=0):
        """Apply one record in a frame of its own; return why it is void."""
        self.sequence += 1
        line = codec.encode(
            codec.Envelope(
                k=kind,
                v=1,
                w=writer,
                n=self.sequence,
                b=msgspec.to_builtins(body),
                r=resource,
                e=epoch,
            )
        )
        self.view.apply_frame(self.view.next_offset, [line])
        return self.apply_results[-1].void_reason

    def submit(self, name="j1", *, tasks=1, cores=1.0, **options):
        options = {"team": "red", "work_class": "plan", "at_ms": 1000} | options
        group = messages.TaskGroup(tasks, cores, options.pop("memory_gb", 1.0))
        group.accelerators = options.pop("accelerators", 0)
        body = messages.JobSubmit(name, "shop", name, "hash", tasks=[group], **options)
        return self.write("job.submit", body)

    def place(self, task, attempt=1, worker="w1", *, data_centre="a", at_ms=1000):
        body = messages.TaskPlace([messages.Placement(task, attempt, worker)], at_ms)
        return self.write(
            "task.place", body, resource=jobs.resource_of(data_centre), epoch=7
        )

    def end(self, task, attempt=1, outcome="evicted", *, data_centre="a", **options):
        at_ms = options.pop("at_ms", 1000)
        body = messages.TaskEnd(
            [messages.End(task, attempt, outcome, **options)], at_ms
        )
        return self.write(
            "task.end", body, resource=jobs.resource_of(data_centre), epoch=7
        )

    def cancel(self, job="j1", *, at_ms=1000):
        return self.write("job.cancel", messages.JobCancel(job, "no use", at_ms))


def record_log(settings: Tree | None = None, *, holds_right=None) -> RecordLog:
    """Return a log with empty batch state."""
    settings = settings or tree()
    state = jobs.Jobs(settings, quotas.Quotas(settings))
    read = registry.Registry()
    always = lambda resource, writer, epoch: True  # noqa: E731
    batch_view = view.View(read, holds_right or always)
    state.register(batch_view, read)
    log = RecordLog(settings, state, batch_view)
    batch_view.listeners.append(
        lambda entry, apply_result: log.apply_results.append(apply_result)
    )
    return log
