"""Clients whose calls take processor time of their instance, on virtual time.

While one callback uses the processor, all others of the loop are late, as in a
process with one thread on a slow processor.
"""

import dataclasses
from typing import Any

from limpetstream.executors import messages
from standins import virtual_time


@dataclasses.dataclass(slots=True, frozen=True)
class Costs:
    """Processor time of one instance, in seconds.

    Args:
        call_s: Time to send a call, and again to read its answer.
        start_s: The same for a start, which carries the text of its job.
        row_s: Time for each run or end in the answer to a poll.
        pass_s: Time of a scheduling pass.
    """

    call_s: float = 0.0006
    start_s: float = 0.0012
    row_s: float = 0.00005
    pass_s: float = 0.002


class CostlyClient:
    """Proxy of a client of executors or the store whose calls have a cost.

    Args:
        client: Client to call.
        costs: Costs of the instance.
        loop: Loop on virtual time.
    """

    def __init__(self, client: object, costs: Costs, loop: virtual_time.Loop) -> None:
        self._client = client
        self._costs = costs
        self._loop = loop

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._client, name)
        cost_s = self._costs.start_s if name == "start" else self._costs.call_s

        async def call(*args: object, **kwargs: object) -> object:
            self._loop.use_processor(cost_s)
            try:
                reply = await method(*args, **kwargs)
            finally:
                self._loop.use_processor(cost_s)
            if isinstance(reply, messages.PollReply):
                rows = len(reply.running) + len(reply.ended)
                self._loop.use_processor(self._costs.row_s * rows)
            return reply

        return call
