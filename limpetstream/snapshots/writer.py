"""Writes snapshots of the view before the control stream expires."""

import asyncio
import dataclasses
from collections.abc import Callable

from limpetstream import clock, errors
from limpetstream.membership import members, ranking
from limpetstream.records import codec, committer, view
from limpetstream.snapshots import events, messages, pages
from limpetstream.telemetry import logs

RANK_DELAY_S = 5.0
TICK_S = 0.5
# One page may take a while behind other appends; the snapshot is given up
# and left to the next instance if one takes longer.
PAGE_TIMEOUT_S = 20.0


@dataclasses.dataclass(slots=True)
class SnapshotWriter:
    """Writes a snapshot every quarter of the retention time.

    Several instances may write the same number; two snapshots do no harm.

    Args:
        stream: Writer of the ``snapshots`` stream.
        view: View that is written.
        members: Members, of which one after the other has its turn.
        own_id: Id of this member.
        clock: Time of this process.
        retention_s: Retention time of the log, in seconds.
        latest_number: Gives the number of the newest complete snapshot that
            this instance has seen on the stream, and -1 if there is none.
        max_view_age_s: Age in seconds over which the view is too old to be
            written.
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
            number, into_s = divmod(self.clock.wall(), self.interval_s)
            if self.is_due(int(number), into_s, self.clock.monotonic()):
                await self.write(int(number))
            await self.clock.sleep(TICK_S)

    def is_due(self, number: int, into_s: float, now: float) -> bool:
        """Return whether this instance has to write a snapshot now.

        Args:
            number: Number of the snapshot, the count of past intervals.
            into_s: Seconds since the interval began.
            now: Monotonic time.
        """
        if max(self.last_written_number, self.latest_number()) >= number:
            return False
        if self.view.age(now) > self.max_view_age_s:
            return False
        order = ranking.ranked(self.members.active(), f"snapshot/{number}")
        rank = ranking.rank_of(order, self.own_id)
        return rank is not None and into_s >= rank * RANK_DELAY_S

    async def write(self, number: int) -> bool:
        """Write one snapshot and return whether it is complete.

        Args:
            number: Number of the snapshot.
        """
        # The dump is made without a pause: it is the state at one offset.
        upto = self.view.next_offset - 1
        cut = list(pages.split_into_pages(pages.dump_lines(self.view)))
        name = f"{number}.{self.own_id}.{self._sequence}"
        mark = messages.Complete(name, upto, len(cut), pages.checksum(cut))
        try:
            for index, data in enumerate(cut):
                page = messages.Page(name, index, data)
                await self._append(messages.PAGE_KIND, page)
                await asyncio.sleep(0)
            await self._append(messages.COMPLETE_KIND, mark)
        except errors.LogUnavailable as error:
            logs.emit(events.SNAPSHOT_FAILED, snapshot=name, detail=str(error))
            return False
        self.last_written_number = max(self.last_written_number, number)
        logs.emit(events.SNAPSHOT_WRITTEN, snapshot=name, upto=upto, pages=len(cut))
        return True

    async def _append(self, kind: str, body: messages.Page | messages.Complete) -> None:
        self._sequence += 1
        line = codec.encode(
            codec.Envelope(k=kind, v=1, w=self.own_id, n=self._sequence, b=body)
        )
        await self.stream.append([line], timeout_s=PAGE_TIMEOUT_S)


def number_from_id(snapshot_id: str) -> int:
    """Return the number in a snapshot's id, or -1 if there is none.

    >>> number_from_id("17.e1.0"), number_from_id("x")
    (17, -1)
    """
    head = snapshot_id.partition(".")[0]
    return int(head) if head.isascii() and head.isdigit() else -1
