"""Tests that settings files report all findings with their lines."""

import pathlib

import pytest

from limpetstream.settings import check, files, findings, reader


def found_in(text: str | bytes) -> list[str]:
    content = text.encode() if isinstance(text, str) else text
    try:
        files.parse(content, "f").collector.raise_all()
    except ExceptionGroup as group:
        return findings.format_lines(findings.flatten(group))
    return []


TREE = """{
  // A tree with many mistakes.
  "children": {
    "services": {
      "values": {"slots": 80, "timout_ms": 5},
      "children": {
        "quotes": {"kind": "service", "values": {
          "slots": "8",
          "objective_share": 1.5,
          "connections": NaN,
          "slots": 9
        }},
        "tickets": {"kind": "service", "values": {"connections": 70}}
      }
    },
    "teams": {"children": {
      "counter": {"kind": "team"},
      "more": {"children": {"counter": {"kind": "team"}}}
    }},
    "callers": {"children": {
      "till": {"kind": "caller", "values": {
        "team": "conter", "services": ["quotes", "none"]}},
      "x y": {"kind": "callr", "vals": 1}
    }}
  }
}"""


def test_all_findings_of_a_tree_are_reported_at_once():
    """Guards against a check that stops at the first finding."""
    found = found_in(TREE)
    expected = [
        "f:5: children.services.values.timout_ms: unknown key for a group; did you "
        "mean 'timeout_ms'?",
        "f:8: children.services.children.quotes.values.slots: expected a whole number, "
        'got "8"',
        "f:9: children.services.children.quotes.values.objective_share: 1.5 is out of "
        "range; expected 0 to 1",
        "f:10: children.services.children.quotes.values.connections: expected a finite "
        "number",
        "f:11: children.services.children.quotes.values.slots: duplicate key; first "
        "set at line 8",
        "f:13: children.services.children.tickets.values.connections: slots 80 "
        "(inherited from /services) is greater than connections 70",
        "f:18: children.teams.children.more.children.counter: team 'counter' exists "
        "already as /teams/counter",
        "f:22: children.callers.children.till.values.services: unknown service 'none'",
        "f:22: children.callers.children.till.values.team: unknown team 'conter'; did "
        "you mean 'counter'?",
        "f:23: children.callers.children.x y: 'x y' is not a valid name",
        "f:23: children.callers.children.x y: unknown kind 'callr'; did you mean "
        "'caller'?",
        "f:23: children.callers.children.x y.vals: unknown key of a node; did you mean "
        "'values'?",
    ]
    assert [each for each in expected if each not in found] == []
    assert len(found) == len(expected) + 1  # the 0 that replaces NaN is out of range


def test_all_findings_of_an_instance_file_are_reported_at_once():
    """Guards against an instance that starts with invalid settings."""
    found = found_in(
        '{"id": "e1", "platform_url": "ftp://x", "peer_keys": ["short"],\n'
        '"host": "localhost", "caller_port": 99999, "tls": {"key": 1},\n'
        '"limits": {"conections": 5}, "data_centre": "north", "peer_port": 8}'
    )
    assert found == [
        "f:2: caller_port: 99999 is out of range; expected 0 to 65535",
        "f:2: tls.certificate: is missing",
        "f:2: tls.key: expected a string, got 1",
        "f:3: limits.conections: unknown key; did you mean 'connections'?",
    ]
    found = found_in(
        '{"id": "e1", "platform_url": "ftp://x", "peer_keys": ["short"],\n'
        '"host": "localhost", "data_centre": "north", "peer_port": 8080}'
    )
    assert found == [
        "f:1: peer_keys.0: is shorter than 16 characters",
        "f:1: platform_url: expected a URL with http:// or https://",
        "f:2: host: 'localhost' is not an IP address",
        "f:2: peer_port: is the same as caller_port",
    ]


@pytest.mark.parametrize(
    ("content", "line", "part"),
    [
        ('{\n"children": {\n', 3, "not valid JSON"),
        ('{"children":\n ]}', 2, "not valid JSON"),
        ("", 1, "not valid JSON"),
        ("\n[" * 33, 34, "nested deeper than 32"),
        ('{"a": ' * 40_000, 1, "nested deeper"),
        (b"\n\xff\xfe", 2, "UTF-8"),
        (b" " * (reader.MAX_BYTES + 1), 1, "larger than"),
        ("[1]", 1, "expected an object"),
        ('{"a": 1}', 1, "neither a settings tree"),
        ('{"children": 1e999}', 1, "expected a finite number"),
        ('{"children": {"a": [] }, "kind": 7}', 1, "expected an object"),
    ],
)
def test_bad_files_are_findings_with_a_line(content, line, part):
    """Guards against a traceback or a finding without its line."""
    found = found_in(content)
    assert any(each.startswith(f"f:{line}: ") and part in each for each in found), found


def test_brackets_in_texts_and_comments_do_not_count_as_nesting():
    """Guards against a valid file that is rejected for its comments."""
    text = "// " + "[" * 50 + '\n{"children": {}, /* ' + "{" * 50 + "*/}"
    assert found_in(text) == []


def test_exit_status_tells_unreadable_from_findings(tmp_path, capsys):
    """Guards against scripts that take an unreadable file for a clean one."""
    clean, wrong = tmp_path / "clean.jsonc", tmp_path / "wrong.jsonc"
    clean.write_text('{"children": {}}')
    wrong.write_text('{"children": {"A": {}}}')
    absent = tmp_path / "absent.jsonc"
    for paths, status in (
        ([clean], check.EXIT_CLEAN),
        ([clean, wrong], check.EXIT_FINDINGS),
        ([clean, absent], check.EXIT_UNREADABLE),
        ([tmp_path], check.EXIT_UNREADABLE),
        ([], check.EXIT_UNREADABLE),
    ):
        with pytest.raises(SystemExit) as ended:
            check.command(*map(str, paths))
        assert ended.value.code == status
    assert f"{wrong}:1: children.A:" in capsys.readouterr().out


def test_an_instance_is_checked_against_the_tree(tmp_path):
    """Guards against an instance in a data centre that does not exist."""
    tree, instance = tmp_path / "tree.jsonc", tmp_path / "entry.jsonc"
    tree.write_text('{"children": {"north": {"kind": "data-centre"}}}')
    instance.write_text(
        '{"id": "e1", "platform_url": "http://[::1]:1", "data_centre": "nort",'
        '"peer_keys": ["0123456789abcdef"]}'
    )
    status, found = check.check([tree, instance])
    assert status == check.EXIT_FINDINGS
    assert found == [
        f"{instance}:1: data_centre: unknown data centre 'nort'; did you mean 'north'?"
    ]
    assert check.check([instance]) == (check.EXIT_CLEAN, [])
    with pytest.raises(ExceptionGroup):
        files.read_tree(pathlib.Path(instance))
    with pytest.raises(ExceptionGroup):
        files.read_instance(pathlib.Path(tree))
