"""Tests of the memory that requests hold together."""

from limpetstream.border import request_memory
from limpetstream.border.tests import builders


def test_the_request_that_began_first_gives_way():
    """Guards against new requests that are refused for ones that never end."""
    memory = request_memory.RequestMemory(3000)
    first, second, third = builders.make_requests(memory, 1000, 1000, 1000)
    assert memory.begin(builders.Request(), 500)
    assert [first.has_given_way, second.has_given_way] == [True, False]
    assert memory.held_bytes == 2500


def test_a_complete_request_stays_until_it_is_answered():
    """Guards against a request that is refused while it is carried out."""
    memory = request_memory.RequestMemory(1000)
    (request,) = builders.make_requests(memory, 1000)
    memory.complete(request)
    assert not memory.begin(builders.Request(), 1)
    assert not request.has_given_way
    memory.release(request)
    assert memory.begin(builders.Request(), 1000)


def test_a_request_does_not_give_way_to_itself():
    """Guards against a body that is refused twice, for its own next bytes."""
    memory = request_memory.RequestMemory(1000)
    (request,) = builders.make_requests(memory, 900)
    assert not memory.take(request, 200)
    assert not request.has_given_way


def test_large_requests_leave_room_for_small_ones():
    """Guards against whole large bodies that shut ordinary requests out."""
    size = request_memory.SMALL_REQUEST_BYTES
    memory = request_memory.RequestMemory(8 * size)
    large = builders.make_requests(memory, *[2 * size] * 3)
    for request in large:
        memory.complete(request)
    assert not memory.begin(builders.Request(), 2 * size)
    assert memory.begin(builders.Request(), size)


def test_no_request_gives_way_in_vain():
    """Guards against small requests that are refused for one that is, too."""
    memory = request_memory.RequestMemory(1000)
    whole, small = builders.make_requests(memory, 700, 200)
    memory.complete(whole)
    assert not memory.begin(builders.Request(), 400)
    assert not small.has_given_way


def test_large_requests_give_way_to_large_ones_first():
    """Guards against small requests that are refused to serve large ones."""
    size = request_memory.SMALL_REQUEST_BYTES
    memory = request_memory.RequestMemory(8 * size)
    small, first, _ = builders.make_requests(memory, size, 2 * size, 2 * size)
    assert memory.begin(builders.Request(), 2 * size)
    assert [small.has_given_way, first.has_given_way] == [False, True]


def test_memory_is_freed_once():
    """Guards against a count below what is held, after two releases."""
    memory = request_memory.RequestMemory(1000)
    first, second = builders.make_requests(memory, 400, 500)
    memory.release(first)
    memory.release(first)
    assert memory.held_bytes == 500
    memory.release(second)
    assert memory.held_bytes == 0
