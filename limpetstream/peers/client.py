"""Client of other entry instances."""

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
    """Keep libcurl from using a pooled connection for this call.

    libcurl sends a request again by itself when a reused connection ends
    before the first byte of the response.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def use_pooled_connection(curl: Any) -> None:
    """Undo ``use_new_connection`` on a handle that is used again."""
    curl.setopt(pycurl.FRESH_CONNECT, 0)
    curl.setopt(pycurl.FORBID_REUSE, 0)


async def is_connection_refused(host: str, port: int) -> bool:
    """Tell whether nothing listens at an address.

    libcurl reports a refused connection and an unreachable host alike, so a
    plain socket decides.
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
    """Sends signed messages to other entry instances, each at most once.

    Args:
        signer: Signs messages; its keys also verify replies.
        address_of: Peer address ``host:port`` of a member, or None.
        scheme: ``http`` or ``https``.
        ca_file: Authorities for ``https``.
        http: Client to use; made on first use when None.
        on_gone: Told which member refused a connection, so that its rights
            are claimed without waiting for a probe.
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

        Without ``fresh``, libcurl may send the message a second time over
        another connection; the receiver refuses it by its nonce.

        Args:
            member_id: Member that is to receive it.
            path: Path that starts with ``/peer/v1/``.
            body: Body; signed.
            headers: Further headers; not signed.
            timeout_s: Seconds for the whole call.
            new_connection: Use a connection of its own, so that a lost
                connection is reported at once and nothing is ever sent twice.

        Raises:
            PeerGone: The process of that member has ended.
            PeerUnreachable: No authentic reply; the member may still act.
        """
        address = self.address_of(member_id)
        if address is None:
            raise errors.PeerUnreachable(f"no address of {member_id}")
        signed = self.signer.sign("POST", path, member_id, body)
        request = self._request(f"{address}{path}", body, timeout_s)
        request.headers.update({**(headers or {}), **signed, "Expect": ""})
        if new_connection:
            request.prepare_curl_callback = use_new_connection
        reply = await self._fetch(request, member_id, address)
        return self._checked(member_id, signed[messages.PEER_NONCE], reply)

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
            host, _, port = address.rpartition(":")
            if await is_connection_refused(host, int(port)):
                self.on_gone(member_id)
                raise errors.PeerGone(f"{member_id} refuses connections") from error
            raise errors.PeerUnreachable(f"{member_id}: {error}") from error
        return messages.Reply(response.code, response.headers, response.body or b"")

    def _checked(
        self, member_id: str, nonce: str, reply: messages.Reply
    ) -> messages.Reply:
        author = signing.reply_author(self.signer.keys, nonce, reply)
        if author is None:
            logs.emit(events.REPLY_REFUSED, peer=member_id, status=reply.status)
            raise errors.PeerUnreachable(f"{member_id}: reply is not authentic")
        if author != member_id:
            # Another process listens there now, so the member's has ended.
            raise errors.PeerGone(f"{member_id} was replaced by {author}")
        refused = reply.headers.get(messages.PEER_REFUSED)
        if refused:
            raise errors.PeerUnreachable(f"{member_id} refused the message: {refused}")
        return reply

    def close(self) -> None:
        """Close all connections."""
        if self.http is not None:
            _curl.close(self.http)
