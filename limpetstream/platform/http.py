"""Asynchronous JSON client of the platform's HTTP interface.

The platform keeps the log and the instance list, and forwards calls to
workers.
"""

import asyncio
import dataclasses
import math
import urllib.parse
from typing import Any

import msgspec
from tornado import httpclient

from limpetstream import _curl, _curl_client, clock, errors
from limpetstream.platform import events
from limpetstream.telemetry import logs

# Long polls, and calls that the platform forwards to workers that do not
# answer, must not make other calls wait.
MAX_CONCURRENT_CALLS = 256
# Enough libcurl handles for an idle instance; more are created on demand.
INITIAL_HANDLES = 16
MAX_DETAIL_CHARACTERS = 200  # Quoted from the body of an unexpected answer.
# Open connections per concurrent call; idle ones stay open beside those in
# use, for the next burst (see ``_curl.set_max_connections``).
OPEN_CONNECTIONS_FACTOR = 2
# libcurl adds the empty ones unless they are given, and then leaves them out.
# A poll has a body of 100 bytes, so they would be a fifth of it.
_HEADER_LINES = (
    b"Content-Type: application/json",
    b"Accept:",
    b"User-Agent:",
    b"Expect:",
    b"Pragma:",
)
# Unexpected answers of a platform of another version would flood the logs.
REPORT_INTERVAL_S = 10.0
CUT_REPORT_INTERVAL_S = 1.0  # For each kind of call; counters tell the others.
# libcurl looks for open connections that servers have closed once a second.
# Until then it may take such a one for each further call.
NEW_CONNECTIONS_S = 1.2


@dataclasses.dataclass(slots=True)
class Answer:
    """Answer of the platform to one call.

    Args:
        status: HTTP status.
        body: Body as received.
        sent_at: Monotonic time before the call was queued and sent, in
            seconds.
        received_at: Monotonic time after the answer was read, in seconds.
        delivery: How the call went out.
    """

    status: int
    body: bytes
    sent_at: float
    received_at: float
    delivery: errors.Delivery = dataclasses.field(default_factory=errors.Delivery)


@dataclasses.dataclass(slots=True)
class Traffic:
    """Traffic counters of one client.

    Args:
        calls: Calls sent.
        failures: Calls without a usable answer.
        sent_bytes: Bytes of paths and bodies sent; the head of a request adds
            about 200 to each.
        received_bytes: Bytes of bodies received.
        cut_off: Calls whose reused connection broke before the answer, and
            which libcurl would have sent again.
        opened_connections: Connections opened.
    """

    calls: int = 0
    failures: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    cut_off: int = 0
    opened_connections: int = 0


