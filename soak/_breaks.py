"""Broken connections to the store, and refusals that follow them.

A connection can break after the store has done an append of a job and before
its answer. Whatever the store answers to later calls says nothing about it.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Iterator

from tornado import httputil

from adapter import store
from limpetstream.border import simple_server
from limpetstream.shard import names

React = Callable[[httputil.HTTPServerRequest], None]


@dataclasses.dataclass(slots=True, eq=False)
class Refusal:
    """Calls that the store refuses.

    Args:
        instances: Names of the instances that are refused.
        status: Status of the answers.
    """

    instances: frozenset[str]
    status: int


class StoreGate:
    """Passes calls of instances on to the store, or refuses them."""

    def __init__(self) -> None:
        self._refusals: list[Refusal] = []
        self._reaction_by_instances: dict[frozenset[str], React] = {}

    @contextlib.contextmanager
    def refusing(self, refusal: Refusal) -> Iterator[None]:
        """Refuse calls while the context is open."""
        self._refusals.append(refusal)
        try:
            yield
        finally:
            self._refusals.remove(refusal)

    async def wait_for_append(
        self, instances: frozenset[str], react: React, *, timeout_s: float
    ) -> bool:
        """Wait until the store has done an append of a job, before its answer.

        Args:
            instances: Names of the instances whose appends count.
            react: Called with the request at once.
            timeout_s: Time limit.

        Returns:
            Whether there was such an append in time.
        """
        done = asyncio.Event()

        def react_once(request: httputil.HTTPServerRequest) -> None:
            del self._reaction_by_instances[instances]
            react(request)
            done.set()

        if instances in self._reaction_by_instances:
            return False  # Another fault waits for the same.
        self._reaction_by_instances[instances] = react_once
        try:
            async with asyncio.timeout(timeout_s):
                await done.wait()
        except TimeoutError:
            self._reaction_by_instances.pop(instances, None)
        return done.is_set()

    async def answer(
        self,
        instance: str,
        request: httputil.HTTPServerRequest,
        answer: simple_server.Responder,
    ) -> simple_server.Response:
        """Answer a call of an instance.

        Args:
            instance: Name of the instance.
            request: The call.
            answer: Returns the store's answer.
        """
        for refusal in self._refusals:
            if instance in refusal.instances:
                return simple_server.Response(refusal.status)
        response = await answer(request)
        if response.status == 200 and _is_append_of_job(request):
            for instances, react in list(self._reaction_by_instances.items()):
                if instance in instances:
                    react(request)
        return response


def _is_append_of_job(request: httputil.HTTPServerRequest) -> bool:
    topics = request.arguments.get("topic", [])
    return request.path == store.APPEND_PATH and topics == [
        names.SUBMISSIONS_TOPIC.encode()
    ]
