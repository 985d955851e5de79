"""The platform's list of instances, kept up to date."""

from collections.abc import Awaitable, Callable

from limpetstream import clock, errors
from limpetstream.platform import events, http, messages
from limpetstream.telemetry import logs

REFRESH_INTERVAL_S = 0.3  # Three refreshes within the list's age limit of 1 s.
READ_TIMEOUT_S = 0.6

Fetch = Callable[[str], Awaitable[messages.InstanceList]]
"""Reads the list; gets the version that is known."""


def make_http_fetch(client: http.Client, *, timeout_s: float = READ_TIMEOUT_S) -> Fetch:
    """Return a function that reads the list over HTTP."""

    async def fetch(version: str) -> messages.InstanceList:
        # An unchanged list of 55 instances would cost 27 KB/s otherwise.
        query = f"?known={http.quote(version)}" if version else ""
        return await client.fetch(
            "GET",
            f"/instances{query}",
            answer_type=messages.InstanceList,
            timeout_s=timeout_s,
        )

    return fetch


class Directory:
    """Instances by id, as the platform last listed them.

    Args:
        fetch: Reads the list once.
        clock: Source of time.
    """

    def __init__(self, *, fetch: Fetch, clock: clock.Clock) -> None:
        self._fetch = fetch
        self._clock = clock
        self._available = True
        self.by_id: dict[str, messages.Instance] = {}
        self.as_of_ms = 0
        self.version = ""
        self.fresh_at = float("-inf")

    def age(self, now: float) -> float:
        """Return seconds since the last successful read was sent.

        Args:
            now: Monotonic time in seconds.
        """
        return now - self.fresh_at

    def with_role(self, role: str) -> list[messages.Instance]:
        """Return the instances of one role, in the order of their ids."""
        found = (entry for entry in self.by_id.values() if entry.role == role)
        return sorted(found, key=lambda instance: instance.id)

    async def refresh(self) -> bool:
        """Read the list once; on failure the old one stays.

        Returns:
            Whether the list was read.
        """
        sent_at = self._clock.monotonic()
        try:
            listed = await self._fetch(self.version)
        except errors.PlatformUnavailable as error:
            if self._available:
                logs.emit(events.LIST_UNAVAILABLE, detail=str(error))
            self._available = False
            return False
        if not self._available:
            logs.emit(events.LIST_AVAILABLE, instances=len(self.by_id))
        self._available = True
        if listed.as_of_ms >= self.as_of_ms:
            self._take(listed, sent_at)
        return True

    def _take(self, listed: messages.InstanceList, sent_at: float) -> None:
        if listed.instances is not None:
            self.by_id = {instance.id: instance for instance in listed.instances}
            self.version = listed.version
        elif listed.version != self.version:
            return
        self.as_of_ms = listed.as_of_ms
        self.fresh_at = sent_at

    async def run_refresh_loop(
        self,
        *,
        interval_s: float = REFRESH_INTERVAL_S,
        on_refresh: Callable[[], None] | None = None,
    ) -> None:
        """Refresh the list again and again, until cancelled.

        Args:
            interval_s: Pause between two reads.
            on_refresh: Called after each successful read.
        """
        while True:
            if await self.refresh() and on_refresh is not None:
                on_refresh()
            await self._clock.sleep(interval_s)
