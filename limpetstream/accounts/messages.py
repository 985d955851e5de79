"""Defines the records of the accounts stream and encodes their entries."""

import base64
import dataclasses
import functools
import itertools
import zlib
from collections.abc import Iterable
from typing import Any

import msgspec
import xxhash

from limpetstream import errors
from limpetstream.records import codec, registry as registries

STREAM = "accounts"
BATCH_KIND, PAGE_KIND, MARK_KIND = "account.batch", "account.page", "account.mark"
VERSION = 1

STATES = ("received", "unknown", "not-run", "failed", "answered")
"""States by rank; within a receipt, a higher rank replaces a lower one."""
RECEIVED, UNKNOWN, NOT_RUN, FAILED, ANSWERED = range(len(STATES))

BUCKET_COUNT = 64  # hash buckets of callers; one bit each in a 64-bit mask
PERIOD_MS = 600_000  # 10 minutes; bounds the entries that an export holds in memory
MAX_PAGE_BYTES = 262_144

BatchRow = tuple[int, str, str, int, int, int, str, int, str]
"""Position of the caller in ``callers``, request id, kind, received_ms, state,
attempts, body hash, number and detail of an entry."""


@dataclasses.dataclass(slots=True)
class Entry:
    """State of one receipt of a request at one instance.

    Args:
        caller: Name of the caller.
        request_id: The caller's id of the request.
        kind: ``desk`` or ``job``.
        received_ms: Wall-clock time of the receipt.
        state: Rank in ``STATES``.
        attempts: Number of times that the request was sent to a backend
            server.
        body_hash: Hash of the request's body; empty in entries after the
            first one of a receipt.
        via: Instance that received the request.
        number: Sequence number of the receipt at that instance.
        detail: Explanation of the state.
    """

    caller: str
    request_id: str
    kind: str
    received_ms: int
    state: int
    attempts: int
    body_hash: str
    via: str
    number: int
    detail: str

    @property
    def period(self) -> int:
        """Number of the period of ``PERIOD_MS`` in which the receipt falls."""
        return self.received_ms // PERIOD_MS

    def with_state(self, state: int, attempts: int, detail: str) -> "Entry":
        """Return a later entry of this receipt, without the body's hash."""
        # Runs for each request; dataclasses.replace takes ten times as long.
        return Entry(
            self.caller,
            self.request_id,
            self.kind,
            self.received_ms,
            state,
            attempts,
            "",
            self.via,
            self.number,
            detail,
        )

    def merge(self, other: "Entry") -> None:
        """Merge another entry of the same receipt into this one.

        The result does not depend on order or repetition, so that copies
        from a witness or entries in several pages are harmless.
        """
        if (other.state, other.detail) > (self.state, self.detail):
            self.state, self.detail = other.state, other.detail
        self.attempts = max(self.attempts, other.attempts)
        self.body_hash = max(self.body_hash, other.body_hash)


ReceiptKey = tuple[str, str, str, int]  # caller, request id, via, number


def merge_entries(into: dict[ReceiptKey, Entry], entries: Iterable[Entry]) -> None:
    """Merge entries by receipt.

    Args:
        into: Merged entry of each receipt, updated in place.
        entries: Entries to add; later merges may modify them.
    """
    for entry in entries:
        key = (entry.caller, entry.request_id, entry.via, entry.number)
        known = into.get(key)
        if known is None:
            into[key] = entry
        else:
            known.merge(entry)


@dataclasses.dataclass(slots=True)
class AccountBatch:
    """Body of ``account.batch``: entries of many callers at one instance.

    Args:
        via: Instance that received the requests.
        index: Pairs of a period and the bit mask of the buckets of its
            callers.
        callers: Names of callers that the rows refer to by position.
        rows: Entries.
    """

    via: str
    index: list[tuple[int, int]]
    callers: list[str]
    rows: list[BatchRow]


@dataclasses.dataclass(slots=True)
class AccountPage:
    """Body of ``account.page``: compacted entries of one bucket.

    Args:
        round: Id of the compaction round that wrote the page.
        number: Number of the page in its round, starting at 0.
        bucket: Bucket of the callers.
        first_period: Earliest period of an entry.
        last_period: Latest period of an entry.
        data: Entries as JSON columns, compressed with zlib, in Base64.
    """

    round: str
    number: int
    bucket: int
    first_period: int
    last_period: int
    data: str


@dataclasses.dataclass(slots=True)
class AccountMark:
    """Body of ``account.mark``: a compaction round is complete.

    Args:
        round: Id of the round.
        slot: Time slot that the round was written for.
        start: First offset that it covers; 0 for a full round.
        upto: Offset after the last one that it covers.
        pages: Number of pages of the round.
        entries: Number of entries in the pages.
        at_ms: Wall-clock time at the instance that wrote the round.
        gap: Whether entries expired before they were compacted.
    """

    round: str
    slot: int
    start: int
    upto: int
    pages: int
    entries: int
    at_ms: int
    gap: bool = False


