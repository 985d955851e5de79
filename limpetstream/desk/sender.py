"""HTTP client for sends of requests to executors."""

import dataclasses
from collections.abc import Callable
from typing import Any

import pycurl
import tornado.curl_httpclient
import tornado.httpclient

from limpetstream import _curl, clock as clocks
from limpetstream.desk import events, messages, slots
from limpetstream.peers import client as peer_client
from limpetstream.settings import schema
from limpetstream.telemetry import logs

# At the send, the right must still be held for this long, and connecting may
# take no longer, so that nothing is written after the right has ended.
MAX_WRITE_DELAY_S = 0.25
MAX_TRANSFERS = 1024
PASSED_THROUGH_HEADERS = ("Content-Type", "Content-Encoding", "Content-Language")


@dataclasses.dataclass(slots=True)
class SendResult:
    """Result of one send.

    Args:
        answer: Complete answer, or None.
        written: Whether any byte of the request may have been written.
        error: Why there is no answer; empty otherwise.
        run_s: Seconds from the send to the end.
    """

    answer: messages.Answer | None
    written: bool
    error: str = ""
    run_s: float = 0.0


class Client(tornado.curl_httpclient.CurlAsyncHTTPClient):
    """HTTP client that bounds the connections to each executor."""

    def initialize(self, *, connections: int = 9, **kwargs: Any) -> None:
        """Set the bound on connections per host, including idle ones."""
        super().initialize(max_clients=MAX_TRANSFERS, **kwargs)
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, connections)


def is_complete(response: tornado.httpclient.HTTPResponse) -> bool:
    """Tell whether a body has the announced length.

    A body that is delimited by the end of its connection may have been
    truncated anywhere, so it counts as incomplete.
    """
    announced_lengths = set(response.headers.get_list("Content-Length"))
    if response.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return not announced_lengths
    if response.code in (204, 304):
        return not response.body
    return announced_lengths == {str(len(response.body or b""))}


@dataclasses.dataclass(slots=True)
class _WriteGuard:
    """Repeats the check when libcurl is about to write the request, once.

    Between the call of ``fetch`` and that moment, the process may have been
    paused or busy for longer than the right lasts. If that moment was never
    reached, nothing was written.

    Args:
        check: Raises if the request must not be written.
        upload: Body of the request, which libcurl may send once only: an
            executor may go on with the first copy while the second one is
            answered and its slot is released.
        new_connection: Whether to open a connection for this request only.
        write_allowed: Whether the check was passed before the write.
        error: Error of the check that failed.
    """

    check: Callable[[], None]
    upload: _curl.Upload
    new_connection: bool
    write_allowed: bool = False
    error: Exception | None = None

    def configure(self, curl: Any) -> None:
        """Set the libcurl options of one transfer."""
        if self.new_connection:
            peer_client.use_new_connection(curl)
        else:
            peer_client.use_pooled_connection(curl)
        self.upload.configure(curl)
        curl.setopt(pycurl.PREREQFUNCTION, self._check_before_write)

    def _check_before_write(self, *address: Any) -> int:
        if self.write_allowed and not self.upload.has_body:
            return pycurl.PREREQFUNC_ABORT  # ``upload`` cannot refuse a resend.
        try:
            self.check()
        except Exception as error:
            self.error = error
            return pycurl.PREREQFUNC_ABORT
        self.write_allowed = True
        return pycurl.PREREQFUNC_OK


@dataclasses.dataclass(slots=True)
class Sender:
    """Sends requests to executors; each call sends at most once.

    Args:
        clock: Clock that measures run times.
        client_by_group_and_service: HTTP clients, separate so that the
            connections of a lost group can be closed alone.
    """

    clock: clocks.Clock
    client_by_group_and_service: dict[tuple[str, str], Client] = dataclasses.field(
        default_factory=dict
    )

    async def send(
        self,
        executor: slots.Executor,
        request: messages.Request,
        service: schema.Service,
        *,
        timeout_s: float,
        check: Callable[[], None],
    ) -> SendResult:
        """Send one request.

        Args:
            executor: Executor to send to; a slot there must have been taken.
            request: Request to send.
            service: Settings of the service.
            timeout_s: Longest wait for the complete answer, in seconds.
            check: Called before connecting and again directly before the
                first byte is written; raises to stop the send.

        Raises:
            Exception: ``check`` raised; nothing was written.
        """
        client = self._client_for(executor, service)
        upload = _curl.Upload(request.body)
        guard = _WriteGuard(check, upload, new_connection=not request.idempotent)
        http_request = _http_request(executor, request, timeout_s, guard)
        started = self.clock.monotonic()
        check()
        try:
            response = await client.fetch(http_request, raise_error=False)
        except tornado.curl_httpclient.CurlError as error:
            if guard.error is not None and not guard.write_allowed:
                raise guard.error from error
            run_s = self.clock.monotonic() - started
            return SendResult(None, guard.write_allowed, str(error), run_s)
        except (tornado.httpclient.HTTPClientError, OSError) as error:
            return SendResult(None, True, str(error), self.clock.monotonic() - started)
        return self._to_result(response, executor, started)

    def _to_result(
        self,
        response: tornado.httpclient.HTTPResponse,
        executor: slots.Executor,
        started: float,
    ) -> SendResult:
        run_s = self.clock.monotonic() - started
        if response.code == 599 or not is_complete(response):
            logs.emit(events.ANSWER_NOT_WHOLE, executor=executor.id)
            return SendResult(None, True, "the answer is incomplete", run_s)
        headers = {
            name: response.headers[name]
            for name in PASSED_THROUGH_HEADERS
            if name in response.headers
        }
        answer = messages.Answer(
            outcome="answered" if response.code < 500 else "failed",
            status=response.code,
            headers=headers,
            body=response.body or b"",
            data_centre=executor.data_centre,
            executor_s=run_s,
        )
        return SendResult(answer, True, "", run_s)

    def _client_for(self, executor: slots.Executor, service: schema.Service) -> Client:
        key = (executor.group, executor.service)
        client = self.client_by_group_and_service.get(key)
        if client is None:
            connections = slots.connections_per_holder(service)
            client = Client(force_instance=True, connections=connections)
            self.client_by_group_and_service[key] = client
        return client

    def close(self, group: str) -> None:
        """Close the idle connections of a group with no request in flight."""
        for key in [key for key in self.client_by_group_and_service if key[0] == group]:
            _curl.close(self.client_by_group_and_service.pop(key))

    def close_all(self) -> None:
        """Close all connections."""
        for client in self.client_by_group_and_service.values():
            _curl.close(client)
        self.client_by_group_and_service.clear()


def _http_request(
    executor: slots.Executor,
    request: messages.Request,
    timeout_s: float,
    guard: _WriteGuard,
) -> tornado.httpclient.HTTPRequest:
    return tornado.httpclient.HTTPRequest(
        url_of(executor, request.service),
        method="POST",
        headers={
            "Content-Type": request.content_type,
            "Request-Id": request.request_id,
            "Expect": "",
        },
        body=request.body,
        connect_timeout=MAX_WRITE_DELAY_S,
        request_timeout=timeout_s,
        follow_redirects=False,
        decompress_response=False,
        prepare_curl_callback=guard.configure,
    )


def url_of(executor: slots.Executor, service: str) -> str:
    """Return the URL of a service at an executor."""
    address = executor.address
    base = address if "://" in address else f"http://{address}"
    return f"{base}/{service}"
