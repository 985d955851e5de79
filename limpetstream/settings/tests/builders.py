"""Test helpers of settings, and an in-memory log for simulations."""

import dataclasses
from typing import Any

import msgspec

from limpetstream import errors
from limpetstream.records import codec, registry, view as views
from limpetstream.settings import changes, edits, tree


@dataclasses.dataclass(slots=True)
class Frame:
    """Frame as the platform's client returns it."""

    offset: int
    records: list[str]


@dataclasses.dataclass(slots=True)
class Page:
    """Result of a read of the log."""

    first: int
    next: int
    end: int
    frames: list[Frame]


@dataclasses.dataclass(slots=True)
class MemoryLog:
    """Log in memory with outages, lost answers and expiry."""

    frames_by_stream: dict[str, list[Frame]] = dataclasses.field(default_factory=dict)
    first_by_stream: dict[str, int] = dataclasses.field(default_factory=dict)
    down: bool = False
    lose_answers: int = 0
    appended_bytes: int = 0
    appends: int = 0

    async def append(self, stream: str, lines: list[str]) -> int:
        if self.down:
            raise errors.LogUnavailable("outage")
        frames = self.frames_by_stream.setdefault(stream, [])
        offset = self.first_by_stream.get(stream, 0) + len(frames)
        frames.append(Frame(offset, list(lines)))
        self.appended_bytes += sum(map(len, lines))
        self.appends += 1
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.LogUnavailable("the answer was lost")
        return offset

    async def read(
        self, stream: str, start: int, *, max_frames: int = 500, wait_ms: int = 0
    ) -> Page:
        if self.down:
            raise errors.LogUnavailable("outage")
        frames = self.frames_by_stream.get(stream, [])
        first = self.first_by_stream.get(stream, 0)
        if start < first:
            raise errors.OffsetExpired(first)
        found = frames[start - first : start - first + max_frames]
        return Page(first, start + len(found), first + len(frames), found)

    def expire(self, stream: str, first: int) -> None:
        """Drop all frames before an offset."""
        before = self.first_by_stream.get(stream, 0)
        if first > before:
            del self.frames_by_stream[stream][: first - before]
            self.first_by_stream[stream] = first


def make_view() -> tuple[views.View, edits.SettingsState]:
    """Return a view that applies settings edits, and the state they build."""
    types = registry.Registry()
    view = views.View(registry=types, holds_right=lambda *_: True)
    return view, edits.register(view, types, log_edits=False)


def line(edit: changes.SettingsEdit, writer: str, sequence: int) -> str:
    """Return an edit as an encoded record of the log."""
    body = msgspec.to_builtins(edit)
    envelope = codec.Envelope(
        k=edits.EDIT_KIND, v=edits.VERSION, w=writer, n=sequence, b=body
    )
    return codec.encode(envelope)


def edit(
    base: int, *found: changes.Change, author: str = "ada", reason: str = "test"
) -> changes.SettingsEdit:
    return changes.SettingsEdit(base, list(found), author, reason)


def small_tree() -> dict[str, tree.Node]:
    """Return a tree with one node of most kinds."""
    nodes: list[tuple[str, str, dict[str, Any]]] = [
        ("/", "group", {}),
        ("/services", "group", {"slots": 8}),
        ("/services/quotes", "service", {"timeout_ms": 1500}),
        ("/teams", "group", {"quota_cores": 10.0}),
        ("/teams/counter", "team", {}),
        ("/teams/workshop", "team", {"quota_cores": 20.0}),
        ("/data-centres", "group", {}),
        ("/data-centres/north", "data-centre", {}),
        ("/callers", "group", {}),
        ("/callers/till", "caller", {"team": "counter", "key_sha256": ["a" * 64]}),
    ]
    return {path: tree.Node(path, kind, values) for path, kind, values in nodes}
