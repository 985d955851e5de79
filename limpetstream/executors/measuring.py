"""Measures how long executors take to answer, for the window of calls."""

import contextlib
from collections.abc import Iterator

from limpetstream import clock as clock_module, errors
from limpetstream.executors import messages, sending


class MeasuringClient:
    """Client of executors that notes the delay of each prompt answer.

    Args:
        client: Client to call.
        window: Window of the owner.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        client: messages.ExecutorClient,
        window: sending.SendWindow,
        clock: clock_module.Clock,
    ) -> None:
        self._client = client
        self._window = window
        self._clock = clock

    async def start(
        self,
        listing: messages.Listing,
        request: messages.StartRequest,
        *,
        timeout_s: float,
    ) -> messages.StartReply:
        """Start one run."""
        with self._measured(listing):
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
        with self._measured(listing):
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
        with self._measured(listing, wait_ms / 1000):
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
        with self._measured(listing):
            await self._client.pace(
                listing, task, run, percent, token, timeout_s=timeout_s
            )

    @contextlib.contextmanager
    def _measured(
        self, listing: messages.Listing, wait_s: float = 0.0
    ) -> Iterator[None]:
        sent_at = self._clock.monotonic()
        try:
            yield
        except errors.PlatformUnavailable:
            self._window.note_silence(listing.executor_id)
            raise
        # A poll that waits is answered earlier if a run ends meanwhile.
        self._window.note_answer(self._clock.monotonic() - sent_at - wait_s)
