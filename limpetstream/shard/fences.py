"""Checks against the journal whether a rejected token has a later owner.

An executor that rejects this owner's token has seen that of a later owner. But
another program may answer at its address, and nothing in such an answer says
who has sent it. A later owner has fenced the journal before it calls its first
executor. An append that begins after the answer and is confirmed therefore
shows that there is none.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from limpetstream import errors
from limpetstream.executors import messages

CHECK_TIMEOUT_S = 0.4  # A hundred times the store's usual response time.


class CheckingClient:
    """Client of executors that checks rejections of the token.

    Its methods raise ``TokenOutdated`` only if the append is not confirmed in
    time, and ``PlatformUnavailable`` if it is. After that, rejections by the
    same executor count as lost answers until it accepts the token.

    Args:
        client: Client to call.
        confirm: Waits until an append that begins now is confirmed; raises
            ``WriterFenced`` if there is a later owner.
        newest_token: Returns the highest token that an executor may have seen
            from this owner. A lower one is rejected after a restart.
    """

    def __init__(
        self,
        client: messages.ExecutorClient,
        confirm: Callable[[], Awaitable[None]],
        newest_token: Callable[[str], int] = lambda executor_id: 0,
    ) -> None:
        self._client = client
        self._confirm = confirm
        self._newest_token = newest_token
        self._disproved_ids: set[str] = set()

    async def start(
        self,
        listing: messages.Listing,
        request: messages.StartRequest,
        *,
        timeout_s: float,
    ) -> messages.StartReply:
        """Start one run."""
        async with self._checked(listing, request.token):
            return await self._client.start(listing, request, timeout_s=timeout_s)

    async def stop(
        self,
        listing: messages.Listing,
        task: str,
        run: int,
        token: int,
        *,
        timeout_s: float,
    ) -> None:
        """Stop one run."""
        async with self._checked(listing, token):
            await self._client.stop(listing, task, run, token, timeout_s=timeout_s)

    async def poll(
        self,
        listing: messages.Listing,
        *,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> messages.PollReply:
        """Extend the lease, acknowledge ends and return the runs."""
        async with self._checked(listing, token):
            return await self._client.poll(
                listing,
                token=token,
                acknowledged=acknowledged,
                deadline_ms=deadline_ms,
                wait_ms=wait_ms,
                timeout_s=timeout_s,
            )

    async def pace(
        self,
        listing: messages.Listing,
        task: str,
        run: int,
        percent: int,
        token: int,
        *,
        timeout_s: float,
    ) -> None:
        """Set the percentage of full speed that a run may use."""
        async with self._checked(listing, token):
            await self._client.pace(
                listing, task, run, percent, token, timeout_s=timeout_s
            )

    @contextlib.asynccontextmanager
    async def _checked(
        self, listing: messages.Listing, token: int
    ) -> AsyncIterator[None]:
        executor_id = listing.executor_id
        try:
            yield
        except errors.TokenOutdated as error:
            if token < self._newest_token(executor_id):
                raise errors.PlatformUnavailable(
                    "the call was meant for a former process of the executor"
                ) from error
            if executor_id not in self._disproved_ids:
                await self._disprove(executor_id, error)
            raise errors.PlatformUnavailable(
                "it rejects the token, but the shard has no later owner"
            ) from error
        self._disproved_ids.discard(executor_id)

    async def _disprove(self, executor_id: str, error: errors.TokenOutdated) -> None:
        """Show that there is no later owner.

        Raises:
            TokenOutdated: That could not be shown.
            WriterFenced: There is a later owner.
        """
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                await self._confirm()
        except TimeoutError:
            raise error from None
        self._disproved_ids.add(executor_id)
