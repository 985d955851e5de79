"""Writes snapshots of the view before records of the control stream expire."""

import asyncio
import dataclasses
from collections.abc import Callable

from limpetstream import clock, errors
from limpetstream.membership import members, ranking
from limpetstream.records import codec, committer, view
from limpetstream.snapshots import events, messages, pages
from limpetstream.telemetry import logs

# Each member gives the one ranked before it this much time to write.
RANK_DELAY_S = 5.0
TICK_S = 0.5
# A page may wait behind other appends. If a page takes longer than this, the
# snapshot is abandoned and left to the next instance.
PAGE_TIMEOUT_S = 20.0


@dataclasses.dataclass(slots=True)
class SnapshotWriter:
    """Writes a snapshot every quarter of the retention time.

    The members are ranked for each snapshot, and each gives those before it
    time to write it. Two instances may still write the same snapshot, which
    does no harm.

    Args:
        stream: Writer of the ``snapshots`` stream.
        view: View to write.
        members: Members that share the work.
        own_id: Id of this member.
        clock: Clock of this process.
        retention_s: Retention time of the log in seconds.
        latest_number: Returns the number of the newest complete snapshot that
            this instance has seen on the stream, or -1 if there is none.
        max_view_age_s: Maximum age in seconds of a view that is written.
        last_written_number: Number of the last snapshot that this instance
            has written, or -1.
    """

    stream: committer.StreamWriter
    view: view.View
    members: members.Members
    own_id: str
    clock: clock.Clock
    retention_s: float
    latest_number: Callable[[], int]
    max_view_age_s: float = 1.0
    last_written_number: int = -1
    _sequence: int = 0

    @property
    def interval_s(self) -> float:
        """Seconds between two snapshots."""
        return self.retention_s / 4

    async def run(self) -> None:
        """Write snapshots until the task is cancelled."""
        while True:
            number, elapsed_s = divmod(self.clock.wall(), self.interval_s)
            if self.is_due(int(number), elapsed_s, self.clock.monotonic()):
                await self.write(int(number))
            await self.clock.sleep(TICK_S)

    def is_due(self, number: int, elapsed_s: float, now: float) -> bool:
        """Return whether this instance has to write a snapshot now.

        Args:
            number: Number of the snapshot: the count of past intervals.
            elapsed_s: Seconds since the interval began.
            now: Monotonic time in seconds.
        """
        if max(self.last_written_number, self.latest_number()) >= number:
            return False
        if self.view.age(now) > self.max_view_age_s:
            return False
        order = ranking.ranked(self.members.active(), f"snapshot/{number}")
        rank = ranking.rank_of(order, self.own_id)
        return rank is not None and elapsed_s >= rank * RANK_DELAY_S

    async def write(self, number: int) -> bool:
        """Write one snapshot and return whether it is complete.

        Args:
            number: Number of the snapshot.
        """
        # No other task runs during the dump: it has the state at one offset.
        upto = self.view.next_offset - 1
        page_data = list(pages.split_into_pages(pages.dump_lines(self.view)))
        snapshot_id = f"{number}.{self.own_id}.{self._sequence}"
        mark = messages.Complete(
            snapshot_id, upto, len(page_data), pages.checksum(page_data)
        )
        try:
            for index, data in enumerate(page_data):
                page = messages.Page(snapshot_id, index, data)
                await self._append(messages.PAGE_KIND, page)
                await asyncio.sleep(0)
            await self._append(messages.COMPLETE_KIND, mark)
        except errors.LogUnavailable as error:
            logs.emit(events.SNAPSHOT_FAILED, snapshot=snapshot_id, detail=str(error))
            return False
        self.last_written_number = max(self.last_written_number, number)
        logs.emit(
            events.SNAPSHOT_WRITTEN,
            snapshot=snapshot_id,
            upto=upto,
            pages=len(page_data),
        )
        return True

    async def _append(self, kind: str, body: messages.Page | messages.Complete) -> None:
        self._sequence += 1
        line = codec.encode(
            codec.Envelope(k=kind, v=1, w=self.own_id, n=self._sequence, b=body)
        )
        await self.stream.append([line], timeout_s=PAGE_TIMEOUT_S)


def number_from_id(snapshot_id: str) -> int:
    """Return the number in the id of a snapshot, or -1 if it has none.

    >>> number_from_id("17.e1.0"), number_from_id("x")
    (17, -1)
    """
    number_text = snapshot_id.partition(".")[0]
    return int(number_text) if number_text.isascii() and number_text.isdigit() else -1
