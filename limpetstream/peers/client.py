"""HTTP client for signed messages to other entry instances.

Entry instances are the processes that accept requests of callers; as members
they call each other on their peer addresses.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

import pycurl
import tornado.curl_httpclient
import tornado.httpclient

from limpetstream import _curl, errors
from limpetstream.peers import events, messages, signing
from limpetstream.telemetry import logs

MAX_CONCURRENT_CALLS = 256
CONNECT_PROBE_TIMEOUT_S = 0.5


def use_new_connection(curl: Any) -> None:
    """Make libcurl use a new connection for this call.

    libcurl resends a request by itself if a reused connection ends before the
    first byte of the response. On a new connection, it sends it once only.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def use_pooled_connection(curl: Any) -> None:
    """Undo ``use_new_connection``, since tornado reuses libcurl handles."""
    curl.setopt(pycurl.FRESH_CONNECT, 0)
    curl.setopt(pycurl.FORBID_REUSE, 0)


async def is_connection_refused(host: str, port: int) -> bool:
    """Return whether an address refuses connections now.

    libcurl does not distinguish a refused connection from an unreachable host,
    so this tries a plain socket.
    """
    try:
        async with asyncio.timeout(CONNECT_PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


@dataclasses.dataclass(slots=True)
class PeerClient:
    """Sends signed messages to other entry instances.

    The receiver accepts each message at most once, by its nonce.

    Args:
        signer: Signs messages with the first of the shared keys in use; any of
            them verifies replies.
        address_of: Returns the peer address ``host:port`` of a member, or
            None if it is unknown.
        scheme: ``http`` or ``https``.
        ca_file: File of the trusted certificate authorities for ``https``.
        http: HTTP client to use; created on first use if None.
        on_gone: Called with the id of a member that refused a connection, so
            that its rights to resources are claimed without waiting for a
            probe.
    """

    signer: signing.Signer
    address_of: Callable[[str], str | None]
    scheme: str = "http"
    ca_file: str | None = None
    http: tornado.httpclient.AsyncHTTPClient | None = None
    on_gone: Callable[[str], None] = lambda member_id: None

    async def call(
        self,
        member_id: str,
        path: str,
        body: bytes,
        *,
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
        new_connection: bool = False,
    ) -> messages.Reply:
        """Send one message and wait for its reply.

        Without ``new_connection``, libcurl may send the message a second time
        over another connection. The receiver then refuses the second one by
        its nonce, so the call may fail although the message was handled.

        Args:
            member_id: Id of the member that should receive it.
            path: Path that starts with ``/peer/v1/``.
            body: Body; covered by the signature.
            headers: Additional headers; not covered by the signature, so the
                receiver must not rely on them.
            timeout_s: Seconds for the whole call. After a failure, finding out
                whether the address refuses connections may take another 0.5 s.
            new_connection: Whether to use a new connection, so that libcurl
                reports the loss of a connection at once and never sends the
                message twice.

        Returns:
            The authentic reply, whatever its HTTP status.

        Raises:
            PeerGone: The process of the member has ended: its address refuses
                connections, or another instance answers there.
            PeerUnreachable: The address is unknown, there was no authentic
                reply in time, or the member answered that it refuses the
                message. Unless the address is unknown, the member may have
                handled the message, or may still handle it.
        """
        address = self.address_of(member_id)
        if address is None:
            raise errors.PeerUnreachable(f"the address of {member_id} is unknown")
        signed = self.signer.sign("POST", path, member_id, body)
        request = self._request(f"{address}{path}", body, timeout_s)
        # The empty header keeps libcurl from asking for ``100 Continue``.
        request.headers.update({**(headers or {}), **signed, "Expect": ""})
        if new_connection:
            request.prepare_curl_callback = use_new_connection
        reply = await self._fetch(request, member_id, address)
        return self._verified(member_id, signed[messages.PEER_NONCE], reply)

    def _request(
        self, target: str, body: bytes, timeout_s: float
    ) -> tornado.httpclient.HTTPRequest:
        return tornado.httpclient.HTTPRequest(
            f"{self.scheme}://{target}",
            method="POST",
            body=body,
            request_timeout=timeout_s,
            connect_timeout=timeout_s,
            follow_redirects=False,
            ca_certs=self.ca_file,
            prepare_curl_callback=use_pooled_connection,
        )

    async def _fetch(
        self, request: tornado.httpclient.HTTPRequest, member_id: str, address: str
    ) -> messages.Reply:
        if self.http is None:
            self.http = tornado.curl_httpclient.CurlAsyncHTTPClient(
                force_instance=True, max_clients=MAX_CONCURRENT_CALLS
            )
        try:
            response = await self.http.fetch(request, raise_error=False)
        except (tornado.httpclient.HTTPClientError, OSError) as error:
            # After a time-out or a lost connection the member may still run.
            host, _, port = address.rpartition(":")
            if await is_connection_refused(host, int(port)):
                self.on_gone(member_id)
                raise errors.PeerGone(f"{member_id} refuses connections") from error
            raise errors.PeerUnreachable(f"{member_id}: {error}") from error
        return messages.Reply(response.code, response.headers, response.body or b"")

    def _verified(
        self, member_id: str, nonce: str, reply: messages.Reply
    ) -> messages.Reply:
        author = signing.reply_author(self.signer.keys, nonce, reply)
        if author is None:
            logs.emit(events.REPLY_REFUSED, peer=member_id, status=reply.status)
            raise errors.PeerUnreachable(f"the reply of {member_id} is not authentic")
        if author != member_id:
            # Another process listens at the address, so the member has ended.
            raise errors.PeerGone(
                f"{member_id} was replaced by {author} at its address"
            )
        # The member runs, but did not accept the message, for example because
        # of its time or nonce (see ``signing.Verifier.accept``).
        refused = reply.headers.get(messages.PEER_REFUSED)
        if refused:
            raise errors.PeerUnreachable(f"{member_id} refused the message: {refused}")
        return reply

    def close(self) -> None:
        """Close all connections."""
        if self.http is not None:
            _curl.close(self.http)
