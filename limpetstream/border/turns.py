"""Shares the event loop between costly pieces of work and everything else."""

import asyncio
import heapq
import itertools


class Turns:
    """Lets one costly piece of work run in each turn of the event loop.

    What else is ready runs in between. Work that has cost least so far goes
    first, then that which has waited for the longest.
    """

    def __init__(self) -> None:
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()

    async def take(self, cost: int) -> None:
        """Wait for a turn.

        Args:
            cost: What the work has cost or will cost, in any unit that is
                common to all that wait.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = loop.create_future()
        if not self._waiting:
            loop.call_soon(self._grant)
        heapq.heappush(self._waiting, (cost, next(self._numbers), future))
        await future

    def _grant(self) -> None:
        while self._waiting:
            future = heapq.heappop(self._waiting)[2]
            if not future.done():  # It may have been cancelled.
                future.set_result(None)
                break
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._grant)
