"""Tests of the simulated log and each of its fault switches."""

import asyncio

import pytest

from limpetstream import errors
from standins import memory_clients, simulation
from standins.tests import builders


def test_offsets_grow_by_one_per_stream() -> None:
    """Guards against offsets shared between streams."""

    async def scenario(
        platform: simulation.Platform,
        log: memory_clients.MemoryLog,
        _: memory_clients.MemoryWorkers,
    ) -> None:
        assert [await log.append("control", ["a", "b"]) for _ in range(3)] == [0, 1, 2]
        assert await log.append("accounts", ["c"]) == 0
        page = await log.read("control", 1, max_frames=1)
        assert (page.first, page.next, page.end) == (0, 2, 3)
        assert page.frames[0].records == ["a", "b"]

    builders.run_scenario(scenario)


def test_long_poll_returns_with_the_next_append() -> None:
    """Guards against a poll that ignores an append, or never ends."""

    async def scenario(
        platform: simulation.Platform,
        log: memory_clients.MemoryLog,
        _: memory_clients.MemoryWorkers,
    ) -> None:
        reading = asyncio.create_task(log.read("control", 0, wait_ms=900))
        await asyncio.sleep(0.3)
        await log.append("control", ["a"])
        page = await reading
        assert page.frames and platform.clock.monotonic() < 0.5
        empty = await log.read("control", 1, wait_ms=900)
        assert not empty.frames and empty.next == empty.end == 1

    builders.run_scenario(scenario)


def test_outage_has_no_effect() -> None:
    """Guards against an outage that still appends."""

    async def scenario(
        platform: simulation.Platform,
        log: memory_clients.MemoryLog,
        _: memory_clients.MemoryWorkers,
    ) -> None:
        platform.set_faults(log_down=True)
        with pytest.raises(errors.LogUnavailable):
            await log.append("control", ["a"])
        with pytest.raises(errors.LogUnavailable):
            await log.read("control", 0)
        platform.set_faults(log_down=False)
        assert (await log.read("control", 0)).end == 0

    builders.run_scenario(scenario)


def test_outage_ends_a_long_poll_that_began_before_it() -> None:
    """Guards against a read that counts as fresh during an outage."""

    async def scenario(
        platform: simulation.Platform,
        log: memory_clients.MemoryLog,
        _: memory_clients.MemoryWorkers,
    ) -> None:
        reading = asyncio.create_task(log.read("control", 0, wait_ms=900))
        await asyncio.sleep(0.3)
        platform.set_faults(log_down=True)
        with pytest.raises(errors.LogUnavailable):
            await reading

    builders.run_scenario(scenario)


def test_hanging_append_takes_effect_after_its_caller_gave_up() -> None:
    """Guards against treating a timed-out append as one without effect."""

    async def scenario(
        platform: simulation.Platform,
        log: memory_clients.MemoryLog,
        _: memory_clients.MemoryWorkers,
    ) -> None:
        platform.set_faults(log_hang=True)
        with pytest.raises(errors.LogUnavailable):
            await log.append("control", ["late"])
        platform.set_faults(log_hang=False)
        await asyncio.sleep(0.1)
        assert (await log.read("control", 0)).frames[0].records == ["late"]

    builders.run_scenario(scenario)


def test_slow_log_delays_each_call() -> None:
    """Guards against a delay switch that only delays appends."""

    async def scenario(
        platform: simulation.Platform,
        log: memory_clients.MemoryLog,
        _: memory_clients.MemoryWorkers,
    ) -> None:
        await log.append("control", ["a"])
        assert platform.clock.monotonic() >= 0.4
        await log.read("control", 0)
        assert platform.clock.monotonic() >= 0.8

    builders.run_scenario(scenario, log_delay_ms=400)


def test_lost_answer_comes_after_the_effect() -> None:
    """Guards against losing the call instead of its answer."""

    async def scenario(
        platform: simulation.Platform,
        log: memory_clients.MemoryLog,
        _: memory_clients.MemoryWorkers,
    ) -> None:
        for _ in range(4):
            with pytest.raises(errors.LogUnavailable):
                await log.append("control", ["a"])
        platform.set_faults(lost_answer_probability=0.0)
        assert (await log.read("control", 0)).end == 4

    builders.run_scenario(scenario, lost_answer_probability=1.0)


def test_lost_answers_follow_their_seed() -> None:
    """Guards against fault schedules that a seed does not reproduce."""

    def lost(seed: int) -> list[int]:
        failed: list[int] = []

        async def scenario(
            platform: simulation.Platform,
            log: memory_clients.MemoryLog,
            _: memory_clients.MemoryWorkers,
        ) -> None:
            for number in range(40):
                try:
                    await log.append("control", ["a"])
                except errors.LogUnavailable:
                    failed.append(number)

        builders.run_scenario(scenario, lost_answer_probability=0.3, seed=seed)
        return failed

    assert lost(5) == lost(5) != lost(6)
    assert 5 <= len(lost(5)) <= 20


