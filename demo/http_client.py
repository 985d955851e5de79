"""HTTP client for the callers and the operator of the demonstration."""

import dataclasses
from typing import Any

import msgspec
from tornado import curl_httpclient, httpclient

from limpetstream import _curl

COULD_NOT_CONNECT = 7  # CURLE_COULDNT_CONNECT.
MAX_CLIENTS = 500


class Refused(Exception):
    """The connection was refused; nothing was sent."""


class NoReply(Exception):
    """No complete reply arrived; the request may have been carried out."""


@dataclasses.dataclass(slots=True)
class Reply:
    """One complete reply with its headers and body."""

    status: int
    headers: Any
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the decoded JSON object; empty if the body is none."""
        try:
            return msgspec.json.decode(self.body, type=dict[str, Any])
        except (msgspec.DecodeError, UnicodeError):
            return {}


class HttpClient:
    """HTTP client that sends calls with keys; one serves a demonstration.

    A call with a body is sent at most once, so that its reply is not that to a
    second copy (see ``_curl.Upload``).
    """

    def __init__(self) -> None:
        self._curl = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    def close(self) -> None:
        """Close all connections."""
        self._curl.close()

    async def call(
        self,
        method: str,
        url: str,
        *,
        key: str = "",
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> Reply:
        """Send one call.

        Args:
            method: HTTP method.
            url: Complete URL.
            key: Key of a caller or operator.
            body: Bytes, or a value to send as JSON.
            headers: Additional headers.
            timeout_s: Time limit in seconds.

        Raises:
            Refused: The connection was refused, and nothing was sent before.
            NoReply: No complete reply arrived in time.
        """
        encoded_body = (
            body if body is None or isinstance(body, bytes) else _encode(body)
        )
        request = httpclient.HTTPRequest(
            url,
            method=method,
            body=encoded_body,
            headers={
                "Content-Type": "application/json",
                **({"Authorization": f"Bearer {key}"} if key else {}),
                **(headers or {}),
            },
            connect_timeout=min(2.0, timeout_s),
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
        )
        upload = _curl.Upload(request.body)
        request.prepare_curl_callback = upload.configure
        try:
            response = await self._curl.fetch(request, raise_error=False)
        except curl_httpclient.CurlError as error:
            if error.errno == COULD_NOT_CONNECT and not upload.copies:
                raise Refused(url) from error
            raise NoReply(f"{url}: {error}") from error
        except (httpclient.HTTPError, OSError) as error:
            raise NoReply(f"{url}: {error}") from error
        return Reply(response.code, response.headers, response.body or b"")


def _encode(value: Any) -> bytes:
    return msgspec.json.encode(value)
