"""Shares the event loop between costly pieces of work and everything else."""

import asyncio
import collections
import heapq
import itertools

# Each turn of this number goes to the work that has waited for the longest, so
# that cheaper work cannot hold it up for ever.
AGE_TURN_INTERVAL = 4


class Turns:
    """Lets one costly piece of work run in each turn of the event loop.

    What else is ready runs in between. Mostly work that has cost least so far
    goes first, then that which has waited for the longest.
    """

    def __init__(self) -> None:
        self._by_cost: list[tuple[int, int, asyncio.Future[None]]] = []
        self._by_age: collections.deque[asyncio.Future[None]] = collections.deque()
        self._numbers = itertools.count()
        self._granted = 0

    async def take(self, cost: int) -> None:
        """Wait for a turn.

        Args:
            cost: What the work has cost or will cost, in any unit that is
                common to all that wait.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = loop.create_future()
        if not self._by_cost:
            loop.call_soon(self._grant)
        heapq.heappush(self._by_cost, (cost, next(self._numbers), future))
        self._by_age.append(future)
        await future

    def _grant(self) -> None:
        self._granted += 1
        future = self._next(by_age=self._granted % AGE_TURN_INTERVAL == 0)
        if future is not None:
            future.set_result(None)
            asyncio.get_running_loop().call_soon(self._grant)

    def _next(self, *, by_age: bool) -> asyncio.Future[None] | None:
        """Remove those that need no turn; return the one whose turn it is."""
        # They had a turn in the other order, or were cancelled.
        while self._by_cost and self._by_cost[0][2].done():
            heapq.heappop(self._by_cost)
        while self._by_age and self._by_age[0].done():
            self._by_age.popleft()
        if not self._by_cost:
            return None
        return self._by_age[0] if by_age else self._by_cost[0][2]
