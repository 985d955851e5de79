"""Simulates the link of an instance on virtual time: a rate and a queue.

All calls of an instance share the queue of each direction. What a call has put
into the queue stays there when the call is given up, and takes effect late, as
with data that a closed connection has already handed over.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from limpetstream import errors
from limpetstream.executors import messages

HEAD_BYTES = 250
ROW_BYTES = 60  # Of a run or an end in the answer to a poll.


@dataclasses.dataclass(slots=True)
class Direction:
    """One direction of a link.

    Args:
        bytes_per_s: Rate.
        delay_s: Time on the way, without the queue.
        max_queue_s: A message that would wait longer is dropped.
        free_at: Loop time at which all that was queued has been sent.
        sent_bytes: Bytes that were accepted.
        dropped: Messages that were dropped.
    """

    bytes_per_s: float
    delay_s: float = 0.003
    max_queue_s: float = 2.0
    free_at: float = 0.0
    sent_bytes: int = 0
    dropped: int = 0

    async def carry(self, size: int) -> None:
        """Return once a message has arrived; never for one that is dropped."""
        now = asyncio.get_running_loop().time()
        begins_at = max(now, self.free_at)
        if begins_at - now > self.max_queue_s:
            self.dropped += 1
            await asyncio.get_running_loop().create_future()
        self.sent_bytes += size
        self.free_at = begins_at + size / self.bytes_per_s
        await asyncio.sleep(self.free_at - now + self.delay_s)


@dataclasses.dataclass(slots=True)
class Link:
    """Both directions of the link of one instance.

    Args:
        up: From the instance.
        down: To the instance.
    """

    up: Direction
    down: Direction


class LinkedClient:
    """Client of executors whose calls go through a link.

    Args:
        client: Client to call once a request has arrived.
        link: Link of the instance.
    """

    def __init__(self, client: messages.ExecutorClient, link: Link) -> None:
        self._client = client
        self._link = link
        self._carried: set[asyncio.Task[Any]] = set()

    async def start(
        self,
        listing: messages.Listing,
        request: messages.StartRequest,
        *,
        timeout_s: float,
    ) -> messages.StartReply:
        """Start one run."""
        return await self._carry(
            HEAD_BYTES + len(request.spec),
            lambda: self._client.start(listing, request, timeout_s=timeout_s),
            timeout_s,
        )

    async def stop(
        self,
        listing: messages.Listing,
        task: str,
        run: int,
        token: int,
        *,
        timeout_s: float,
    ) -> None:
        """Stop one run."""
        await self._carry(
            HEAD_BYTES,
            lambda: self._client.stop(listing, task, run, token, timeout_s=timeout_s),
            timeout_s,
        )

    async def poll(
        self, listing: messages.Listing, *, timeout_s: float, **values: Any
    ) -> messages.PollReply:
        """Extend the lease and return the status."""
        return await self._carry(
            HEAD_BYTES,
            lambda: self._client.poll(listing, timeout_s=timeout_s, **values),
            timeout_s,
        )

    async def pace(
        self,
        listing: messages.Listing,
        task: str,
        run: int,
        percent: int,
        token: int,
        *,
        timeout_s: float,
    ) -> None:
        """Set how fast one run may work."""
        await self._carry(
            HEAD_BYTES,
            lambda: self._client.pace(
                listing, task, run, percent, token, timeout_s=timeout_s
            ),
            timeout_s,
        )

    async def _carry(
        self, size: int, call: Callable[[], Awaitable[Any]], timeout_s: float
    ) -> Any:
        """Carry a request and its answer; give up after the time limit.

        Raises:
            PlatformUnavailable: No answer in time.
        """
        task = asyncio.create_task(self._exchange(size, call))
        self._carried.add(task)
        task.add_done_callback(self._forget)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(task)
        except TimeoutError:
            raise errors.PlatformUnavailable("no answer in time") from None

    async def _exchange(self, size: int, call: Callable[[], Awaitable[Any]]) -> Any:
        await self._link.up.carry(size)
        reply = await call()
        rows = 0
        if isinstance(reply, messages.PollReply):
            rows = len(reply.running) + len(reply.ended)
        await self._link.down.carry(HEAD_BYTES + ROW_BYTES * rows)
        return reply

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._carried.discard(task)
        if not task.cancelled():
            task.exception()  # Marks it as retrieved; the call was given up.


@contextlib.asynccontextmanager
async def narrowed(link: Link, bytes_per_s: float) -> AsyncIterator[None]:
    """Let both directions of a link have another rate within the block."""
    before = link.up.bytes_per_s, link.down.bytes_per_s
    link.up.bytes_per_s = link.down.bytes_per_s = bytes_per_s
    try:
        yield
    finally:
        link.up.bytes_per_s, link.down.bytes_per_s = before
