"""Calls that take effect without an answer, for ``transport_draws``.

The clients in memory send each call once. The faults of this module make them
act like the HTTP library on an open connection that breaks before the first
byte of the answer: it sends the call again, if the product lets it, and the
answer to the second copy is all that the sender gets. What a call may do is
asked of the product's own ``_curl.Upload``.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import pycurl

from limpetstream import _curl, errors
from limpetstream.shard import names, peer_messages
from search import fault_world
from standins import keyed_store

World = fault_world.World

BODY = b"{}"
ALL_KINDS = ("store", "cancel", "epoch", "serves", "state", "waiting")
MAX_WAIT_S = 6.0  # A fault whose call does not come is not played.


class _Handle:
    """Takes the options of a call in place of a handle of libcurl."""

    def __init__(self) -> None:
        self.upload = _curl.Upload(BODY)
        self._function_by_option: dict[int, Any] = {}
        self.upload.configure(self)

    def setopt(self, option: int, function: Any) -> None:
        """Keep a function that libcurl would call."""
        self._function_by_option[option] = function

    def send(self) -> None:
        """Send the body, as libcurl does."""
        while self._function_by_option[pycurl.READFUNCTION](len(BODY)):
            pass

    def send_again(self) -> bool:
        """Send the body again unless the call forbids it."""
        seek = self._function_by_option[pycurl.SEEKFUNCTION]
        if seek(0, 0) != pycurl.SEEKFUNC_OK:
            return False
        self.send()
        return True

    def failure(self, text: str, status: int = 0) -> errors.PlatformUnavailable:
        """Return the error of the call, as ``http.Client`` raises it."""
        delivery = errors.Delivery(status, self.upload.copies, 0, True)
        return errors.PlatformUnavailable(
            text, not_applied=delivery.not_applied, delivery=delivery
        )


def break_append(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Break connections to the store after an append, then refuse calls.

    The store refuses the calls of all instances or of some.
    """
    members = list(world.cluster.instance_by_member)
    count = generator.choice([len(members), generator.randint(1, len(members))])
    chosen = generator.sample(members, count)
    topic = generator.choice([names.SUBMISSIONS_TOPIC] * 3 + [names.PROGRESS_TOPIC])
    seconds = generator.uniform(0.3, 8.0)
    ends_at = world.now() + MAX_WAIT_S
    for each in chosen:
        store = world.cluster.instance_by_member[each].store
        store.append = _breaking(world, store, chosen, topic, seconds, ends_at)


def _breaking(
    world: World,
    store: keyed_store.Client,
    members: list[str],
    topic: str,
    seconds: float,
    ends_at: float,
) -> Callable[..., Awaitable[int]]:
    append = store.append
    has_broken = False

    async def breaking(called_topic: str, *arguments: Any, **options: Any) -> int:
        nonlocal has_broken
        is_due = called_topic == topic and world.now() < ends_at
        if has_broken or not is_due:
            return await append(called_topic, *arguments, **options)
        has_broken = True
        handle = _Handle()
        handle.send()
        await append(called_topic, *arguments, **options)
        world.hold(seconds, *[("refused", member) for member in members])
        if not handle.send_again():
            raise handle.failure("the connection broke")
        try:
            return await append(called_topic, *arguments, **options)
        except errors.PlatformUnavailable as error:
            if not error.not_applied:
                raise
            raise handle.failure(str(error), 503) from error

    return breaking


def break_peer_calls(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Break connections between instances after a call took effect.

    At times the store refuses the calls of the receiver from then on. Jobs are
    handed over to others by instances whose own calls it refuses.
    """
    kinds = generator.choice([("store",), ("cancel",), ("epoch", "serves"), ALL_KINDS])
    share = generator.choice([0.3, 1.0])
    refused_s = generator.choice([0.0, generator.uniform(0.3, 8.0)])
    seconds = generator.uniform(0.3, 6.0)
    ends_at = world.now() + seconds
    if "store" in kinds:
        members = list(world.cluster.instance_by_member)
        count = generator.randint(1, max(1, len(members) - 1))
        for each in generator.sample(members, count):
            world.hold(seconds, ("refused", each))
    deliver = world.cluster.deliver_to_peer

    async def breaking(
        receiver: str, request: peer_messages.PeerRequest, *, timeout_s: float
    ) -> peer_messages.PeerReply:
        is_due = request.kind in kinds and world.now() < ends_at
        if not is_due or generator.random() >= share:
            return await deliver(receiver, request, timeout_s=timeout_s)
        handle = _Handle()
        handle.send()
        await deliver(receiver, request, timeout_s=timeout_s)
        if refused_s and receiver in world.cluster.instance_by_member:
            world.hold(refused_s, ("refused", receiver))
        if not handle.send_again():
            raise errors.PeerUnreachable(receiver)
        return await deliver(receiver, request, timeout_s=timeout_s)

    world.cluster.deliver_to_peer = breaking
    world.hold(seconds, ("peers break", ""))


def slow_store(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let the store answer so late that calls get no answer."""
    delay_s = generator.choice([0.4, 0.6, 1.5])
    seconds = generator.uniform(0.3, 6.0)
    members = list(world.cluster.instance_by_member)
    chosen = generator.sample(members, generator.randint(1, len(members)))
    stores = [world.cluster.instance_by_member[each].store for each in chosen]
    for store in stores:
        store.faults.delay_s += delay_s
    world.hold(seconds, ("slow store", ""))

    def restore() -> None:
        for store in stores:
            store.faults.delay_s -= delay_s

    world.later(seconds, restore)


FAULTS = {
    function.__name__: (function, weight)
    for function, weight in (
        (break_append, 3),
        (break_peer_calls, 2),
        (slow_store, 1),
    )
}