@pytest.mark.parametrize("switch", [{"log_keep_s": 5.0}, {"log_keep_frames": 2}])
def test_retention_expires_old_frames(switch: dict[str, float]) -> None:
    """Guards against frames that never expire or change their offsets."""

    async def scenario(
        platform: simulation.Platform,
        log: memory_clients.MemoryLog,
        _: memory_clients.MemoryWorkers,
    ) -> None:
        for _ in range(2):
            await log.append("control", ["old"])
        await asyncio.sleep(6)
        for _ in range(2):
            await log.append("control", ["new"])
        with pytest.raises(errors.OffsetExpired) as caught:
            await log.read("control", 1)
        assert caught.value.first == 2
        page = await log.read("control", 2)
        assert [frame.offset for frame in page.frames] == [2, 3]

    builders.run_scenario(scenario, **switch)


def test_expiry_of_all_frames_keeps_the_offsets() -> None:
    """Guards against offsets that restart after all frames have expired."""

    async def scenario(
        platform: simulation.Platform,
        log: memory_clients.MemoryLog,
        _: memory_clients.MemoryWorkers,
    ) -> None:
        await log.append("control", ["old"])
        await asyncio.sleep(2)
        page = await log.read("control", 1)
        assert (page.first, page.next, page.end) == (1, 1, 1)
        assert await log.append("control", ["new"]) == 1

    builders.run_scenario(scenario, log_keep_s=1.0)


def test_append_rate_is_limited() -> None:
    """Guards against a log that accepts more appends than the real one."""

    async def scenario(
        platform: simulation.Platform,
        log: memory_clients.MemoryLog,
        _: memory_clients.MemoryWorkers,
    ) -> None:
        appends = (log.append("control", ["a"]) for _ in range(50))
        await asyncio.gather(*appends)
        assert 0.9 <= platform.clock.monotonic() <= 1.0

    builders.run_scenario(scenario, log_appends_per_s=50)


def test_only_the_cut_client_loses_the_log() -> None:
    """Guards against a cut that affects the clients of other processes."""

    async def scenario(
        platform: simulation.Platform,
        log: memory_clients.MemoryLog,
        _: memory_clients.MemoryWorkers,
    ) -> None:
        log.set_cut(True)
        with pytest.raises(errors.LogUnavailable):
            await log.append("control", ["a"])
        assert await memory_clients.MemoryLog(platform).append("control", ["b"]) == 0

    builders.run_scenario(scenario)


def test_packet_delay_counts_both_ways() -> None:
    """Guards against a delay on calls but not on answers."""

    async def scenario(
        platform: simulation.Platform,
        log: memory_clients.MemoryLog,
        _: memory_clients.MemoryWorkers,
    ) -> None:
        await log.append("control", ["a"])
        assert abs(platform.clock.monotonic() - 0.1) < 1e-6

    builders.run_scenario(scenario, packet_delay_ms=50)


def test_packet_jitter_follows_the_seed_within_its_bound() -> None:
    """Guards against jitter that a seed does not reproduce."""

    def times(seed: int) -> list[float]:
        ends: list[float] = []

        async def scenario(
            platform: simulation.Platform,
            log: memory_clients.MemoryLog,
            _: memory_clients.MemoryWorkers,
        ) -> None:
            for _ in range(5):
                await log.append("control", ["a"])
                ends.append(platform.clock.monotonic())

        builders.run_scenario(
            scenario, packet_delay_ms=10, packet_jitter_ms=30, seed=seed
        )
        return ends

    first = times(5)
    assert first == times(5) != times(6)
    taken = [end - begin for begin, end in zip([0.0, *first], first, strict=False)]
    assert all(0.02 - 1e-9 <= seconds <= 0.08 + 1e-9 for seconds in taken)
    assert len({round(seconds, 6) for seconds in taken}) > 1


def test_lost_answer_of_a_read_is_unavailable() -> None:
    """Guards against a switch that cannot drop the answers of reads."""

    async def scenario(
        platform: simulation.Platform,
        log: memory_clients.MemoryLog,
        _: memory_clients.MemoryWorkers,
    ) -> None:
        await log.append("control", ["a"])
        with pytest.raises(errors.LogUnavailable):
            await log.read("control", 0)

    builders.run_scenario(
        scenario, lost_answer_probability=1.0, lost_answer_calls=["read"]
    )
