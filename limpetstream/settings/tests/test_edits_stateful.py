"""Compares racing edits with a naive model that copies all nodes."""

import copy

import msgspec
from hypothesis import settings, stateful, strategies as st

from limpetstream.settings import changes, edits, tree
from limpetstream.settings.tests import builders

PATHS = [f"/g{number}" for number in range(3)]
LEAVES = [f"{path}/{name}" for path in PATHS for name in ("a", "b")]


class RacingEdits(stateful.RuleBasedStateMachine):
    """Two views apply the same log; one of them restarts from snapshots."""

    def __init__(self) -> None:
        super().__init__()
        self.views = [builders.make_view() for _ in range(2)]
        self.void_reasons: list[str | None] = []
        self.views[0][0].listeners.append(
            lambda entry, apply_result: self.void_reasons.append(
                apply_result.void_reason
            )
        )
        self.offset, self.sequence = 0, 0
        self.lines: list[str] = []
        # The naive model: a copy of all nodes for each version.
        self.copies: dict[int, dict[str, tree.Node]] = {0: tree.Tree().node_by_path}

    def append(self, found: list[changes.SettingsEdit]) -> None:
        self.offset += 1
        self.lines = []
        for each in found:
            self.sequence += 1
            self.lines.append(builders.line(each, "e1", self.sequence))
        del self.void_reasons[:]
        for view, _ in self.views:
            view.apply_frame(self.offset, self.lines)
        for each, reason in zip(found, self.void_reasons, strict=True):
            self.expect(each, reason)

    def expect(self, edit: changes.SettingsEdit, reason: str | None) -> None:
        """Check the result of an edit against the copies of all versions."""
        latest = max(self.copies)
        now = self.copies[latest]
        changed_since = {
            path
            for version, nodes in self.copies.items()
            if version > edit.base_version
            for path in self.touched[version]
        }
        conflict = any(each.path in changed_since for each in edit.changes)
        if conflict or reason:
            assert conflict == (reason or "").startswith("conflict"), reason
            return
        after = copy.deepcopy(now)
        for each in edit.changes:
            if each.remove:
                del after[each.path]
                continue
            node = after.setdefault(each.path, tree.Node(each.path, each.kind))
            for key in each.unset:
                del node.values[key]
            node.values.update(each.set)
        self.copies[self.offset] = after
        paths = {each.path for each in edit.changes}
        self.touched[self.offset] = self.touched.get(self.offset, set()) | paths

    @stateful.initialize()
    def seed(self) -> None:
        self.touched: dict[int, set[str]] = {0: set()}
        found = [changes.Change(path, kind="group") for path in PATHS]
        self.append([builders.edit(0, *found)])

    @stateful.rule(data=st.data(), count=st.integers(1, 3))
    def edit(self, data: st.DataObject, count: int) -> None:
        """Append a frame of edits that are based on older versions."""
        found = []
        for _ in range(count):
            base = data.draw(st.sampled_from(sorted(self.copies)[-4:]))
            nodes = self.copies[base]
            paths = data.draw(
                st.lists(st.sampled_from(PATHS + LEAVES), min_size=1, max_size=3)
            )
            found.append(
                builders.edit(base, *(self.change(data, path, nodes) for path in paths))
            )
        self.append(found)

    def change(
        self, data: st.DataObject, path: str, nodes: dict[str, tree.Node]
    ) -> changes.Change:
        if path not in nodes:
            kind = "team" if path in LEAVES else "group"
            return changes.Change(path, kind=kind)
        if data.draw(st.integers(0, 3)) == 0:
            return changes.Change(path, remove=True)
        if "weight" in nodes[path].values and data.draw(st.booleans()):
            return changes.Change(path, unset=["weight"])
        return changes.Change(path, {"weight": data.draw(st.integers(-1, 9))})

    @stateful.rule(data=st.data())
    def undo(self, data: st.DataObject) -> None:
        history = self.views[0][1].history
        version = data.draw(st.sampled_from([each.version for each in history.entries]))
        matching = sum(each.version == version for each in history.entries)
        if matching == 1:
            self.append([history.make_undo(version, author="ada", reason="undo")])

    @stateful.rule()
    def repeat_last_frame(self) -> None:
        """Have the last frame in the log twice, as after a lost answer."""
        self.offset += 1
        for view, _ in self.views:
            view.apply_frame(self.offset, self.lines)

    @stateful.rule()
    def restart_second(self) -> None:
        """Replace the second view by one that loads a snapshot."""
        dumped = msgspec.json.encode(list(self.views[1][1].dump()))
        view, state = builders.make_view()
        state.load(msgspec.json.decode(dumped))
        view.sequence_by_writer.update(self.views[1][0].sequence_by_writer)
        self.views[1] = view, state

    @stateful.invariant()
    def views_equal_the_copies(self) -> None:
        latest = max(self.copies)
        for _, state in self.views:
            assert state.tree.node_by_path == self.copies[latest]
            assert state.tree.version == latest
        first, second = (list(state.dump()) for _, state in self.views)
        assert first == second

    @stateful.invariant()
    def history_leads_back_to_every_copy(self) -> None:
        history: edits.SettingsState = self.views[1][1]
        for version, nodes in self.copies.items():
            assert history.history.nodes_at(version) == nodes


TestRacingEdits = RacingEdits.TestCase
TestRacingEdits.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
