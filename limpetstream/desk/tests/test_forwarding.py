"""Forwards between two instances over real peer ports."""

import asyncio
import contextlib

import tornado.httpserver
import tornado.netutil
import tornado.web

from limpetstream import clock as clocks
from limpetstream.desk import at_most_once, messages
from limpetstream.desk.tests import builders
from limpetstream.peers import client, handlers, signing

KEYS = ("k1",)


@contextlib.asynccontextmanager
async def peer_ports(world):
    """Let the nodes of a world call each other over real peer ports."""
    servers, address_by_id = [], {}
    for node in world.by_id.values():
        clock = clocks.Clock()
        signer = signing.Signer(node.id, lambda: KEYS, clock)
        rules = handlers.routes(
            verifier=signing.Verifier(node.id, lambda: KEYS, clock),
            signer=signer,
            routes=node.routes,
        )
        server = tornado.httpserver.HTTPServer(
            tornado.web.Application(rules), **handlers.SERVER_LIMITS
        )
        listening_sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(listening_sockets)
        servers.append(server)
        address_by_id[node.id] = f"127.0.0.1:{listening_sockets[0].getsockname()[1]}"
        node.desk.peers = client.PeerClient(signer, address_by_id.get)
    try:
        yield
    finally:
        for node, server in zip(world.by_id.values(), servers, strict=True):
            node.desk.peers.close()
            server.stop()
            await server.close_all_connections()


def test_forward_and_outcome_over_the_peer_port():
    """Guards against forwards and answers that are changed on the way."""

    async def main():
        world = builders.World({"a": "dc0", "b": "dc0"}, {"e1": "dc0"}, run_s=0.01)
        builders.grant_all_groups(world)
        holder = next(iter(world.holding_by_group.values())).instance
        other = next(node for node in world.by_id.values() if node.id != holder)
        for node in world.by_id.values():
            node.read()
            node.holder.refresh()
            entered = dict.fromkeys(world.groups(), float("-inf"))
            node.holder.slot_table._entered_at_by_group = entered
        world.directory.changes += 1
        async with peer_ports(world):
            for node in world.by_id.values():
                node.holder.refresh()
                world.spawn(node.run_until_killed())
            body = bytes(range(256)) * 400
            for mark in (True, False):
                request = builders.request(
                    world, f"r{mark}", body=body, idempotent=mark
                )
                answer = await other.desk.handle(request)
                assert (answer.outcome, answer.body) == (
                    "answered",
                    b"answer to " + body,
                )
                deadline = world.loop_time() + 1.0
                fetched = await at_most_once.fetch_answer(
                    other.desk, request.key, holder, deadline
                )
                assert fetched.body == answer.body
            missing = await at_most_once.fetch_answer(
                other.desk, ("d", "rTrue"), holder, deadline
            )
            assert missing is None
            reply = await other.desk.peers.call(
                holder, messages.FORWARD_PATH, b"\x00\x00\x00\x02{}", timeout_s=1.0
            )
            assert reply.status == 400
        for node in world.by_id.values():
            node.dead = True

    asyncio.run(main())