class Client:
    """Sends JSON calls to one platform and maps failures to errors.

    A call with a body is sent at most once (see ``_curl.Upload``): callers
    decide themselves whether they repeat it. libcurl may send one without a
    body again, so those must be reads.

    Args:
        base_url: Base URL of the platform, such as
            ``http://127.0.0.1:9000``.
        clock: Time source of the times in answers.
        connect_timeout_s: Time limit for opening a connection.
        max_clients: Maximum number of calls in flight; further calls wait.
        max_connections_per_address: Maximum number of connections to one host
            and port, idle ones included; 0 for no limit. Further calls wait,
            within their time limits.
        counters_of: Client whose traffic counters are used, too; None for new
            counters.
    """

    def __init__(
        self,
        *,
        base_url: str,
        clock: clock.Clock,
        connect_timeout_s: float = 0.5,
        max_clients: int = MAX_CONCURRENT_CALLS,
        max_connections_per_address: int = 0,
        counters_of: "Client | None" = None,
    ) -> None:
        self.base_url = base_url.rstrip("/")
        self.clock = clock
        self.traffic = counters_of.traffic if counters_of else Traffic()
        self.traffic_by_call: dict[str, Traffic] = (
            counters_of.traffic_by_call if counters_of else {}
        )
        self._connect_timeout_s = connect_timeout_s
        self._reported_at = float("-inf")
        self._cut_reported_at_by_call: dict[str, float] = {}
        self._cut_off_at_by_address: dict[str, float] = {}
        self._max_clients = max_clients
        self._curl = _curl_client.Client(
            force_instance=True, max_clients=min(INITIAL_HANDLES, max_clients)
        )
        _curl.set_max_connections(self._curl, max_clients * OPEN_CONNECTIONS_FACTOR)
        if max_connections_per_address:
            _curl.set_max_connections_per_address(
                self._curl, max_connections_per_address
            )

    def close(self) -> None:
        """Close all connections; calls in flight never return.

        Later calls raise ``RuntimeError``.
        """
        _curl.close(self._curl)

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one call and return its answer, of any status but 503.

        Args:
            method: HTTP method.
            path: Path and query, already quoted.
            body: Value to send as JSON; None sends no body, bytes are sent
                unchanged.
            timeout_s: Time limit of the call, including the connection; a wait
                for one of ``max_clients`` calls to end is not counted.
            headers: Additional headers.

        Raises:
            PlatformUnavailable: The call timed out, the connection failed, the
                status is 503, or the path or a header cannot be sent.
                ``not_applied`` is true if the sending of the body was not
                begun, or the answer is 503, which is taken to mean that the
                call had no effect. ``answer_began`` is true if a part of the
                answer's body arrived before the time limit.
        """
        sent_at = self.clock.monotonic()
        _check_sendable(method, path, headers or {})
        url = self.base_url + path
        upload = _curl.Upload(_encode(body))
        call = self._make_call(method, url, upload, timeout_s, headers)
        counted = self._count_sent(path, len(path) + upload.size)
        _curl.ensure_free_handle(self._curl, self._max_clients)
        try:
            self._curl.send(call)
            status, raw = await call.response
        except (httpclient.HTTPError, OSError) as error:
            self._count_failure(counted)
            delivery = upload.delivery()
            raise errors.PlatformUnavailable(
                f"{method} {path}: {error}",
                not_applied=delivery.not_applied,
                answer_began=_curl.received_bytes(error) > 0,
                delivery=delivery,
            ) from error
        finally:
            self._count_upload(url, counted, upload)
        delivery = upload.delivery(status)
        self.traffic.received_bytes += len(raw)
        counted.received_bytes += len(raw)
        if status == 503:
            self._count_failure(counted)
            raise errors.PlatformUnavailable(
                f"{method} {path}: Service Unavailable",
                not_applied=delivery.not_applied,
                delivery=delivery,
            )
        return Answer(status, raw, sent_at, self.clock.monotonic(), delivery)

    async def fetch(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        answer_type: Any,
        timeout_s: float,
    ) -> Any:
        """Send one call and decode its answer to ``answer_type``.

        Raises:
            PlatformUnavailable: As for ``call``; also a status other than 200,
                or a body that cannot be decoded (see ``decode``).
        """
        answer = await self.call(method, path, body, timeout_s=timeout_s)
        return self.decode(answer, answer_type, f"{method} {path}")

    def decode(self, answer: Answer, answer_type: Any, call: str) -> Any:
        """Decode an answer of status 200.

        Args:
            answer: Answer to decode.
            answer_type: Type of the decoded body.
            call: Method and path, for messages.

        Raises:
            PlatformUnavailable: Another status, or a body that does not fit
                the type. Whether the call took effect is then unknown, as
                without an answer, so ``not_applied`` is false.
        """
        if answer.status == 200:
            try:
                return msgspec.json.decode(answer.body, type=answer_type)
            except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
                detail = f"body cannot be decoded: {error}"
        else:
            text = answer.body[:MAX_DETAIL_CHARACTERS].decode(errors="replace")
            detail = f"status {answer.status}: {text}"
        self.traffic.failures += 1
        now = self.clock.monotonic()
        if now >= self._reported_at + REPORT_INTERVAL_S:
            self._reported_at = now
            logs.emit(events.UNEXPECTED_ANSWER, call=call, detail=detail)
        raise errors.PlatformUnavailable(f"{call}: {detail}", delivery=answer.delivery)

    def _count_sent(self, path: str, size: int) -> Traffic:
        """Count a call that is being sent; return the counters of its kind."""
        self.traffic.calls += 1
        self.traffic.sent_bytes += size
        name = call_name(path)
        counted = self.traffic_by_call.get(name)
        if counted is None:
            counted = self.traffic_by_call[name] = Traffic()
        counted.calls += 1
        counted.sent_bytes += size
        return counted

    def _count_failure(self, counted: Traffic) -> None:
        self.traffic.failures += 1
        counted.failures += 1

    def _make_call(
        self,
        method: str,
        url: str,
        upload: _curl.Upload,
        timeout_s: float,
        headers: dict[str, str] | None,
    ) -> _curl_client.Call:
        return _curl_client.Call(
            method,
            url,
            _header_lines(headers),
            upload,
            min(self._connect_timeout_s, timeout_s),
            timeout_s,
            asyncio.get_running_loop().create_future(),
            new_connection=self._needs_new_connection(url, self.clock.monotonic()),
        )

    def _needs_new_connection(self, url: str, now: float) -> bool:
        """Whether the open connections to the address of a call may be closed.

        A call that takes a closed one fails, as it is not sent again.
        """
        if not self._cut_off_at_by_address:
            return False
        address = _address(url)
        cut_off_at = self._cut_off_at_by_address.get(address)
        if cut_off_at is None or now - cut_off_at <= NEW_CONNECTIONS_S:
            return cut_off_at is not None
        del self._cut_off_at_by_address[address]
        return False

    def _count_upload(self, url: str, counted: Traffic, upload: _curl.Upload) -> None:
        """Count how the body of a call was sent; note a broken connection."""
        for traffic in (self.traffic, counted):
            traffic.cut_off += upload.is_resend_refused
            traffic.opened_connections += upload.opened_connections
        if not upload.is_resend_refused:
            return
        call, now = call_name(url), self.clock.monotonic()
        self._cut_off_at_by_address[_address(url)] = now
        reported_at = self._cut_reported_at_by_call.get(call, float("-inf"))
        if now >= reported_at + CUT_REPORT_INTERVAL_S:
            self._cut_reported_at_by_call[call] = now
            logs.emit(
                events.CALL_CUT_OFF,
                call=call,
                address=_address(url),
                cut_off=counted.cut_off,
            )


def _check_sendable(method: str, path: str, headers: dict[str, str]) -> None:
    """Check the texts for which libcurl's binding raises errors of its own.

    Addresses and ids come from entries that other programs may write.

    Raises:
        PlatformUnavailable: A text holds other than printable ASCII.
    """
    for text in (path, *headers.values()):
        if not (text.isascii() and text.isprintable()):
            shown = ascii(text[:MAX_DETAIL_CHARACTERS])
            raise errors.PlatformUnavailable(
                f"{method}: {shown} cannot be sent", not_applied=True
            )


def _header_lines(headers: dict[str, str] | None) -> list[bytes]:
    lines = [*_HEADER_LINES]
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}".encode())
    return lines


def _encode(body: Any) -> bytes | None:
    if body is None or isinstance(body, bytes):
        return body
    return msgspec.json.encode(body)


def _address(url: str) -> str:
    """Return the host and port of a URL.

    >>> _address("http://127.0.0.1:80/calls/start?part=0")
    '127.0.0.1:80'
    """
    return url.partition("//")[2].partition("/")[0]


def call_name(path: str) -> str:
    """Return the last segment of a path, without its query.

    >>> call_name("http://127.0.0.1:80/calls/start?part=0")
    'start'
    """
    return path.partition("?")[0].rpartition("/")[2]


def quote(segment: str) -> str:
    """Return a path segment with every reserved character quoted.

    >>> quote("gl-erie/w 1")
    'gl-erie%2Fw%201'
    """
    return urllib.parse.quote(segment, safe="")


def whole_ms(seconds: float) -> int:
    """Return whole milliseconds, rounded down so that lower bounds stay valid.

    >>> whole_ms(1.0009)
    1000
    """
    return math.floor(seconds * 1000)
