"""Tests of edits over the log: races, inheritance, undo and snapshots."""

import msgspec
import pytest

from limpetstream.settings import changes, edits, findings, seed, tree
from limpetstream.settings.tests import builders

Change = changes.Change


def apply_edits(
    *found: changes.SettingsEdit,
) -> tuple[edits.SettingsState, list[str | None]]:
    view, state = builders.make_view()
    reasons: list[str | None] = []
    view.listeners.append(
        lambda entry, apply_result: reasons.append(apply_result.void_reason)
    )
    for number, each in enumerate((seed.make_edit(builders.small_tree()), *found)):
        view.apply_frame(10 + number, [builders.line(each, "e1", number + 1)])
    return state, reasons[1:]


def test_children_inherit_and_name_the_origin():
    """Guards against an effective value without its origin."""
    state, _ = apply_edits()
    values = state.tree.effective_values("/teams/counter")
    assert values["quota_cores"] == tree.EffectiveValue(10.0, "/teams")
    assert values["weight"] == tree.EffectiveValue(1.0, tree.DEFAULT_ORIGIN)
    own = state.tree.effective_values("/teams/workshop")["quota_cores"]
    assert own == tree.EffectiveValue(20.0, "/teams/workshop")
    assert state.tree.team("counter").quota_cores == 10
    assert "quota_cores" not in state.tree.effective_values("/services/quotes")


def test_the_tree_object_stays_and_its_content_changes():
    """Guards against look-ups that return values of an old version."""
    state, _ = apply_edits()
    before = state.tree
    assert before.caller_by_key("a" * 64)[0] == "till"
    removal = builders.edit(state.tree.version, Change("/callers/till", remove=True))
    assert apply_edits(removal)[1] == [None]
    view, other = builders.make_view()
    kept = other.tree
    other.load(state.dump())
    assert kept is other.tree and kept.team("workshop").quota_cores == 20
    with pytest.raises(KeyError):
        kept.team("till")


def test_the_first_of_two_racing_edits_wins():
    """Guards against an edit that reverts one its author had not seen."""
    first = builders.edit(10, Change("/teams", {"quota_cores": 11.0}))
    second = builders.edit(10, Change("/teams", {"quota_cores": 12.0}))
    unrelated = builders.edit(10, Change("/services", {"slots": 9}))
    state, reasons = apply_edits(first, second, unrelated)
    assert reasons[0] is None and reasons[2] is None
    assert reasons[1].startswith("conflict: /teams was changed by version 11")
    assert state.tree.team("counter").quota_cores == 11
    assert state.tree.version == 13


def test_edits_that_only_break_a_rule_together_do_not_both_count():
    """Guards against a caller that refers to a concurrently removed team."""
    remove = builders.edit(10, Change("/teams/workshop", remove=True))
    refer = builders.edit(10, Change("/callers/till", {"team": "workshop"}))
    assert apply_edits(remove, refer)[1][1].startswith("invalid: /callers/till.team")
    assert apply_edits(refer, remove)[1][1].startswith("invalid: /callers/till.team")


@pytest.mark.parametrize(
    ("found", "part"),
    [
        ([], "changes nothing"),
        ([Change("/teams/none", {"weight": 1})], "a new node needs a kind"),
        ([Change("/teams/counter", kind="team")], "exists already"),
        ([Change("/", remove=True)], "cannot be removed"),
        ([Change("/teams", remove=True)], "parent /teams does not exist"),
        ([Change("teams/x", kind="team")], "starts with '/'"),
        ([Change("/teams/", kind="team")], "not a valid name"),
        ([Change("/teams", unset=["weight"])], "does not set weight"),
        ([Change("/teams/counter/x", kind="team")], "is not a group"),
        ([Change("/teams/x", remove=True)], "does not exist"),
        ([Change("/teams", remove=True, kind="team")], "no other change"),
        ([Change("/teams", {"borrow": False})] * 2, "twice"),
        ([Change("/callers", {"key_sha256": ["b" * 64]})], "on a group"),
        ([Change("/callers/t2", {"key_sha256": ["a" * 64]}, [], "caller")], "same key"),
        ([Change("/jobs", kind="job")], "must name its team"),
        ([Change("/services", {"slots": 80})], "inherited from /services"),
    ],
)
def test_invalid_edits_are_void_and_change_nothing(found, part):
    """Guards against a void edit that is partly applied."""
    wrong = builders.edit(10, *found)
    state, reasons = apply_edits(wrong)
    assert part in reasons[0]
    assert state.tree.version == 10
    assert state.tree.node_by_path == builders.small_tree()
    with pytest.raises(ExceptionGroup) as raised:
        state.check(wrong)
    assert any(part in str(each) for each in findings.flatten(raised.value))


def test_a_second_seed_is_void():
    """Guards against a seed that overwrites existing settings."""
    assert "conflict" in apply_edits(seed.make_edit(builders.small_tree()))[1][0]


def test_undo_is_a_new_edit_and_conflicts_with_later_ones():
    """Guards against an undo that silently reverts later edits too."""
    first = builders.edit(
        10,
        Change("/teams", {"quota_cores": 11.0, "weight": 2.0}),
        Change("/teams/new", kind="team"),
        Change("/callers/till", remove=True),
    )
    state, _ = apply_edits(first)
    undo = state.history.make_undo(11, author="ada", reason="wrong")
    undone, reasons = apply_edits(first, undo)
    assert reasons == [None, None]
    assert undone.tree.node_by_path == builders.small_tree()
    changed = {(each.path, each.key) for each in undone.history.differences(10, 11)}
    assert ("/teams", "weight") in changed and ("/teams/new", "kind") in changed
    assert undone.history.differences(10, 12) == []
    later = builders.edit(11, Change("/teams", {"weight": 3.0}))
    assert "conflict" in apply_edits(first, later, undo)[1][2]
    back = apply_edits(first, later)[0].history.make_restore(
        10, author="ada", reason="back"
    )
    assert apply_edits(first, later, back)[0].tree.node_by_path == builders.small_tree()
    with pytest.raises(KeyError):
        undone.history.make_undo(99, author="ada", reason="none")


def test_old_removed_paths_are_forgotten_without_a_lost_conflict(monkeypatch):
    """Guards against unbounded memory, and against edits of old versions."""
    monkeypatch.setattr(edits, "MAX_REMOVED_PATHS", 4)
    found = []
    for number in range(8):
        path = f"/teams/t{number}"
        found.append(builders.edit(10 + 2 * number, Change(path, kind="team")))
        found.append(builders.edit(11 + 2 * number, Change(path, remove=True)))
    late = builders.edit(10, Change("/teams/t0", kind="team"))
    state, reasons = apply_edits(*found, late)
    assert len(state.last_version_by_path) <= len(state.tree.node_by_path) + 4
    assert reasons[:-1] == [None] * 16
    assert "conflict" in reasons[-1]


def test_rules_broken_by_an_older_version_do_not_block_other_edits(monkeypatch):
    """Guards against a new rule that makes every edit void."""
    state, _ = apply_edits()
    nodes = builders.small_tree()
    nodes["/teams"].values["old_key"] = 1
    objects = [["head", 10, -1, 0]]
    objects += [["node", each.path, each.kind, each.values] for each in nodes.values()]
    state.load(msgspec.json.decode(msgspec.json.encode(objects)))
    assert state.findings(builders.edit(10, Change("/services", {"slots": 9}))) == []
    wrong = builders.edit(10, Change("/teams", {"other_key": 1}))
    assert len(state.findings(wrong)) == 1
