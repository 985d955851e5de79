"""Records of the accounts stream and the entries in them."""

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
"""States by rank; within one receipt a higher rank replaces a lower one."""
RECEIVED, UNKNOWN, NOT_RUN, FAILED, ANSWERED = range(len(STATES))

BUCKET_COUNT = 64  # callers per page set; one bit each in a 64-bit index word
PERIOD_MS = 600_000  # bounds the entries that an export holds at once
MAX_PAGE_BYTES = 262_144

BatchRow = tuple[int, str, str, int, int, int, str, int, str]
"""Caller's place in ``callers``, request id, kind, received_ms, state,
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
        attempts: Times that the request was sent to a backend server.
        body_hash: Hash of the request's body; empty in later entries.
        via: Instance that received the request.
        number: Number of the receipt at that instance.
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
        """Period of the receipt, in which its entries are merged."""
        return self.received_ms // PERIOD_MS

    def with_state(self, state: int, attempts: int, detail: str) -> "Entry":
        """Return another entry of this receipt, without the body's hash."""
        # dataclasses.replace takes ten times as long, for each request.
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
        """Take over what another entry of the same receipt knows.

        The result does not depend on order or repetition, so that copies
        from a witness or from several pages do no harm.
        """
        if (other.state, other.detail) > (self.state, self.detail):
            self.state, self.detail = other.state, other.detail
        self.attempts = max(self.attempts, other.attempts)
        self.body_hash = max(self.body_hash, other.body_hash)


ReceiptKey = tuple[str, str, str, int]


def merge_entries(into: dict[ReceiptKey, Entry], entries: Iterable[Entry]) -> None:
    """Add entries to a collection by receipt; they may be changed later."""
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
        index: Period, and the buckets of its callers as a bit mask.
        callers: Names that the rows refer to.
        rows: The entries.
    """

    via: str
    index: list[tuple[int, int]]
    callers: list[str]
    rows: list[BatchRow]


@dataclasses.dataclass(slots=True)
class AccountPage:
    """Body of ``account.page``: entries carried forward for one bucket.

    Args:
        round: Id of the round that wrote the page.
        number: Number of the page in its round, from 0.
        bucket: Bucket of the callers.
        first_period: Earliest period of an entry.
        last_period: Latest period of an entry.
        data: Base64 of the deflated JSON columns of the entries.
    """

    round: str
    number: int
    bucket: int
    first_period: int
    last_period: int
    data: str


@dataclasses.dataclass(slots=True)
class AccountMark:
    """Body of ``account.mark``: a round is complete.

    Args:
        round: Id of the round.
        slot: Time slot that the round was written for.
        start: First offset that it covers; 0 when it covers all before.
        upto: Offset after the last one that it covers.
        pages: Number of its pages.
        entries: Number of its entries.
        at_ms: Wall-clock time at its writer.
        gap: Whether entries before ``start`` expired unread.
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
    """Make the records of this stream readable."""
    registry.register(BATCH_KIND, VERSION, AccountBatch)
    registry.register(PAGE_KIND, VERSION, AccountPage)
    registry.register(MARK_KIND, VERSION, AccountMark)


@functools.lru_cache(maxsize=4096)
def bucket_of(caller: str) -> int:
    """Return the bucket of a caller.

    >>> 0 <= bucket_of("till") < BUCKET_COUNT
    True
    """
    return xxhash.xxh64_intdigest(caller.encode()) % BUCKET_COUNT


def make_batch(via: str, entries: list[Entry]) -> AccountBatch:
    """Return a batch that holds these entries of one instance."""
    place_by_caller: dict[str, int] = {}
    mask_by_period: dict[int, int] = {}
    rows = []
    for each in entries:
        place = place_by_caller.setdefault(each.caller, len(place_by_caller))
        bit = 1 << bucket_of(each.caller)
        mask_by_period[each.period] = mask_by_period.get(each.period, 0) | bit
        rows.append(
            (
                place,
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
        via, sorted(mask_by_period.items()), list(place_by_caller), rows
    )


def batch_entries(batch: AccountBatch, wanted: frozenset[int] | str) -> list[Entry]:
    """Return the entries of a batch.

    Args:
        batch: The batch.
        wanted: Buckets to return, or the name of the only caller to return.
    """
    if isinstance(wanted, str):
        kept = [each == wanted for each in batch.callers]
    else:
        kept = [bucket_of(each) in wanted for each in batch.callers]
    if not any(kept):
        return []
    via, callers = batch.via, batch.callers
    return [
        Entry(callers[at], rid, kind, ms, state, tries, digest, via, number, detail)
        for at, rid, kind, ms, state, tries, digest, number, detail in batch.rows
        if kept[at]
    ]


_COLUMNS = [field.name for field in dataclasses.fields(Entry)]
_TIME = _COLUMNS.index("received_ms")


def encode_page_data(entries: list[Entry]) -> str:
    """Return entries as the ``data`` of a page; sorted ones pack best.

    Columns compress better than rows, since like stands beside like.
    """
    columns = [[getattr(each, name) for each in entries] for name in _COLUMNS]
    times = columns[_TIME]
    columns[_TIME] = [b - a for a, b in itertools.pairwise([0, *times])]
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
    """Return the entries of a page.

    Raises:
        RecordError: The data is damaged.
    """
    try:
        columns = list(_columns_decoder.decode(zlib.decompress(base64.b64decode(data))))
        columns[_TIME] = list(itertools.accumulate(columns[_TIME]))
        return list(map(Entry, *columns))
    except (ValueError, zlib.error, msgspec.DecodeError) as error:
        raise errors.RecordError(f"damaged page: {error}") from error


def decode(line: str, body_type: type) -> Any:
    """Decode and verify a record whose kind is known.

    Raises:
        RecordError: The record is damaged or of another format.
    """
    envelope = codec.decode(line)
    try:
        return msgspec.convert(envelope.b, body_type)
    except msgspec.ValidationError as error:
        raise errors.RecordError(f"bad body of {envelope.k}: {error}") from error


@dataclasses.dataclass(slots=True)
class RecordEncoder:
    """Numbers the records that one instance writes to the accounts stream.

    Args:
        instance: Id of the instance.
        sequence: Number of the last record.
    """

    instance: str
    sequence: int = 0

    def encode(self, kind: str, body: Any) -> str:
        """Return the next record with this body."""
        self.sequence += 1
        plain = msgspec.to_builtins(body)
        return codec.encode(
            codec.Envelope(k=kind, v=VERSION, w=self.instance, n=self.sequence, b=plain)
        )
