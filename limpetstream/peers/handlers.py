"""HTTP handler of the peer port: verifies messages and calls their routes."""

from collections.abc import Mapping
from typing import Any

import tornado.web

from limpetstream import errors
from limpetstream.border import handler
from limpetstream.peers import events, messages, signing
from limpetstream.telemetry import logs

# The largest message is a copy of account entries for a witness.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Memory of messages that are being received or answered.
MAX_REQUEST_BYTES = 8 * MAX_BODY_BYTES
SERVER_LIMITS: dict[str, Any] = {
    "max_body_size": MAX_BODY_BYTES,
    "max_buffer_size": 2 * MAX_BODY_BYTES,
    "max_header_size": 8192,
    "body_timeout": 5.0,
    "idle_connection_timeout": 60.0,
}
"""Arguments of ``tornado.httpserver.HTTPServer`` for the peer port."""


class PeerHandler(handler.BaseHandler):
    """Serves every path under ``/peer/v1/``."""

    def initialize(
        self,
        *,
        verifier: signing.Verifier,
        signer: signing.Signer,
        routes: Mapping[str, messages.Route],
    ) -> None:
        """Store the arguments that ``routes`` passes."""
        self.verifier = verifier
        self.signer = signer
        self.route_by_path = routes
        self.is_authentic = False

    async def post(self) -> None:
        """Verify the message, and answer with the reply of its route."""
        request = self.request
        headers = request.headers
        if len(headers.get_list(messages.PEER_SIGNATURE)) != 1:
            raise errors.PeerRefused("forged")
        # Only authentic messages get a signed reply, also if they are refused.
        self.is_authentic = self.verifier.is_authentic(
            "POST", request.path, headers, request.body
        )
        member_id = self.verifier.accept("POST", request.path, headers, request.body)
        route = self.route_by_path.get(request.path)
        if route is None:
            raise errors.Rejected(404, "not-found", "no such path")
        reply = await route(member_id, headers, request.body)
        self.set_status(reply.status)
        for name, value in reply.headers.items():
            self.set_header(name, value)
        self.finish(reply.body)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer a refused message with the reason; other errors as usual."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if not isinstance(error, errors.PeerRefused):
            super().write_error(status_code, **kwargs)
            return
        logs.emit(
            events.MESSAGE_REFUSED,
            peer=self.request.headers.get(messages.PEER_ID, "")[:64],
            address=self.request.remote_ip,
            path=self.request.path[:64],
            reason=str(error),
        )
        self.set_header(messages.PEER_REFUSED, str(error))
        self.reply(403, {"reason": "peer-refused", "detail": str(error)})

    def finish(self, chunk: str | bytes | dict[str, Any] | None = None) -> Any:
        """Sign the reply, unless the request was not authentic."""
        if chunk is not None:
            self.write(chunk)
        if self.is_authentic:
            refused = self._headers.get(messages.PEER_REFUSED)
            reply = messages.Reply(
                self.get_status(),
                {messages.PEER_REFUSED: refused} if refused else {},
                b"".join(self._write_buffer),
            )
            nonce = self.request.headers.get(messages.PEER_NONCE, "")
            for name, value in self.signer.sign_reply(nonce, reply).items():
                self.set_header(name, value)
        return super().finish()

    def compute_etag(self) -> str | None:
        """Return None: replies on this port are not cached."""
        return None


def routes(
    *,
    verifier: signing.Verifier,
    signer: signing.Signer,
    routes: Mapping[str, messages.Route],
) -> list[Any]:
    """Return the tornado rules of the peer port.

    Args:
        verifier: Verifies messages to this instance.
        signer: Signs replies.
        routes: Route by path, such as ``/peer/v1/forward``.
    """
    arguments = {"verifier": verifier, "signer": signer, "routes": routes}
    return [
        tornado.web.url(messages.PREFIX + ".*", PeerHandler, arguments),
        tornado.web.url(".*", handler.NotFoundHandler),
    ]
