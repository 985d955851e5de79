"""Tests of odd entries of other writers in the list of executors."""

import asyncio

import hypothesis
import loguru
import msgspec
import pycurl
import pytest
from hypothesis import strategies

from adapter import listing, store
from limpetstream import clock
from limpetstream.shard import events, executor_records, unreadable
from limpetstream.shard.tests import schedules
from limpetstream.store import messages as store_messages
from limpetstream.telemetry import logs
from standins import shard_cluster
from tests import entry_builders as builders

MAX_RECORD_BYTES = 262_144  # The platform's limit.
GOOD_EXECUTORS = {"x0", "x1", "x2", "x3"}

json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda values: (
        strategies.lists(values) | strategies.dictionaries(strategies.text(), values)
    ),
    max_leaves=6,
)
addresses = strategies.builds(
    "{}:{}".format,
    strategies.ip_addresses() | strategies.text() | strategies.just("10.0.0.1"),
    strategies.integers(-1, 70_000) | strategies.text(),
)
changes = strategies.dictionaries(
    strategies.sampled_from([*builders.GOOD, "cold_remaining_ms", "remaining_ms"]),
    json_values | addresses,
    max_size=3,
)


@pytest.fixture(autouse=True)
def logged():
    """Collect the events that are logged."""
    loguru.logger.remove()
    collected = []

    def observe(event, fields):
        collected.append((event, fields))

    logs.observers.append(observe)
    yield collected
    logs.observers.remove(observe)


def assert_usable(found, key):
    """Check that a call to the executor and its record can be encoded."""
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f"http://{found.address}/")
    curl.setopt(pycurl.HTTPHEADER, [f"X: {found.executor_id}".encode("latin-1")])
    curl.close()
    port = int(found.address.rpartition(":")[2])
    assert 1 <= port <= 65_535
    assert found.executor_id == key
    value = msgspec.json.encode(executor_records.ExecutorRecord(found))
    record = store_messages.Entry(f"!executor/{key}", value)
    assert len(store.encode_records([record])) <= MAX_RECORD_BYTES
    stored = msgspec.json.decode(value, type=executor_records.ExecutorRecord)
    assert stored.listing == found
    size = found.capacity
    numbers = (size.cpu_millicores, size.memory_mb, size.accelerators, found.born_ms)
    assert min(numbers) >= 0


def test_good_entries_name_their_executor():
    """Guards against checks that refuse entries of executors."""
    for address in ("10.0.0.99:7000", "127.0.0.1:1", "[::1]:65535"):
        value = builders.entry(
            address=address, cold_remaining_ms=12.5, remaining_ms=4000
        )
        found = listing.decode(store_messages.Entry("i-1", value))
        assert found.address == address
        assert (found.remaining_ms, found.cold_remaining_ms) == (4000, 12)
        assert_usable(found, "i-1")


@pytest.mark.parametrize("kind", builders.ODD_VALUE_BY_KIND)
def test_odd_entries_name_no_executor(kind):
    """Guards against an entry whose values break calls or the journal."""
    value = builders.ODD_VALUE_BY_KIND[kind]
    assert listing.decode(store_messages.Entry("i-1", value)) is None


@pytest.mark.parametrize("kind", builders.ODD_KEY_BY_KIND)
def test_odd_keys_name_no_executor(kind):
    """Guards against an id that no request header or record can hold."""
    key = builders.ODD_KEY_BY_KIND[kind]
    assert listing.decode(store_messages.Entry(key, builders.entry())) is None


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(strategies.text(max_size=300), strategies.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(key, value):
    """Guards against bytes whose decoding raises."""
    found = listing.decode(store_messages.Entry(key, value))
    if found is not None:
        assert_usable(found, key)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=600)
@hypothesis.given(changes)
def test_any_changed_fields_are_decoded_or_refused(changed):
    """Guards against a field whose value raises now or when it is used."""
    found = listing.decode(store_messages.Entry("i-1", builders.entry(**changed)))
    if found is not None:
        assert_usable(found, "i-1")


