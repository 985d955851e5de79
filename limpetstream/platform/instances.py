"""Polls the platform's instance list and keeps the newest version."""

from collections.abc import Awaitable, Callable

from limpetstream import clock, errors
from limpetstream.platform import events, http, messages
from limpetstream.telemetry import logs

REFRESH_INTERVAL_S = 0.3  # Three reads within the list's maximum age of 1 s.
READ_TIMEOUT_S = 0.6

Fetch = Callable[[str], Awaitable[messages.InstanceList]]
"""Reads the list; gets the version that the caller already has."""


def make_http_fetch(client: http.Client, *, timeout_s: float = READ_TIMEOUT_S) -> Fetch:
    """Return a function that reads the instance list over HTTP."""

    async def fetch(version: str) -> messages.InstanceList:
        # The platform omits an unchanged list; without this, a list of 55
        # instances would cost 27 KB/s.
        query = f"?known={http.quote(version)}" if version else ""
        return await client.fetch(
            "GET",
            f"/instances{query}",
            answer_type=messages.InstanceList,
            timeout_s=timeout_s,
        )

    return fetch


class Directory:
    """Keeps the newest instance list of the platform.

    Args:
        fetch: Reads the list once.
        clock: Time source.

    Attributes:
        by_id: Listed instances by id.
        as_of_ms: Time of the list on the platform's clock.
        version: Version of the list.
        fresh_at: Monotonic time, in seconds, at which the read that last
            confirmed the list was sent.
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
        """Return the age of the list in seconds.

        The age counts from the moment before the read was sent, so it is an
        upper bound.

        Args:
            now: Monotonic time in seconds.
        """
        return now - self.fresh_at

    def with_role(self, role: str) -> list[messages.Instance]:
        """Return the instances with a role, ordered by id."""
        matching = (each for each in self.by_id.values() if each.role == role)
        return sorted(matching, key=lambda instance: instance.id)

    async def refresh(self) -> bool:
        """Read the list once; after a failure the previous list stays.

        Returns:
            Whether the list was read.
        """
        sent_at = self._clock.monotonic()
        try:
            instance_list = await self._fetch(self.version)
        except errors.PlatformUnavailable as error:
            if self._available:
                logs.emit(events.LIST_UNAVAILABLE, detail=str(error))
            self._available = False
            return False
        if not self._available:
            logs.emit(events.LIST_AVAILABLE, instances=len(self.by_id))
        self._available = True
        if instance_list.as_of_ms >= self.as_of_ms:
            self._apply(instance_list, sent_at)
        return True

    def _apply(self, instance_list: messages.InstanceList, sent_at: float) -> None:
        if instance_list.instances is not None:
            self.by_id = {instance.id: instance for instance in instance_list.instances}
            self.version = instance_list.version
        elif instance_list.version != self.version:
            return
        self.as_of_ms = instance_list.as_of_ms
        self.fresh_at = sent_at

    async def run_refresh_loop(
        self,
        *,
        interval_s: float = REFRESH_INTERVAL_S,
        on_refresh: Callable[[], None] | None = None,
    ) -> None:
        """Refresh the list periodically until cancelled.

        Args:
            interval_s: Pause between two reads, in seconds.
            on_refresh: Called after each successful read.
        """
        while True:
            if await self.refresh() and on_refresh is not None:
                on_refresh()
            await self._clock.sleep(interval_s)
