"""Remembers the work whose outcome a process has told as unknown."""

import collections

# Callers repeat a request within seconds, so an older one than the newest
# 4,096 is settled.
MAX_IDS = 4096


class UnknownOutcomes:
    """Ids of work whose outcome was last told as unknown here.

    A refusal of a later request for the same work would be a promise about
    what the earlier request may have caused. Other processes do not know them.
    """

    def __init__(self) -> None:
        self._ids: collections.OrderedDict[str, None] = collections.OrderedDict()

    def __contains__(self, id: str) -> bool:
        return id in self._ids

    def add(self, id: str) -> None:
        """Note work whose outcome is unknown."""
        self._ids[id] = None
        self._ids.move_to_end(id)
        if len(self._ids) > MAX_IDS:
            self._ids.popitem(last=False)