def test_log_of_odd_entries_is_bounded(logged):
    """Guards against logs that grow with every odd entry and its size.

    An entry that is read every 0.4 s for ten minutes is logged ten times a
    minute at most, and the others are counted.
    """
    now = 0.0
    report = unreadable.LimitedLog(clock.Clock(monotonic=lambda: now)).log
    values = [builders.ODD_VALUE_BY_KIND[k] for k in ("port 99999", "labels of 1 MB")]
    values.append(builders.entry(state="x" * 60_000))
    for number in range(1500):
        now = number * 0.4
        value = values[number % len(values)]
        listing.decode(store_messages.Entry("k" * 255, value), report)
    assert len(logged) == 100
    assert {event for event, _ in logged} == {events.ENTRY_UNREADABLE}
    assert sum(fields["suppressed"] for _, fields in logged) == 9 * 140
    assert max(len(msgspec.json.encode(fields)) for _, fields in logged) < 1000


def run_scenario(scenario):
    return schedules.run_scenario(
        scenario, decode_listing=listing.decode, encode_listing=builders.entry_of
    )


def write_entry(cluster, key, value):
    entry = store_messages.Entry(key, value)
    cluster.store.append(shard_cluster.EXECUTORS_TOPIC, 0, [entry], None, None)


async def assert_completes(cluster, number, tasks):
    name = schedules.job_id(number)
    assert await cluster.submit(name, schedules.steps(tasks), seconds=1.0)
    assert await cluster.wait_until_final(name, limit_s=10) == "completed"


def known_executors(cluster):
    owner = cluster.instance_by_member[cluster.owner_member()]
    return set(shard_cluster.shard_zero(owner).executor_by_id)


ODD_ENTRY_BY_KIND = {
    **{kind: ("odd", value) for kind, value in builders.ODD_VALUE_BY_KIND.items()},
    **{kind: (key, builders.entry()) for kind, key in builders.ODD_KEY_BY_KIND.items()},
}


@pytest.mark.parametrize("kind", ODD_ENTRY_BY_KIND)
def test_shard_is_served_beside_an_odd_entry(kind, logged):
    """Guards against one odd entry that ends the shard or the reading.

    The entry is there before the start, is written again while an owner
    serves, and is still there when another instance takes over.
    """
    key, value = ODD_ENTRY_BY_KIND[kind]

    async def scenario(cluster):
        write_entry(cluster, key, value)
        cluster.start("m0")
        await asyncio.sleep(2)
        await assert_completes(cluster, 1, tasks=8)
        write_entry(cluster, key, value)
        await asyncio.sleep(1)
        late = cluster.add_executor("late")
        await assert_completes(cluster, 2, tasks=20)
        assert late.last_end > 0
        assert known_executors(cluster) == {*GOOD_EXECUTORS, "late"}
        cluster.start("m1")
        await cluster.kill("m0")
        await asyncio.sleep(4)
        await assert_completes(cluster, 3, tasks=8)
        assert known_executors(cluster) == {*GOOD_EXECUTORS, "late"}

    cluster = run_scenario(scenario)
    assert not cluster.breaches.found
    assert events.SHARD_FAILED not in [event for event, _ in logged]


def test_odd_entry_in_place_of_an_executor_holds_until_it_writes_again(logged):
    """Guards against an executor that stays unused after an odd entry."""

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(2)
        for executor_id in GOOD_EXECUTORS:
            write_entry(cluster, executor_id, builders.entry(address="10.0.0.1:99999"))
        await asyncio.sleep(1)
        for executor in cluster.executor_by_id.values():
            cluster.list_executor(executor)
        await assert_completes(cluster, 1, tasks=8)

    assert not run_scenario(scenario).breaches.found
    assert events.SHARD_FAILED not in [event for event, _ in logged]


def test_executor_that_never_answered_does_not_delay_a_new_owner(logged):
    """Guards against a new owner that waits for what cannot run anything.

    An entry in sound form may name an address where no executor listens. The
    first owner recorded it, and the next waited for leases there to expire.
    """

    async def scenario(cluster):
        write_entry(cluster, "odd", builders.entry())
        cluster.start("m0")
        await asyncio.sleep(2)
        name = schedules.job_id(1)
        assert await cluster.submit(name, schedules.steps(8, chain=4), seconds=1.0)
        await asyncio.sleep(0.5)
        await cluster.kill("m0")
        cluster.start("m1")
        assert await cluster.wait_until_final(name, limit_s=6) == "completed"

    assert not run_scenario(scenario).breaches.found
    located = [fields for event, fields in logged if event is events.SHARD_LOCATED]
    assert [fields["inherited"] for fields in located] == [0, 4]
    assert located[1]["after_ms"] < 500
