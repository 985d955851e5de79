"""Remembers the newest pieces of work of one kind by their ids."""

import collections

MAX_IDS = 4096  # Callers repeat a request within seconds.


class RecentIds:
    """Ids of the newest pieces of work that were added.

    A process keeps those that it has accepted, and those whose outcome it has
    told as unknown. A refusal of a later request for one of them would be a
    promise about work that may run. Other processes do not know them.
    """

    def __init__(self) -> None:
        self._ids: collections.OrderedDict[str, None] = collections.OrderedDict()

    def __contains__(self, id: str) -> bool:
        return id in self._ids

    def add(self, id: str) -> None:
        """Add an id; the oldest one is dropped if there are too many."""
        self._ids[id] = None
        self._ids.move_to_end(id)
        if len(self._ids) > MAX_IDS:
            self._ids.popitem(last=False)
