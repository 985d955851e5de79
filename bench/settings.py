"""Checks concurrent settings edits under restarts, outages and log expiry.

It runs on virtual time over a log in memory. Every instance must keep each
accepted edit whole, and each edit must be in force everywhere within 5 s while
the log is up.
"""

import asyncio
import dataclasses
import random
import time
from typing import Any

import msgspec

from bench import result
from limpetstream import errors
from limpetstream.records import view as views
from limpetstream.settings import changes, edits, seed, tree
from limpetstream.settings.tests import builders
from standins import virtual_time

EDITS, OPERATORS, INSTANCES = 1300, 100, 7
TEAMS, DATA_CENTRES, CALLERS = 72, 25, 100
MAX_PROPAGATION_S = 5.0
DURATION_S = 3600.0
# Start and length of each log outage, in seconds.
OUTAGES = ((900.0, 60.0), (2000.0, 240.0))
STREAM = "control"


@dataclasses.dataclass(slots=True)
class AcceptedEdit:
    """An edit that was confirmed to its operator."""

    version: int
    accepted_at: float
    edit: changes.SettingsEdit


@dataclasses.dataclass(slots=True, eq=False)
class Instance:
    """One instance: its view, and when each version came into force."""

    name: str
    view: views.View
    state: edits.SettingsState
    started_at: float
    stopped_at: float = float("inf")
    sequence: int = 0
    at_by_version: dict[int, float] = dataclasses.field(default_factory=dict)
    apply_result_by_sequence: dict[int, views.ApplyResult] = dataclasses.field(
        default_factory=dict
    )
    task: asyncio.Task[None] | None = None


