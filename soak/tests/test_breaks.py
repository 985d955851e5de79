"""Tests of connections that break after an append of a job."""

import asyncio
import contextlib
import types

from adapter import store
from limpetstream.border import simple_server
from limpetstream.shard import names
from soak import _breaks, _cluster, _faults, _run

INSTANCES = frozenset(["instance-0", "instance-1"])


def make_request(topic=names.SUBMISSIONS_TOPIC, path=store.APPEND_PATH):
    return types.SimpleNamespace(path=path, arguments={"topic": [topic.encode()]})


async def is_refused(gate, instance):
    """Return whether the store does not get a call of an instance."""
    arrived = []

    async def handle(request):
        arrived.append(request)
        return simple_server.Response(200)

    response = await gate.answer(instance, make_request(), handle)
    assert bool(arrived) == (response.status == 200)
    return not arrived


def test_only_the_chosen_instances_are_refused():
    """Guards against a refusal of calls that the store has carried out."""

    async def run():
        gate = _breaks.StoreGate()
        with gate.refusing(_breaks.Refusal(INSTANCES, 429)):
            assert await is_refused(gate, "instance-0")
            assert not await is_refused(gate, "instance-2")
        assert not await is_refused(gate, "instance-0")

    asyncio.run(run())


def test_connections_break_after_an_append_of_a_job_and_before_its_answer():
    """Guards against a break that the append does not precede."""

    async def run():
        gate = _breaks.StoreGate()
        steps = []

        async def handle(request):
            steps.append("done")
            return simple_server.Response(200)

        async def refuse(request):
            return simple_server.Response(503)

        def react(request):
            steps.append("broken")

        waiting = asyncio.create_task(
            gate.wait_for_append(INSTANCES, react, timeout_s=1.0)
        )
        await asyncio.sleep(0)
        for request in (
            make_request(names.PROGRESS_TOPIC),
            make_request(path=store.READ_PATH),
        ):
            await gate.answer("instance-0", request, handle)
        await gate.answer("instance-2", make_request(), handle)
        await gate.answer("instance-0", make_request(), refuse)
        assert steps == ["done"] * 3
        await gate.answer("instance-0", make_request(), handle)
        await gate.answer("instance-0", make_request(), handle)
        assert steps == ["done"] * 4 + ["broken", "done"]
        assert await waiting

    asyncio.run(run())


def draw_other_faults(seed, *, breaks):
    """Return the first draws of all other generators of a seed."""

    async def run():
        cluster = _cluster.Cluster(seed, None)
        cluster.is_patient = not breaks
        if breaks:
            cluster.draw_patience(8)
            cluster.break_choices.random()
        others = (cluster.fault_choices, cluster.cut_choices, cluster.leave_choices)
        return [each.random() for each in (*others, cluster.caller_choices)]

    return asyncio.run(run())


def test_other_draws_of_a_seed_stay_as_they_are():
    """Guards against kept seeds whose faults change with the breaks."""
    assert draw_other_faults(7, breaks=True) == draw_other_faults(7, breaks=False)


def test_no_break_lasts_beyond_its_fault(monkeypatch):
    """Guards against a store that refuses calls until the end of a run."""

    async def run():
        cluster = _cluster.Cluster(3, None)
        listening = []
        for number in range(_run.INSTANCES):
            link = types.SimpleNamespace(
                refuse=lambda: None, reset=lambda: None, listen=lambda: note()
            )
            name = f"instance-{number}"
            cluster.instance_by_name[name] = types.SimpleNamespace(store_link=link)

        async def note():
            listening.append(True)

        async def answer_appends():
            request = make_request()
            stream = types.SimpleNamespace(close=lambda: None)
            request.connection = types.SimpleNamespace(stream=stream)

            async def handle(request):
                return simple_server.Response(200)

            while True:
                for name in cluster.instance_by_name:
                    await cluster.gate.answer(name, request, handle)
                await asyncio.sleep(0.01)

        monkeypatch.setattr(_faults, "MAX_REFUSAL_S", 0.4)
        appending = asyncio.create_task(answer_appends())
        for fault in _faults.BREAKS * 5:
            await fault(cluster)
            for name in cluster.instance_by_name:
                assert not await is_refused(cluster.gate, name)
        appending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await appending
        assert len(listening) >= len(_faults.BREAKS) * 5

    asyncio.run(run())
