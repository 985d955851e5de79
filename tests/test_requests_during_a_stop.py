"""Tests of requests that an instance has read when it is to stop.

Callers keep their connections open until the process is gone.
"""

import asyncio

import pytest

from adapter import store
from emulator import deployment
from tests import stop_builders as builders

NOT_RUN, UNKNOWN = 503, 504
REQUEST_BY_KIND = {
    "cancel": ("DELETE", builders.job_path()),
    "state": ("GET", builders.job_path()),
    "count": ("GET", deployment.PREFIX),
}


async def call_after(instance, connection, kind, after_s):
    """Send a request of a kind a time from now."""
    await asyncio.sleep(after_s)
    return await builders.call(connection, *REQUEST_BY_KIND[kind])


@pytest.mark.parametrize("grace_s", [3.0, 6.0])
def test_what_was_read_before_the_close_is_answered(tmp_path, grace_s):
    """Guards against requests that are cut off while they wait for an owner.

    The time until the close was made of constants: 4.5 s after SIGTERM the
    connections were closed, whatever was in flight, and with a shorter time
    until the kill nothing was answered at all. Requests of each kind come
    before the stop and during it, over connections that are kept open.
    """
    step_s = 0.2
    delays_s = [step_s * n for n in range(int(grace_s / step_s))]

    async def run():
        async with builders.running(tmp_path, grace_s=grace_s) as instance:
            calls = []
            for kind in REQUEST_BY_KIND:
                for delay_s in delays_s:
                    connection = await instance.connect()
                    calls.append(call_after(instance, connection, kind, delay_s))
            replies = asyncio.gather(*calls)
            await asyncio.sleep(step_s)
            assert await instance.stop(grace_s)
            return await replies

    replies = asyncio.run(run())
    cut_off = [reply for reply in replies if not reply.status and reply.after_s > 0.2]
    assert not cut_off, f"{len(cut_off)} of {len(replies)}: {cut_off[0]}"
    answers = [reply for reply in replies if reply.status]
    assert len(answers) > len(replies) / 3
    # No owner was asked, so none of them has run.
    assert {reply.status for reply in answers} == {NOT_RUN}
    assert all(int(reply.headers["retry-after"]) >= 1 for reply in answers)


def test_a_job_whose_append_is_under_way_at_the_close_is_not_refused(tmp_path):
    """Guards against "never runs" of a job that the store has by then."""
    grace_s = 3.0

    async def submit(connection, number, after_s):
        await asyncio.sleep(after_s)
        job_id = f"{number:016x}"
        path, body = builders.job_path(job_id), builders.job_body(job_id)
        return await builders.call(connection, "POST", path, body)

    async def run():
        silent = frozenset({store.APPEND_PATH})
        async with builders.running(
            tmp_path, grace_s=grace_s, silent=silent
        ) as instance:
            connections = [await instance.connect() for _ in range(2)]
            # The second one is still trying as the instance closes.
            calls = [
                submit(connection, number, 1.8 * number)
                for number, connection in enumerate(connections)
            ]
            replies = asyncio.gather(*calls)
            await asyncio.sleep(0.1)
            assert await instance.stop(grace_s)
            return await replies

    assert [reply.status for reply in asyncio.run(run())] == [UNKNOWN, UNKNOWN]
