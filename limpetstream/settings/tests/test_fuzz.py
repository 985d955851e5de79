"""Tests that arbitrary files and edits give findings and no other errors."""

from hypothesis import given, settings, strategies as st

from limpetstream import errors
from limpetstream.settings import changes, files, findings, tree
from limpetstream.settings.tests import builders

FRAGMENTS = [
    '{"children":',
    '"values":',
    '"kind":"team"',
    '"teams":',
    '"quota_cores":',
    *'{}[],:"/*\\\n',
    "1e5",
    "-NaN",
    "0x1F",
    "'x'",
    "true",
    "null",
    "// c\n",
    "\\u00e9",
    "é",
    "\x00",
]


@given(
    content=st.one_of(
        st.lists(st.sampled_from(FRAGMENTS), max_size=20).map(
            lambda parts: "".join(parts).encode()
        ),
        st.binary(max_size=40),
    )
)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_arbitrary_files_end_in_findings(content):
    """Guards against a traceback for a damaged settings file."""
    try:
        files.parse(content, "f").collector.raise_all()
    except ExceptionGroup as group:
        found = findings.flatten(group)
        assert all(isinstance(each, errors.SettingsError) for each in found)
        assert all(each.line >= 1 for each in found if each.file)


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=5,
)
PATHS = st.sampled_from(["/", "/teams", "/teams/counter", "/callers/till", "/x", ""])


@given(
    path=PATHS | st.text(max_size=8),
    values=st.dictionaries(
        st.sampled_from(["weight", "team", "services", "key_sha256", "slots", "x"]),
        VALUES,
        max_size=3,
    ),
    kind=st.sampled_from(["", "team", "caller", "group", "job", "bogus"]),
)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_arbitrary_edits_are_void_or_sound(path, values, kind):
    """Guards against an edit that makes every reader of the log fail."""
    _, state = builders.make_view()
    state.tree.replace(builders.small_tree(), 1)
    edit = builders.edit(1, changes.Change(path, values, kind=kind))
    found = state.findings(edit)
    assert all(isinstance(each, errors.SettingsError) for each in found)
    if not found:
        nodes = changes.apply_change(edit.changes[0], state.tree.node_by_path.get(path))
        after = tree.Tree()
        after.replace({**state.tree.node_by_path, path: nodes}, 2)
        for each in after.names("caller"):
            after.caller(each)
        for each in after.names("team"):
            after.team(each)
