"""Tests of the instance list under failures, on virtual time."""

import asyncio

from limpetstream import errors
from limpetstream.platform import instances, messages
from limpetstream.platform.tests import builders
from standins import virtual_time


def make_directory(
    answers: list[messages.InstanceList | None], loop: virtual_time.Loop
) -> instances.Directory:
    """Return a directory whose reads return ``answers``; None is an outage."""

    async def fetch(version: str) -> messages.InstanceList:
        await asyncio.sleep(0.1)
        listed = answers.pop(0) if answers else None
        if listed is None:
            raise errors.PlatformUnavailable("outage")
        return listed

    return instances.Directory(fetch=fetch, clock=virtual_time.make_clock(loop))


def test_freshness_counts_from_before_the_read_was_sent() -> None:
    """Guards against an age that is less than the true age of the list."""
    loop = virtual_time.Loop()
    directory = make_directory(
        [messages.InstanceList(1, [builders.make_instance()])], loop
    )

    async def main() -> None:
        assert directory.age(loop.time()) == float("inf")
        assert await directory.refresh()
        assert directory.fresh_at == 0.0
        assert abs(directory.age(loop.time()) - 0.1) < 1e-9

    virtual_time.run(main(), loop=loop)


def test_outage_keeps_the_last_list_and_lets_it_age() -> None:
    """Guards against an outage that empties the list."""
    loop = virtual_time.Loop()
    directory = make_directory(
        [messages.InstanceList(1, [builders.make_instance()])], loop
    )

    async def main() -> None:
        refresh_task = asyncio.create_task(directory.run_refresh_loop())
        await asyncio.sleep(3.0)
        refresh_task.cancel()
        assert list(directory.by_id) == ["w1"]
        assert directory.age(loop.time()) == 3.0

    virtual_time.run(main(), loop=loop)


def test_follow_refreshes_and_reports_each_read() -> None:
    """Guards against a refresh loop that ends after a failed read."""
    loop = virtual_time.Loop()
    lists = [
        messages.InstanceList(1, [builders.make_instance()]),
        None,
        messages.InstanceList(2, [builders.make_instance(state="leaving")]),
    ]
    directory = make_directory(lists, loop)
    seen: list[str] = []

    async def main() -> None:
        refresh_task = asyncio.create_task(
            directory.run_refresh_loop(
                on_refresh=lambda: seen.append(directory.by_id["w1"].state)
            )
        )
        await asyncio.sleep(1.2)
        refresh_task.cancel()

    virtual_time.run(main(), loop=loop)
    assert seen == ["live", "leaving"]


def test_older_list_does_not_replace_a_newer_one() -> None:
    """Guards against a late answer that makes a leaving instance live."""
    loop = virtual_time.Loop()
    lists = [
        messages.InstanceList(5, [builders.make_instance(state="leaving")]),
        messages.InstanceList(4, [builders.make_instance()]),
    ]
    directory = make_directory(lists, loop)

    async def main() -> None:
        await directory.refresh()
        fresh_at = directory.fresh_at
        await directory.refresh()
        assert directory.by_id["w1"].state == "leaving"
        assert directory.fresh_at == fresh_at
        assert directory.with_role("worker") == [directory.by_id["w1"]]

    virtual_time.run(main(), loop=loop)


def test_unchanged_list_is_confirmed_without_its_content():
    """Guards against a full list in every answer, and against confirming
    the list by an answer for another version."""
    loop = virtual_time.Loop()
    instance = builders.make_instance()
    answers = [
        messages.InstanceList(1, [instance], "a"),
        messages.InstanceList(2, None, "a"),
        messages.InstanceList(3, None, "b"),
    ]
    directory = make_directory(answers, loop)

    async def run() -> list[float]:
        fresh_at = []
        for _ in range(3):
            await directory.refresh()
            fresh_at.append(directory.fresh_at)
        return fresh_at

    first, confirmed, other_version = virtual_time.run(run(), loop=loop)
    assert first < confirmed == other_version
    assert list(directory.by_id) == [instance.id]
