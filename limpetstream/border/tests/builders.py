"""Builders of what holds memory, for the tests of its bounds."""

from limpetstream.border import request_memory


class Request(request_memory.Holder):
    """Request that notes whether it had to give way."""

    def __init__(self) -> None:
        self.has_given_way = False

    def give_way(self) -> None:
        """Note it."""
        self.has_given_way = True


def make_requests(memory: request_memory.RequestMemory, *counts: int) -> list[Request]:
    """Return requests that have begun with as many bytes each, in order."""
    requests = []
    for count in counts:
        requests.append(Request())
        assert memory.begin(requests[-1], count)
    return requests