def register(registry: registries.Registry) -> None:
    """Register the body types of the records of this stream."""
    registry.register(BATCH_KIND, VERSION, AccountBatch)
    registry.register(PAGE_KIND, VERSION, AccountPage)
    registry.register(MARK_KIND, VERSION, AccountMark)


@functools.lru_cache(maxsize=4096)
def bucket_of(caller: str) -> int:
    """Return the hash bucket of a caller.

    >>> 0 <= bucket_of("till") < BUCKET_COUNT
    True
    """
    return xxhash.xxh64_intdigest(caller.encode()) % BUCKET_COUNT


def make_batch(via: str, entries: list[Entry]) -> AccountBatch:
    """Return a batch of entries of one instance."""
    index_by_caller: dict[str, int] = {}
    mask_by_period: dict[int, int] = {}
    rows = []
    for each in entries:
        index = index_by_caller.setdefault(each.caller, len(index_by_caller))
        bit = 1 << bucket_of(each.caller)
        mask_by_period[each.period] = mask_by_period.get(each.period, 0) | bit
        rows.append(
            (
                index,
                each.request_id,
                each.kind,
                each.received_ms,
                each.state,
                each.attempts,
                each.body_hash,
                each.number,
                each.detail,
            )
        )
    return AccountBatch(
        via, sorted(mask_by_period.items()), list(index_by_caller), rows
    )


def batch_entries(batch: AccountBatch, selection: frozenset[int] | str) -> list[Entry]:
    """Return the entries of a batch.

    Args:
        batch: The batch.
        selection: Buckets to return, or the name of the only caller to
            return.
    """
    if isinstance(selection, str):
        is_selected = [each == selection for each in batch.callers]
    else:
        is_selected = [bucket_of(each) in selection for each in batch.callers]
    if not any(is_selected):
        return []
    via, callers = batch.via, batch.callers
    return [
        Entry(
            callers[index],
            request_id,
            kind,
            received_ms,
            state,
            attempts,
            body_hash,
            via,
            number,
            detail,
        )
        for (
            index,
            request_id,
            kind,
            received_ms,
            state,
            attempts,
            body_hash,
            number,
            detail,
        ) in batch.rows
        if is_selected[index]
    ]


_COLUMNS = [field.name for field in dataclasses.fields(Entry)]
_RECEIVED_MS_COLUMN = _COLUMNS.index("received_ms")


def encode_page_data(entries: list[Entry]) -> str:
    """Encode entries as the ``data`` of a page.

    Columns compress better than rows because similar values are adjacent;
    sorted entries compress best.
    """
    columns = [[getattr(each, name) for each in entries] for name in _COLUMNS]
    times = columns[_RECEIVED_MS_COLUMN]
    columns[_RECEIVED_MS_COLUMN] = [b - a for a, b in itertools.pairwise([0, *times])]
    return base64.b64encode(zlib.compress(msgspec.json.encode(columns))).decode()


_columns_decoder = msgspec.json.Decoder(
    tuple[
        list[str],
        list[str],
        list[str],
        list[int],
        list[int],
        list[int],
        list[str],
        list[str],
        list[int],
        list[str],
    ]
)


def decode_page_data(data: str) -> list[Entry]:
    """Decode the entries of a page from its ``data``.

    Raises:
        RecordError: The data is damaged.
    """
    try:
        columns = list(_columns_decoder.decode(zlib.decompress(base64.b64decode(data))))
        columns[_RECEIVED_MS_COLUMN] = list(
            itertools.accumulate(columns[_RECEIVED_MS_COLUMN])
        )
        return list(map(Entry, *columns))
    except (ValueError, zlib.error, msgspec.DecodeError) as error:
        raise errors.RecordError(f"damaged data of an account page: {error}") from error


def decode(line: str, body_type: type) -> Any:
    """Decode and verify a record whose kind is known.

    Raises:
        RecordError: The record is damaged, or its body has another type.
    """
    envelope = codec.decode(line)
    try:
        return msgspec.convert(envelope.b, body_type)
    except msgspec.ValidationError as error:
        raise errors.RecordError(
            f"invalid body of {envelope.k} record: {error}"
        ) from error


@dataclasses.dataclass(slots=True)
class RecordEncoder:
    """Numbers and encodes records of one instance for the accounts stream.

    Args:
        instance: Id of the instance.
        sequence: Sequence number of the last record.
    """

    instance: str
    sequence: int = 0

    def encode(self, kind: str, body: Any) -> str:
        """Encode the next record, of the given kind and body."""
        self.sequence += 1
        content = msgspec.to_builtins(body)
        return codec.encode(
            codec.Envelope(
                k=kind, v=VERSION, w=self.instance, n=self.sequence, b=content
            )
        )