@dataclasses.dataclass(slots=True)
class Simulation:
    """Instances and operators of the simulation, and what was observed."""

    random: random.Random
    loop: virtual_time.Loop
    log: builders.MemoryLog = dataclasses.field(default_factory=builders.MemoryLog)
    live: list[Instance] = dataclasses.field(default_factory=list)
    stopped: list[Instance] = dataclasses.field(default_factory=list)
    snapshot: tuple[int, bytes, dict[str, int]] | None = None
    accepted: list[AcceptedEdit] = dataclasses.field(default_factory=list)
    outages: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    expected_nodes_by_version: dict[int, dict[str, tree.Node]] = dataclasses.field(
        default_factory=lambda: {0: tree.Tree().node_by_path}
    )
    torn_reads: int = 0
    version_regressions: int = 0
    tree_reads: int = 0
    conflict_count: int = 0
    refused_count: int = 0
    unknown_count: int = 0
    lost_answer_count: int = 0
    first_kept_offset: int = 0

    def start(self) -> Instance:
        """Start an instance from the last snapshot, if there is one."""
        view, state = builders.make_view()
        name = f"e{len(self.live) + len(self.stopped) + 1}"
        instance = Instance(name, view, state, self.loop.time())
        if self.snapshot is not None:
            next_offset, content, sequences = self.snapshot
            state.load(msgspec.json.decode(content))
            view.sequence_by_writer.update(sequences)
            view.next_offset = next_offset

        def record_result(entry: views.Entry, apply_result: views.ApplyResult) -> None:
            if entry.writer == name:
                instance.apply_result_by_sequence[entry.sequence] = apply_result
            if apply_result.void_reason is None:
                instance.at_by_version[apply_result.offset] = self.loop.time()
                self.add_expected_nodes(entry)

        view.listeners.append(record_result)
        instance.task = asyncio.ensure_future(self.follow(instance))
        self.live.append(instance)
        return instance

    def add_expected_nodes(self, entry: views.Entry) -> None:
        """Compute the nodes of a new version, independently of the product."""
        if entry.offset in self.expected_nodes_by_version:
            return
        nodes = dict(
            self.expected_nodes_by_version[max(self.expected_nodes_by_version)]
        )
        for each in entry.body.changes:
            old_node = nodes.get(each.path)
            values = {**(old_node.values if old_node else {}), **each.set}
            remaining_values = {k: v for k, v in values.items() if k not in each.unset}
            kind = old_node.kind if old_node else each.kind or "group"
            nodes[each.path] = tree.Node(each.path, kind, remaining_values)
        self.expected_nodes_by_version[entry.offset] = nodes

    async def follow(self, instance: Instance) -> None:
        """Apply the log, with the delay of a link between data centres."""
        while True:
            await asyncio.sleep(self.random.uniform(0.02, 0.25))
            try:
                page = await self.log.read(STREAM, instance.view.next_offset)
            except errors.LogUnavailable:
                continue
            for frame in page.frames:
                instance.view.apply_frame(frame.offset, frame.records)

    async def append(
        self, instance: Instance, edit: changes.SettingsEdit
    ) -> views.ApplyResult:
        """Append an edit and wait for its read-back, as the committer does.

        Raises:
            LogUnavailable: The edit was not read back within 5 s.
        """
        instance.sequence += 1
        sequence = instance.sequence
        line = builders.line(edit, instance.name, sequence)
        deadline = self.loop.time() + 5.0
        sent = False
        while self.loop.time() < deadline and instance in self.live:
            apply_result = instance.apply_result_by_sequence.get(sequence)
            if apply_result is not None:
                return apply_result
            if not sent:
                await asyncio.sleep(self.random.uniform(0.003, 0.02))
                try:
                    await self.log.append(STREAM, [line])
                    sent = True
                except errors.LogUnavailable:
                    await asyncio.sleep(0.2)
            await asyncio.sleep(0.02)
        raise errors.LogUnavailable("edit not read back within 5 s")

    async def operator(self, operator_number: int) -> None:
        """Make one operator's share of the edits, one after the other."""
        for edit_number in range(EDITS // OPERATORS):
            await asyncio.sleep(self.random.expovariate(1 / 200.0))
            while not await self.try_edit(operator_number, edit_number):
                await asyncio.sleep(self.random.uniform(0.1, 2.0))

    async def try_edit(self, operator_number: int, edit_number: int) -> bool:
        instance = self.random.choice(self.live)
        edit = self.make_edit(instance, operator_number, edit_number)
        if self.random.random() < 0.05:
            self.log.lose_answers += 1
            self.lost_answer_count += 1
        if instance.state.findings(edit):
            self.refused_count += 1
            return False
        try:
            apply_result = await self.append(instance, edit)
        except errors.LogUnavailable:
            # The outcome is unknown; the operator reads the tree and retries.
            self.unknown_count += 1
            return False
        if apply_result.void_reason is not None:
            self.conflict_count += 1
            return False
        self.accepted.append(AcceptedEdit(apply_result.offset, self.loop.time(), edit))
        return True

    def make_edit(
        self, instance: Instance, operator_number: int, edit_number: int
    ) -> changes.SettingsEdit:
        """Return an edit that sets one weight on 1 to 4 teams.

        Half of the edits choose among six teams only, so that edits conflict.
        """
        on_hot_nodes = self.random.random() < 0.5
        teams = [f"/teams/t{n}" for n in range(6 if on_hot_nodes else TEAMS)]
        chosen_paths = self.random.sample(teams, self.random.randint(1, 4))
        edit_changes = [
            changes.Change(each, {"weight": operator_number + edit_number / 100})
            for each in chosen_paths
        ]
        if self.random.random() < 0.2:
            data_centre = self.random.randrange(DATA_CENTRES)
            state = self.random.choice(["in", "out"])
            edit_changes.append(
                changes.Change(f"/data-centres/d{data_centre}", {"state": state})
            )
        base_version = instance.state.tree.version
        return changes.SettingsEdit(
            base_version, edit_changes, f"op{operator_number}", f"turn {edit_number}"
        )

    async def compare_trees(self) -> None:
        """Compare every instance's tree with the expected one each second."""
        version_by_name: dict[str, int] = {}
        while True:
            await asyncio.sleep(1.0)
            for each in self.live:
                version = each.state.tree.version
                self.tree_reads += 1
                self.version_regressions += version < version_by_name.get(each.name, 0)
                version_by_name[each.name] = version
                nodes = each.state.tree.node_by_path
                self.torn_reads += nodes != self.expected_nodes_by_version[version]

    async def replace_instances(self) -> None:
        """Replace instances, take snapshots and expire the log, repeatedly."""
        while True:
            await asyncio.sleep(self.random.uniform(20.0, 60.0))
            instance = self.random.choice(self.live)
            self.kill(instance)
            await asyncio.sleep(self.random.uniform(0.0, 5.0))
            self.start()
            if not self.log.down and self.random.random() < 0.5:
                self.take_snapshot()

    def kill(self, instance: Instance) -> None:
        """Kill an instance, which loses everything in its memory."""
        assert instance.task is not None
        instance.task.cancel()
        instance.stopped_at = self.loop.time()
        self.live.remove(instance)
        self.stopped.append(instance)

    def take_snapshot(self) -> None:
        """Take a snapshot of one instance and expire the records it covers."""
        each = self.random.choice(self.live)
        next_offset = each.view.next_offset
        content = msgspec.json.encode(list(each.state.dump()))
        self.snapshot = (next_offset, content, dict(each.view.sequence_by_writer))
        # Readers that lag behind must still find their frames.
        slowest = min(each.view.next_offset for each in self.live)
        first = min(next_offset, slowest)
        self.first_kept_offset = max(self.first_kept_offset, first)
        self.log.expire(STREAM, first)

    async def outage(self, start: float, length: float) -> None:
        """Take the log down for a while."""
        await asyncio.sleep(start)
        self.log.down = True
        await asyncio.sleep(length)
        self.log.down = False
        self.outages.append((start, start + length))

    async def main(self) -> None:
        """Make all edits, then let all instances read the rest of the log."""
        await self.log.append(STREAM, ["not a record"])
        for _ in range(INSTANCES):
            self.start()
        first = self.live[0]
        edit = seed.make_edit(target_tree())
        assert (await self.append(first, edit)).void_reason is None
        await asyncio.sleep(2.0)
        background_tasks = [
            asyncio.ensure_future(each) for each in self.background_tasks()
        ]
        await asyncio.gather(*(self.operator(n) for n in range(OPERATORS)))
        for each in background_tasks:
            each.cancel()
        self.log.down = False
        await asyncio.sleep(5.0)

    def background_tasks(self) -> list[Any]:
        """Return the checks and disturbances that run beside the operators."""
        outages = [self.outage(start, length) for start, length in OUTAGES]
        return [self.compare_trees(), self.replace_instances(), *outages]

    def propagation_delays(self) -> list[float]:
        """Return how long each accepted edit took to reach each instance.

        The times are in seconds. Pairs of an edit and an instance are left out
        if an outage, a start or a stop of the instance falls into that time.
        """
        delays_s = []
        for each in self.accepted:
            if any(
                s - MAX_PROPAGATION_S <= each.accepted_at <= e for s, e in self.outages
            ):
                continue
            for instance in self.live + self.stopped:
                started_before = instance.started_at < each.accepted_at - 1.0
                if (
                    started_before
                    and each.accepted_at + MAX_PROPAGATION_S < instance.stopped_at
                ):
                    at = instance.at_by_version.get(each.version, float("inf"))
                    delays_s.append(at - each.accepted_at)
        return delays_s


def target_tree() -> dict[str, tree.Node]:
    """Return the nodes of a settings tree of the target size."""
    nodes = [tree.Node(path, "group", {}) for path in ("/", "/teams", "/callers")]
    nodes.append(tree.Node("/data-centres", "group", {"region": "north"}))
    nodes += [tree.Node(f"/teams/t{n}", "team", {}) for n in range(TEAMS)]
    nodes += [
        tree.Node(f"/data-centres/d{n}", "data-centre", {"state": "in"})
        for n in range(DATA_CENTRES)
    ]
    nodes += [
        tree.Node(f"/callers/c{n}", "caller", {"team": f"t{n % TEAMS}"})
        for n in range(CALLERS)
    ]
    return {node.path: node for node in nodes}


def _count_lost(run: Simulation) -> int:
    """Count accepted edits that are missing in the history of an instance."""
    lost = 0
    for instance in run.live:
        by_version = {each.version: each for each in instance.state.history.entries}
        for each in run.accepted:
            applied = by_version.get(each.version)
            if applied is None or applied.edit != each.edit:
                lost += 1
    return lost


def _count_reverted(run: Simulation) -> int:
    """Count values that were lost although no later edit changed them."""
    last_values: dict[tuple[str, str], Any] = {}
    for applied in run.live[0].state.history.entries:
        for change in applied.edit.changes:
            for key, value in change.set.items():
                last_values[change.path, key] = value
    return sum(
        instance.state.tree.node_by_path[path].values.get(key) != value
        for instance in run.live
        for (path, key), value in last_values.items()
    )


def run(seed: int) -> result.Result:
    """Run the measurement."""
    loop = virtual_time.Loop()
    simulation = Simulation(random.Random(seed), loop)
    started = time.perf_counter()
    virtual_time.run(simulation.main(), loop=loop)
    elapsed_s = time.perf_counter() - started
    propagation_delays = sorted(simulation.propagation_delays())
    lost, reverted = _count_lost(simulation), _count_reverted(simulation)
    figures: dict[str, object] = {
        "accepted edits": len(simulation.accepted),
        "void by conflict": simulation.conflict_count,
        "refused before the append": simulation.refused_count,
        "outcome unknown to the operator": simulation.unknown_count,
        "lost append answers": simulation.lost_answer_count,
        "instances started": len(simulation.live) + len(simulation.stopped),
        "frames expired": simulation.first_kept_offset,
        "tree samples compared": simulation.tree_reads,
        "pairs of edit and instance": len(propagation_delays),
        "in force, median s": round(
            propagation_delays[len(propagation_delays) // 2], 3
        ),
        "in force, p99 s": round(
            propagation_delays[int(len(propagation_delays) * 0.99)], 3
        ),
        "in force, greatest s": round(propagation_delays[-1], 3),
        "virtual s": round(loop.time(), 1),
        "process s": round(elapsed_s, 1),
    }
    return result.Result(
        "settings",
        seed,
        figures,
        {
            f"{EDITS} edits accepted": len(simulation.accepted) == EDITS,
            "0 lost": lost == 0,
            "0 reverted": reverted == 0 and simulation.version_regressions == 0,
            "0 torn": simulation.torn_reads == 0,
            f"in force within {MAX_PROPAGATION_S} s everywhere": propagation_delays[-1]
            <= MAX_PROPAGATION_S,
        },
    )
