"""Admits the requests of callers and logs why others are refused."""

import collections

from limpetstream import clock as clock_module, errors
from limpetstream.organisations import events, freshness, keys, revocations
from limpetstream.telemetry import logs
from limpetstream.workflow import messages

REPORT_INTERVAL_S = 1.0  # Of the line about refused requests.


class Admissions:
    """Decides which requests are served, by the configuration in force.

    Args:
        freshness_: Age of the configuration.
        clock: Source of time that includes suspensions of the machine.
    """

    def __init__(
        self, freshness_: freshness.Freshness, clock: clock_module.Clock
    ) -> None:
        self._freshness = freshness_
        self._clock = clock
        self._count_by_reason: collections.Counter[str] = collections.Counter()
        self._reported_at = float("-inf")
        self._stale_since: float | None = None

    def admit(
        self,
        configuration: messages.Configuration,
        queue: messages.Queue,
        authorization: str | None,
    ) -> revocations.Admission:
        """Admit a request that was read completely.

        Args:
            configuration: Configuration in force.
            queue: Queue that the request concerns.
            authorization: Authorization header; None if there is none.

        Raises:
            Rejected: The request needs a key, or has an unknown one.
            NotRun: The configuration may be outdated.
        """
        if not configuration.organisation_by_name:
            return revocations.NO_KEY
        is_fresh = self.is_fresh(configuration)
        try:
            organisation = keys.admit(
                configuration.keys,
                authorization,
                needs_key=queue.needs_key,
                is_fresh=is_fresh,
            )
        except (errors.Rejected, errors.NotRun) as error:
            self._note_refusal(error.reason)
            raise
        if not organisation:
            return revocations.NO_KEY
        return revocations.Admission(organisation, configuration.version)

    def is_fresh(self, configuration: messages.Configuration) -> bool:
        """Return whether requests with a key can be judged; log changes."""
        if not configuration.organisation_by_name:
            return True
        now = self._clock.monotonic()
        is_fresh = self._freshness.is_fresh(now)
        if not is_fresh and self._stale_since is None:
            self._stale_since = now
            logs.emit(
                events.CONFIGURATION_NOT_FRESH,
                version=configuration.version,
                age_ms=logs.ms_since(now, self._freshness.sent_at),
                limit_ms=round(self._freshness.limit_s * 1000),
            )
        elif is_fresh and self._stale_since is not None:
            logs.emit(
                events.CONFIGURATION_FRESH,
                version=configuration.version,
                after_ms=round((now - self._stale_since) * 1000),
            )
            self._stale_since = None
        return is_fresh

    async def run(self) -> None:
        """Log refusals that no later one reports, until cancelled."""
        try:
            while True:
                await self._clock.sleep(REPORT_INTERVAL_S)
                self._report_if_due()
        finally:
            self._report()

    def _note_refusal(self, reason: str) -> None:
        self._count_by_reason[reason] += 1
        self._report_if_due()

    def _report_if_due(self) -> None:
        now = self._clock.monotonic()
        if self._count_by_reason and now >= self._reported_at + REPORT_INTERVAL_S:
            self._reported_at = now
            self._report()

    def _report(self) -> None:
        for name, count in sorted(self._count_by_reason.items()):
            logs.emit(events.ADMISSION_REFUSED, reason=name, requests=count)
        self._count_by_reason.clear()
