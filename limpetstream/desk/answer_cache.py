"""Cache of answers to desk requests by caller and request id.

Desk requests are the latency-critical requests that backend servers answer. A
repeat that a caller sends to this instance finds the run in progress or the
kept answer, so that the request does not run twice. The memory of the kept
answers is bounded.
"""

import asyncio
import collections
import dataclasses

from limpetstream import errors
from limpetstream.desk import messages

# Memory that an entry takes besides the bytes of its body and headers.
ENTRY_OVERHEAD_BYTES = 1024
MAX_BYTES = 32 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class CacheEntry:
    """One request and, once it has ended, its answer.

    Args:
        service: Name of the desk service.
        body_hash: SHA-256 of the request's body.
        answer: Complete answer; None while the request runs.
        recorded: Whether the answer may be returned to the caller: the record
            of the request in the caller's account is durable, or the request
            was not run. ``service.Desk`` sets it before it calls
            ``AnswerCache.complete``; it stays False for an answer that
            ``AnswerCache.store`` added, which serves other instances.
        error: Rejection to raise for everybody who waits for the request or
            finds this entry later; None if it was not rejected.
        done: Set by ``AnswerCache.complete`` when the request has ended.
    """

    service: str
    body_hash: str
    answer: messages.Answer | None = None
    recorded: bool = False
    error: errors.Rejected | None = None
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(slots=True)
class AnswerCache:
    """Requests in progress, and the most recent answers.

    Requests in progress are never evicted and do not count as bytes.

    Args:
        max_bytes: Bound on the bytes of kept answers; the oldest are evicted
            first.
        bytes_used: Bytes of the kept answers.
        by_key: Entries; those with an answer are in order of completion.
    """

    max_bytes: int = MAX_BYTES
    bytes_used: int = 0
    by_key: collections.OrderedDict[messages.RequestKey, CacheEntry] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )

    def get_or_create(self, request: messages.Request) -> tuple[CacheEntry, bool]:
        """Return the entry of a request; create it if there is none.

        Returns:
            The entry, and whether it is new. Whoever gets a new entry must run
            the request and ``complete`` the entry.

        Raises:
            Rejected: The id was used with another body or service.
        """
        entry = self.by_key.get(request.key)
        if entry is None:
            entry = CacheEntry(request.service, request.body_hash)
            self.by_key[request.key] = entry
            return entry, True
        if (entry.service, entry.body_hash) != (request.service, request.body_hash):
            raise errors.Rejected(
                409,
                "other-body",
                "this request id was already used with another body or service",
            )
        return entry, False

    def complete(
        self, key: messages.RequestKey, entry: CacheEntry, answer: messages.Answer
    ) -> None:
        """Set the answer of an entry and wake everybody who waits for it.

        The answer is kept if its outcome is ``answered`` or ``failed``. After
        any other outcome the entry is removed, since the request may be tried
        again; those who wait for it get the answer all the same.

        Args:
            key: Caller and request id.
            entry: Entry that ``get_or_create`` returned.
            answer: Answer of the request.
        """
        entry.answer = answer
        entry.done.set()
        if self.by_key.get(key) is not entry:
            return
        if answer.outcome not in ("answered", "failed"):
            del self.by_key[key]
            return
        self.by_key.move_to_end(key)
        self.bytes_used += memory_bytes(answer)
        self._evict_oldest()

    def store(self, request: messages.Request, answer: messages.Answer) -> None:
        """Keep the answer of a request that has no entry here.

        Either this instance ran the request for another instance, which got it
        from the caller, or the answer was fetched from another instance.
        """
        if request.key not in self.by_key:
            entry = CacheEntry(request.service, request.body_hash)
            self.by_key[request.key] = entry
            self.complete(request.key, entry, answer)

    def _evict_oldest(self) -> None:
        if self.bytes_used <= self.max_bytes:
            return
        # Entries without an answer may stand anywhere among the others.
        for key in list(self.by_key):
            answer = self.by_key[key].answer
            if answer is None:
                continue
            del self.by_key[key]
            self.bytes_used -= memory_bytes(answer)
            if self.bytes_used <= self.max_bytes:
                return


def memory_bytes(answer: messages.Answer) -> int:
    """Return the estimated memory of an entry with this answer, in bytes."""
    headers = sum(len(name) + len(value) for name, value in answer.headers.items())
    return ENTRY_OVERHEAD_BYTES + len(answer.body) + headers
