"""Appends records to the platform's log and reads them."""

from collections.abc import Iterable

import msgspec

from limpetstream import errors
from limpetstream.platform import http, messages


class _ExpiredAnswer(msgspec.Struct):
    first: int  # Oldest offset that the log still keeps.


class Log:
    """Client of the platform's append-only log.

    The log consists of streams. A frame is the group of records that one
    append adds to a stream; offsets number the frames of a stream. A failed
    append may still take effect, at once or later, and any append may take
    effect twice. This client adds nothing to the records: their encoding must
    let readers drop repeated ones, usually by writer sequence numbers.

    Args:
        client: HTTP client of the platform.
        append_timeout_s: Time limit of an append.
        read_timeout_s: Time limit of a read, in addition to its wait.
    """

    def __init__(
        self,
        *,
        client: http.Client,
        append_timeout_s: float = 2.0,
        read_timeout_s: float = 1.0,
    ) -> None:
        self._client = client
        self._append_timeout_s = append_timeout_s
        self._read_timeout_s = read_timeout_s

    async def append(self, stream: str, lines: Iterable[str]) -> int:
        """Append one frame and return its offset.

        If the append takes effect twice, the offset is the one in the answer
        that was received.

        Args:
            stream: Name of the stream.
            lines: Encoded records of the frame, in order.

        Raises:
            LogUnavailable: The log did not confirm the append: there was no
                answer in time, or an unexpected one. The append may still
                take effect.
        """
        path = f"/log/{http.quote(stream)}/append"
        try:
            appended = await self._client.fetch(
                "POST",
                path,
                {"records": list(lines)},
                answer_type=messages.Appended,
                timeout_s=self._append_timeout_s,
            )
        except errors.PlatformUnavailable as error:
            raise errors.LogUnavailable(str(error)) from error
        return appended.offset

    async def read(
        self, stream: str, start: int, *, max_frames: int = 500, wait_ms: int = 0
    ) -> messages.Page:
        """Read frames, beginning at the offset ``start``.

        Args:
            stream: Name of the stream.
            start: First offset to return.
            max_frames: Maximum number of frames to return.
            wait_ms: Maximum wait for a frame if none is there yet.

        Raises:
            LogUnavailable: The log did not answer in time or failed.
            OffsetExpired: The log no longer keeps the offset ``start``.
        """
        path = (
            f"/log/{http.quote(stream)}/read"
            f"?from={start}&max={max_frames}&wait_ms={wait_ms}"
        )
        try:
            answer = await self._client.call(
                "GET", path, timeout_s=wait_ms / 1000 + self._read_timeout_s
            )
            if answer.status == 410:
                raise _expired_offset_error(answer, start)
            return self._client.decode(answer, messages.Page, f"GET {path}")
        except errors.PlatformUnavailable as error:
            raise errors.LogUnavailable(str(error)) from error


def _expired_offset_error(answer: http.Answer, start: int) -> errors.LimpetstreamError:
    try:
        first = msgspec.json.decode(answer.body, type=_ExpiredAnswer).first
    except msgspec.DecodeError as error:
        return errors.LogUnavailable(
            f"answer 410 for offset {start} cannot be decoded: {error}"
        )
    return errors.OffsetExpired(first)
