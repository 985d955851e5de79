"""Cuts of the network that let messages pass in one direction only.

The instances share the relay before an executor, so a relay can not cut off
one of them alone. The servers of store and executors therefore hold requests
and answers back themselves, by who has sent them.
"""

import asyncio
import contextlib
import dataclasses
import socket
import weakref
from collections.abc import Iterator

from tornado import httputil

from limpetstream.border import simple_server


@dataclasses.dataclass(slots=True, eq=False)
class Cut:
    """One cut between some instances and executors and everything else.

    Args:
        inside: Names of the instances and executors on one side.
        is_inward: Whether what is sent to this side is held back; otherwise
            what this side sends.
        began_at: Loop time at which it began.
    """

    inside: frozenset[str]
    is_inward: bool
    began_at: float

    def holds(self, source: str, target: str) -> bool:
        """Return whether a message is held back."""
        sender, receiver = (target, source) if self.is_inward else (source, target)
        return sender in self.inside and receiver not in self.inside


class Network:
    """All cuts of one run."""

    def __init__(self) -> None:
        self.cuts: list[Cut] = []
        self._cut_ended = asyncio.Event()
        self._opened_at_by_context: weakref.WeakKeyDictionary[object, float] = (
            weakref.WeakKeyDictionary()
        )

    @contextlib.contextmanager
    def cut(self, inside: frozenset[str], *, is_inward: bool) -> Iterator[None]:
        """Hold messages back while the context is open."""
        cut = Cut(inside, is_inward, asyncio.get_running_loop().time())
        self.cuts.append(cut)
        try:
            yield
        finally:
            self.cuts.remove(cut)
            self._cut_ended.set()
            self._cut_ended = asyncio.Event()

    async def deliver(
        self,
        source: str,
        target: str,
        request: httputil.HTTPServerRequest,
        answer: simple_server.Responder,
    ) -> simple_server.Response:
        """Answer a request, as late as the cuts allow.

        A request on an open connection arrives after the cut, even if its
        sender has given up or the target has restarted. A connection can not
        be opened while one direction is cut; its request arrives only if the
        sender still waits for it.

        Args:
            source: Sender of the request.
            target: Receiver.
            request: The request.
            answer: Returns the receiver's answer.
        """
        context = request.connection.context
        opened_at = self._opened_at_by_context.setdefault(
            context, asyncio.get_running_loop().time()
        )
        while self._is_new_connection_held(source, target, opened_at):
            await self._cut_ended.wait()
            if _has_given_up(request):
                return simple_server.Response(503)
        await self._wait_until_passed(source, target)
        response = await answer(request)
        await self._wait_until_passed(target, source)
        return response

    def _is_new_connection_held(
        self, source: str, target: str, opened_at: float
    ) -> bool:
        return any(
            opened_at >= cut.began_at
            and (cut.holds(source, target) or cut.holds(target, source))
            for cut in self.cuts
        )

    async def _wait_until_passed(self, source: str, target: str) -> None:
        while any(cut.holds(source, target) for cut in self.cuts):
            await self._cut_ended.wait()


def _has_given_up(request: httputil.HTTPServerRequest) -> bool:
    """Return whether the sender of a request has closed its connection.

    The event loop may not have seen that yet, so the socket is asked too.
    """
    stream = request.connection.stream
    if stream.closed():
        return True
    try:
        return not stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True  # The connection was reset.
