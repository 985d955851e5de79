"""Tests that odd answers of executors and the store are refused."""

import asyncio
import base64
import urllib.parse

import loguru
import msgspec
import pytest

from adapter import executors, store
from limpetstream import clock, errors
from limpetstream.executors import messages
from limpetstream.platform import http
from tests import answer_builders as builders


@pytest.fixture(autouse=True)
def disable_logging():
    loguru.logger.remove()


def with_answer(body, use, *, status=200):
    """Call ``use`` with an HTTP client whose calls all return one answer."""

    async def main():
        client = http.Client(base_url="", clock=clock.Clock())

        async def call(*arguments, **options):
            return http.Answer(status, body, 0.0, 0.0)

        client.call = call
        try:
            return await use(client)
        finally:
            client.close()

    return asyncio.run(main())


async def poll(client):
    return await executors.HttpExecutorClient(client).poll(
        builders.LISTING,
        token=1,
        acknowledged=0,
        deadline_ms=None,
        wait_ms=0,
        timeout_s=1.0,
    )


async def start(client):
    request = messages.StartRequest("5c0e7a21d94b36f8.0.0.0", 1, "", 1000, 1)
    return await executors.HttpExecutorClient(client).start(
        builders.LISTING, request, timeout_s=1.0
    )


async def newest(client):
    return await store.Store(client, "10.0.0.7:7000").newest("t", 0, timeout_s=1.0)


def test_rows_of_a_status_are_decoded():
    """Guards against checks that refuse rows which executors send.

    A row may lack the load, and later versions may append fields.
    """
    running = [["a", 1, "", 50], ["b", 2, "save", 100, 12], ["c", 3, "", 0, 5, "new"]]
    ended = [[1, "d", 1, "done", ""], [2, "e", 4, "failed", "save", "new"]]
    reply = with_answer(builders.status(running=running, ended=ended), poll)
    assert reply.running == [
        messages.RunningRow("a", 1, "", 50, 0),
        messages.RunningRow("b", 2, "save", 100, 12),
        messages.RunningRow("c", 3, "", 0, 5),
    ]
    assert reply.ended == [
        messages.EndRow(1, "d", 1, "done", ""),
        messages.EndRow(2, "e", 4, "failed", "save"),
    ]
    assert (reply.clock_ms, reply.born_ms) == (5000, 1000)


@pytest.mark.parametrize("kind", builders.ODD_STATUS_BY_KIND)
def test_odd_status_is_no_usable_answer(kind):
    """Guards against a poll whose answer ends the shard."""
    with pytest.raises(errors.PlatformUnavailable):
        with_answer(builders.ODD_STATUS_BY_KIND[kind], poll)


@pytest.mark.parametrize("status", [200, 409])
@pytest.mark.parametrize("kind", builders.ODD_REPLY_BY_KIND)
def test_odd_reply_to_a_start_is_no_usable_answer(kind, status):
    """Guards against a start whose answer ends the shard."""
    with pytest.raises(errors.PlatformUnavailable):
        with_answer(builders.ODD_REPLY_BY_KIND[kind], start, status=status)


@pytest.mark.parametrize("body", [builders.NESTED, builders.NESTED_OBJECT, b"", b"[]"])
def test_odd_conflict_is_no_usable_answer(body):
    """Guards against a refused append whose answer ends the journal."""

    async def append(client):
        await store.Store(client, "10.0.0.7:7000").append("t", 0, [], timeout_s=1.0)

    with pytest.raises(errors.PlatformUnavailable):
        with_answer(body, append, status=409)


@pytest.mark.parametrize("body", [builders.NESTED, b"", b"\xff", b"7", b"[[1]]"])
def test_odd_owners_are_no_usable_answer(body):
    """Guards against members of a group that end the wait for a vacancy."""

    async def owners(client):
        await store.Store(client, "10.0.0.7:7000").owners("group", timeout_s=1.0)

    with pytest.raises(errors.PlatformUnavailable):
        with_answer(body, owners)


@pytest.mark.parametrize("value", ["A", "\u65e5", 7])
def test_value_that_is_not_base64_is_no_usable_answer(value):
    """Guards against a page that ends the follower of a list."""
    item = {"key": "i-1", "offset": 0, "value": value}
    with pytest.raises(errors.PlatformUnavailable):
        with_answer(msgspec.json.encode({"items": [item], "end": 1}), newest)


def test_next_page_follows_a_key_that_is_not_utf_8():
    """Guards against a list whose pages cannot be continued."""
    queries = []

    async def load(client):
        async def call(method, path, **options):
            queries.append(urllib.parse.unquote_to_bytes(path.partition("?")[2]))
            return http.Answer(200, pages.pop(0), 0.0, 0.0)

        client.call = call
        return await newest(client)

    pages = [
        b'{"items":[{"key":"i-\xff","offset":0}],"end":2,"has_more":true}',
        b'{"items":[{"key":"i-1","offset":1}],"end":2}',
    ]
    page = with_answer(b"", load)
    assert queries == [b"topic=t&part=0", b"topic=t&part=0&after=i-\xff"]
    assert [entry.key for entry in page.entries] == ["i-\ufffd", "i-1"]


@pytest.mark.parametrize("key", ["7", "null", "[]"])
def test_key_that_is_no_text_is_no_usable_answer(key):
    """Guards against a page of the platform that is taken for a list."""
    body = b'{"items":[{"key":%b,"offset":0}],"end":1}' % key.encode()
    with pytest.raises(errors.PlatformUnavailable):
        with_answer(body, newest)


def test_key_that_is_not_utf_8_does_not_hide_the_other_keys():
    """Guards against a list that cannot be loaded because of one key.

    The key gets the text that reading the records of the log gives it.
    """
    value = base64.b64encode(b"v")
    body = (
        b'{"items":[{"key":"i-\xff","offset":0,"value":"%b"},'
        b'{"key":"i-1","offset":1,"value":"%b"}],"end":2}' % (value, value)
    )
    page = with_answer(body, newest)
    read = store.READ_HEADER.pack(1, 0) + store.RECORD_LENGTH.pack(5) + b"\x03i-\xffv"
    expected = store.decode_records(read, 0).entries[0].key
    assert [entry.key for entry in page.entries] == [expected, "i-1"]
    assert [entry.value for entry in page.entries] == [b"v", b"v"]
