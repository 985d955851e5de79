"""Tests of a process beside crowds of clients that stay inside no limit.

Each test starts one instance with lowered limits. It must live, stay within
its memory and its descriptors, answer an ordinary request once the crowd has
left, and end in order on SIGTERM. What a crowd sends is refused or served.
"""

import asyncio
import functools

import pytest

from emulator import deployment
from tests import crowd_builders, stop_builders


def check(tmp_path, build, **options):
    """Check that an instance withstands a crowd."""
    faults = asyncio.run(crowd_builders.faults_of_crowd(tmp_path, build, **options))
    assert not faults, "; ".join(faults)


@pytest.mark.parametrize("piece_bytes", [crowd_builders.LEGAL_BYTES, 16_384])
def test_unfinished_announced_bodies(tmp_path, piece_bytes):
    """Guards against memory for each announced body that lacks its end."""
    check(
        tmp_path,
        lambda: crowd_builders.unfinished_announced(500, piece_bytes=piece_bytes),
    )


def test_whole_bodies_with_many_invalid_steps(tmp_path):
    """Guards against bodies that are whole and wait to be decoded.

    A job with 21,000 steps takes many times its text once it is decoded, and
    so may the list of its findings.
    """
    check(tmp_path, crowd_builders.invalid_jobs)


def test_whole_bodies_with_one_oversized_value(tmp_path):
    """Guards against whole jobs that wait to be decoded and refused."""
    check(tmp_path, lambda: crowd_builders.oversized_values(500))


def test_unfinished_bodies_in_large_chunks(tmp_path):
    """Guards against memory for each body of 4 KiB chunks without an end."""
    check(tmp_path, lambda: crowd_builders.unfinished_chunked(500))


def test_unfinished_bodies_in_tiny_chunks(tmp_path):
    """Guards against an event loop that is busy with chunks of 1 and 2 bytes.

    Ordinary requests wait behind the chunks that were received, even after
    their senders have left.
    """
    check(
        tmp_path,
        lambda: crowd_builders.unfinished_chunked(
            300, sizes=(1, 2), total_bytes=90_000, chunks_per_piece=100
        ),
    )


def test_chunked_bodies_far_over_the_limit(tmp_path):
    """Guards against memory for bodies that run past the limit of a body."""
    check(tmp_path, lambda: crowd_builders.chunked_over_the_limit(200))


def test_announced_bodies_far_over_the_limit(tmp_path):
    """Guards against memory for bodies that are announced over the limit."""
    check(tmp_path, lambda: crowd_builders.announced_over_the_limit(500))


@pytest.mark.parametrize(
    "build", [crowd_builders.idle, crowd_builders.unfinished_heads]
)
def test_more_connections_than_descriptors(tmp_path, build):
    """Guards against a descriptor for each connection without a request."""
    check(
        tmp_path,
        functools.partial(build, 600),
        max_fds=crowd_builders.LOW_MAX_FDS,
    )


@pytest.mark.parametrize(
    ("build", "count"),
    [
        pytest.param(crowd_builders.many_headers, 500, id="many_headers"),
        pytest.param(crowd_builders.long_queries, 500, id="long_queries"),
        pytest.param(crowd_builders.forms, 300, id="forms"),
    ],
)
def test_requests_with_many_fields(tmp_path, build, count):
    """Guards against headers and arguments that take many times their text."""
    check(tmp_path, functools.partial(build, count))


def test_requests_with_long_paths(tmp_path):
    """Guards against paths that take memory and are not counted."""
    check(tmp_path, crowd_builders.long_paths)


def test_clients_that_read_no_answers(tmp_path):
    """Guards against answers that pile up because they are not read."""
    check(
        tmp_path,
        lambda: [
            *crowd_builders.pipelined(100, path=stop_builders.job_path(), requests=400),
            *crowd_builders.pipelined(
                50, path="/metrics", requests=400, port=crowd_builders.METRICS_PORT
            ),
            *crowd_builders.invalid_steps(130, requests=2, reads=False),
        ],
    )


@pytest.mark.parametrize(
    ("port", "path"),
    [
        pytest.param(deployment.PEER_PORT, "/shard", id="peers"),
        pytest.param(deployment.READY_PORT, "/limpetstream/readiness", id="readiness"),
        pytest.param(crowd_builders.METRICS_PORT, "/metrics", id="metrics"),
    ],
)
def test_unfinished_requests_to_the_other_listeners(tmp_path, port, path):
    """Guards against a listener that lacks the bounds of the callers' one."""
    check(
        tmp_path,
        functools.partial(crowd_builders.others, port, path),
        max_fds=crowd_builders.LOW_MAX_FDS,
    )


def test_clients_of_all_kinds(tmp_path):
    """Guards against bounds that hold for each kind of client only."""
    check(tmp_path, crowd_builders.mixed)


def test_a_repeat_of_a_stored_job_that_gives_way_is_not_refused(tmp_path):
    """Guards against 503 ("never runs") for a job that was accepted.

    The repeat is not complete as a crowd needs its memory.
    """
    first, repeat, other = asyncio.run(crowd_builders.answers_of_repeat(tmp_path))
    assert first == 200
    assert repeat.startswith(b"HTTP/1.1 504 ")
    assert b"Retry-After" not in repeat
    assert other.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After" in other


def test_single_requests_of_legal_size_are_served(tmp_path):
    """Guards against limits that refuse what the pages allow."""
    padded, small = crowd_builders.padded_body(), stop_builders.job_body()
    bodies = [
        padded,
        crowd_builders.chunks_of(padded, 4096),
        crowd_builders.chunks_of(small, 1),
    ]
    assert asyncio.run(crowd_builders.calm_answers(tmp_path, bodies)) == [200] * 3
