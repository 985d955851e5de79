"""Whole answers by caller and request id, in bounded memory."""

import asyncio
import collections
import dataclasses

from limpetstream import errors
from limpetstream.desk import messages

# Memory of an entry besides the bytes of its body and headers.
ENTRY_OVERHEAD_BYTES = 1024
BYTES_MAX = 32 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class CacheEntry:
    """One request and, once it has ended, its answer.

    Args:
        service: Service that it was for.
        body_hash: Hash of its body.
        answer: The whole answer; None while it runs.
        recorded: Whether its account entry is known to last.
        error: Rejection that is raised for everybody who waits.
        done: Wakes everybody who waits for the answer.
    """

    service: str
    body_hash: str
    answer: messages.Answer | None = None
    recorded: bool = False
    error: errors.Rejected | None = None
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(slots=True)
class AnswerCache:
    """Requests under way, and the newest answers.

    Args:
        bytes_max: Bound on the bytes of kept answers; oldest dropped first.
    """

    bytes_max: int = BYTES_MAX
    bytes_used: int = 0
    by_key: collections.OrderedDict[messages.RequestKey, CacheEntry] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )

    def get_or_create(self, request: messages.Request) -> tuple[CacheEntry, bool]:
        """Find the entry of a request, or begin it.

        Returns:
            The entry, and whether the caller of this function has to run it.

        Raises:
            Rejected: The id was used with another body or service.
        """
        kept = self.by_key.get(request.key)
        if kept is None:
            kept = CacheEntry(request.service, request.body_hash)
            self.by_key[request.key] = kept
            return kept, True
        if (kept.service, kept.body_hash) != (request.service, request.body_hash):
            raise errors.Rejected(
                409, "other-body", "this request id was used with another body"
            )
        return kept, False

    def complete(
        self, key: messages.RequestKey, kept: CacheEntry, answer: messages.Answer
    ) -> None:
        """Store the answer of an entry and wake who waits for it.

        Refused requests are not kept, since they may be tried again.
        """
        kept.answer = answer
        kept.done.set()
        if self.by_key.get(key) is not kept:
            return
        if answer.outcome not in ("answered", "failed"):
            del self.by_key[key]
            return
        self.by_key.move_to_end(key)
        self.bytes_used += memory_bytes(answer)
        self._drop_oldest()

    def store(self, request: messages.Request, answer: messages.Answer) -> None:
        """Keep the answer of a request that was run for another instance."""
        if request.key not in self.by_key:
            kept = CacheEntry(request.service, request.body_hash)
            self.by_key[request.key] = kept
            self.complete(request.key, kept, answer)

    def _drop_oldest(self) -> None:
        if self.bytes_used <= self.bytes_max:
            return
        for key in list(self.by_key):
            answer = self.by_key[key].answer
            if answer is None:
                continue
            del self.by_key[key]
            self.bytes_used -= memory_bytes(answer)
            if self.bytes_used <= self.bytes_max:
                return


def memory_bytes(answer: messages.Answer) -> int:
    """Return the bytes that an answer counts for."""
    headers = sum(len(name) + len(value) for name, value in answer.headers.items())
    return ENTRY_OVERHEAD_BYTES + len(answer.body) + headers
