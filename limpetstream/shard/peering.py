"""Sends and answers requests between instances, as JSON over HTTP."""

import msgspec

from limpetstream import errors
from limpetstream.platform import http
from limpetstream.shard import job_api, names, peer_messages

SHARD_PATH = "/shard"


class HttpPeers:
    """Sends requests to other instances over HTTP.

    Args:
        client: HTTP client.
    """

    def __init__(self, client: http.Client) -> None:
        self._client = client

    async def call(
        self, member: str, request: peer_messages.PeerRequest, *, timeout_s: float
    ) -> peer_messages.PeerReply:
        """Send a request to a member.

        Raises:
            PeerUnreachable: No usable answer came.
        """
        try:
            return await self._client.fetch(
                "POST",
                f"http://{names.peer_address(member)}{SHARD_PATH}",
                request,
                answer_type=peer_messages.PeerReply,
                timeout_s=timeout_s,
            )
        except errors.PlatformUnavailable as error:
            raise errors.PeerUnreachable(
                str(error), not_applied=error.not_applied, delivery=error.delivery
            ) from error


async def answer_request(
    api: job_api.JobApi, body: bytes, *, is_wanted: bool = True
) -> bytes:
    """Decode and answer the body of a request; return the body of the reply.

    Args:
        api: Operations of this instance.
        body: Body of the request.
        is_wanted: Whether the sender still waits for the reply.

    Raises:
        Rejected: The body is not a request.
    """
    try:
        request = msgspec.json.decode(body, type=peer_messages.PeerRequest)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise errors.Rejected(400, "invalid-request", str(error)) from error
    return msgspec.json.encode(await api.answer_peer(request, is_wanted=is_wanted))
