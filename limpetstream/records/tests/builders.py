"""Test helpers: an in-memory log with faults, and pauses of members."""

import asyncio
import contextvars
import dataclasses
import random
from collections.abc import Callable
from typing import Any

from limpetstream import clock, errors
from limpetstream.records import budget, committer, follower, registry, view
from standins import virtual_time

STREAM = "control"
MEMBER: contextvars.ContextVar[str | None] = contextvars.ContextVar(
    "member", default=None
)


class PausableLoop(virtual_time.Loop):
    """Event loop in virtual time that can pause the callbacks of a member.

    The context variable ``MEMBER`` of a task names the member it belongs to.
    """

    def __init__(self) -> None:
        super().__init__()
        self.waiting_by_member: dict[str, list[Callable[[], None]]] = {}

    def call_soon(self, callback, *args, context=None):
        """Schedule a callback; it waits while its member is paused."""
        context = context or contextvars.copy_context()
        gated = self._gated(callback, args, context)
        gated.handle = super().call_soon(gated, context=context)
        return gated.handle

    def call_at(self, when, callback, *args, context=None):
        """Schedule a timer; it waits while its member is paused."""
        context = context or contextvars.copy_context()
        gated = self._gated(callback, args, context)
        gated.handle = super().call_at(when, gated, context=context)
        return gated.handle

    def _gated(self, callback, args, context):
        return _Gated(self, callback, args, context.get(MEMBER))

    def pause(self, member: str) -> None:
        """Stop running the callbacks of a member; time still passes."""
        self.waiting_by_member.setdefault(member, [])

    def resume(self, member: str) -> None:
        """Run the callbacks that waited during the pause, in order."""
        for waiting in self.waiting_by_member.pop(member, []):
            self.call_soon(waiting.run, context=waiting.context)


@dataclasses.dataclass(slots=True, eq=False)
class _Gated:
    loop: PausableLoop
    callback: Callable[..., Any]
    args: tuple[Any, ...]
    member: str | None
    handle: Any = None
    context: Any = None

    def __call__(self) -> None:
        if self.member is not None and self.member in self.loop.waiting_by_member:
            self.context = contextvars.copy_context()
            self.loop.waiting_by_member[self.member].append(self)
        else:
            self.callback(*self.args)

    def run(self) -> None:
        if not self.handle.cancelled():
            self.callback(*self.args)


@dataclasses.dataclass(slots=True)
class Frame:
    """One frame, as in ``platform.messages``."""

    offset: int
    records: list[str]


@dataclasses.dataclass(slots=True)
class Page:
    """One answer to a read, as in ``platform.messages``."""

    first: int
    next: int
    end: int
    frames: list[Frame]


@dataclasses.dataclass(slots=True)
class MemoryLog:
    """Streams in memory.

    Args:
        frames_by_stream: Frames that have not expired.
        first_by_stream: Oldest offset that has not expired.
        appends: Number of appends to all streams.
        bytes_by_stream: Bytes appended to each stream.
        changed: Set, and replaced, at every append.
    """

    frames_by_stream: dict[str, list[Frame]] = dataclasses.field(default_factory=dict)
    first_by_stream: dict[str, int] = dataclasses.field(default_factory=dict)
    appends: int = 0
    bytes_by_stream: dict[str, int] = dataclasses.field(default_factory=dict)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def end(self, stream: str) -> int:
        """Return the next offset of a stream."""
        kept = self.frames_by_stream.get(stream, [])
        return self.first_by_stream.get(stream, 0) + len(kept)

    def append_now(self, stream: str, lines: list[str]) -> int:
        """Append one frame at once and return its offset."""
        offset = self.end(stream)
        self.frames_by_stream.setdefault(stream, []).append(Frame(offset, list(lines)))
        self.appends += 1
        size = sum(map(len, lines))
        self.bytes_by_stream[stream] = self.bytes_by_stream.get(stream, 0) + size
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset

    def expire(self, stream: str, first: int) -> None:
        """Expire the frames before ``first``."""
        old = self.first_by_stream.get(stream, 0)
        first = min(max(first, old), self.end(stream))
        self.frames_by_stream[stream] = self.frames_by_stream.get(stream, [])[
            first - old :
        ]
        self.first_by_stream[stream] = first

    def page(self, stream: str, start: int, max_frames: int) -> Page:
        """Return frames from ``start`` on."""
        first, end = self.first_by_stream.get(stream, 0), self.end(stream)
        if start < first:
            raise errors.OffsetExpired(first)
        frames = self.frames_by_stream.get(stream, [])[start - first :][:max_frames]
        following = frames[-1].offset + 1 if frames else min(start, end)
        return Page(first, following, end, frames)


