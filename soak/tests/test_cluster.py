"""Tests of the cluster that the soak runs."""

import asyncio
import threading
import types

import pytest

from soak import _cluster
from standins import processes

TIMEOUT_S = 5.0


class SlowGroup:
    """Group whose starts last until the event loop has run meanwhile."""

    def __init__(self):
        self.loop_has_run = threading.Event()
        self.started = []

    def start_script(self, name, path, *, value_by_variable):
        if not self.loop_has_run.wait(TIMEOUT_S):
            raise processes.ProcessFailed("the loop stood still during a start")
        self.started.append(name)
        return name


def make_instance(name):
    return types.SimpleNamespace(name=name, settings_path="", process=None)


def test_the_platform_answers_while_an_instance_starts():
    """Guards against a store that answers nobody while processes start."""

    async def run():
        group = SlowGroup()
        cluster = _cluster.Cluster(0, group)
        instances = [make_instance(f"instance-{number}") for number in range(3)]
        for instance in instances:
            cluster.start(instance)
        await asyncio.sleep(0.05)
        assert not group.started
        group.loop_has_run.set()
        await cluster.finish_starts()
        assert [instance.process for instance in instances] == group.started
        cluster.client.close()

    asyncio.run(run())


def test_a_failed_start_fails_the_run():
    """Guards against a run that goes on without an instance."""

    async def run():
        group = SlowGroup()
        group.start_script = lambda *args, **fields: 1 / 0
        cluster = _cluster.Cluster(0, group)
        cluster.start(make_instance("instance-0"))
        with pytest.raises(ZeroDivisionError):
            await cluster.stop(make_instance("instance-1"))
        cluster.client.close()

    asyncio.run(run())


def test_a_port_that_another_program_has_taken_is_replaced(monkeypatch):
    """Guards against a run that ends as a port is taken meanwhile."""

    async def run():
        taken = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        taken_port = taken.sockets[0].getsockname()[1]
        ports = [taken_port, processes.free_port()]
        monkeypatch.setattr(processes, "free_port", lambda: ports.pop(0))
        cluster = _cluster.Cluster(0, SlowGroup())
        try:
            await cluster.add_executor("x0")
            assert not ports
        finally:
            await cluster.close()
            taken.close()

    asyncio.run(run())