@dataclasses.dataclass(slots=True)
class FaultyLogClient:
    """Log client of one member, with its own faults.

    Args:
        log: The log itself.
        random: Source of the delays and faults.
        down: Whether the log is unreachable.
        appends_down: Whether only appends fail.
        lost_answer_share: Share of the appends whose answer is lost.
        late_share: Share of the appends that fail first and take effect later,
            after at most ``late_s``.
        late_s: Longest time until a late append takes effect, in seconds.
        delay_s: Longest delay in one direction, in seconds.
        read_delay_s: Additional delay of every answer to a read, in seconds.
        max_frames: Maximum number of frames in one answer.
    """

    log: MemoryLog
    random: random.Random
    down: bool = False
    appends_down: bool = False
    lost_answer_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 3.0
    delay_s: float = 0.005
    read_delay_s: float = 0.0
    max_frames: int = 500

    async def append(self, stream: str, lines: list[str]) -> int:
        """Append as ``platform.log.Log`` does."""
        await asyncio.sleep(self.random.random() * self.delay_s)
        if self.down or self.appends_down:
            raise errors.LogUnavailable("down")
        if self.random.random() < self.late_share:
            asyncio.get_running_loop().call_later(
                self.random.random() * self.late_s,
                self.log.append_now,
                stream,
                list(lines),
                context=contextvars.Context(),
            )
            raise errors.LogUnavailable("timed out")
        offset = self.log.append_now(stream, lines)
        await asyncio.sleep(self.random.random() * self.delay_s)
        if self.random.random() < self.lost_answer_share:
            raise errors.LogUnavailable("answer lost")
        return offset

    async def read(self, stream, start, *, max_frames=500, wait_ms=0) -> Page:
        """Read as ``platform.log.Log`` does."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_ms / 1000
        await asyncio.sleep(self.random.random() * self.delay_s)
        while True:
            if self.down:
                raise errors.LogUnavailable("down")
            page = self.log.page(stream, start, min(max_frames, self.max_frames))
            left = deadline - loop.time()
            if page.frames or left <= 1e-6:
                break
            try:
                async with asyncio.timeout(left):
                    await self.log.changed.wait()
            except TimeoutError:
                pass
        await asyncio.sleep(self.random.random() * self.delay_s + self.read_delay_s)
        if self.down:
            raise errors.LogUnavailable("down")
        return page


@dataclasses.dataclass(slots=True)
class Note:
    """Body of ``note``, the record kind of these tests."""

    text: str


@dataclasses.dataclass(slots=True)
class Notes:
    """State of these tests: the texts of all notes in log order."""

    texts: list[str] = dataclasses.field(default_factory=list)

    def apply(self, entry: view.Entry) -> str | None:
        """Apply a note; one with the text ``void`` is void."""
        if entry.body.text == "void":
            return "void text"
        self.texts.append(entry.body.text)
        return None


def make_view(notes: Notes) -> view.View:
    """Return a view that applies notes; nobody holds a right in it."""
    types = registry.Registry()
    types.register("note", 1, Note)
    new_view = view.View(types, lambda resource, writer, epoch: False)
    new_view.register_applier("note", notes.apply)
    return new_view


async def no_restart(first: int) -> None:
    """Fail: this test expects no offset to expire."""
    raise AssertionError(f"unexpected restart at {first}")


@dataclasses.dataclass(slots=True)
class Node:
    """Follower and committer of one process."""

    client: FaultyLogClient
    notes: Notes
    view: view.View
    clock: clock.Clock
    budget: budget.AppendBudget
    committer: committer.Committer
    follower: follower.Follower

    def start(self) -> list[asyncio.Task[None]]:
        """Start the committer and the follower."""
        runs = (self.committer.run(), self.follower.run())
        return [asyncio.ensure_future(run) for run in runs]


def make_node(log: MemoryLog, writer: str, *, restart=no_restart) -> Node:
    """Return a process on the running event loop."""
    source = random.Random(writer)
    time = virtual_time.make_clock(asyncio.get_running_loop())
    client = FaultyLogClient(log, source)
    notes = Notes()
    new_view = make_view(notes)
    append_budget = budget.AppendBudget(time)
    return Node(
        client,
        notes,
        new_view,
        time,
        append_budget,
        committer.Committer(
            client, STREAM, new_view, writer, time, source, append_budget
        ),
        follower.Follower(client, STREAM, new_view, time, source, restart),
    )
