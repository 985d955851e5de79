"""Base class of HTTP handlers, which turns errors into JSON replies."""

import math
from typing import Any

import msgspec
import tornado.web

from limpetstream import errors
from limpetstream.border import events
from limpetstream.telemetry import logs


class BaseHandler(tornado.web.RequestHandler):
    """Handler that replies to errors with JSON and without tracebacks."""

    def set_default_headers(self) -> None:
        """Hide the server software and forbid caching of replies."""
        self.clear_header("Server")
        self.set_header("Cache-Control", "no-store")

    def reply(self, status: int, body: Any) -> None:
        """Finish the request with a JSON body.

        Args:
            status: HTTP status.
            body: Dataclass or JSON-compatible value to encode.
        """
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Reply to an exception; details of unexpected ones are left out."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, errors.NotRun):
            self._reply_not_run(error)
        elif isinstance(error, errors.Rejected):
            body = {"reason": error.reason, "detail": error.detail}
            if error.findings:
                body["findings"] = list(error.findings)
            self.reply(error.status, body)
        elif isinstance(error, errors.OutcomeUnknown):
            self.set_header("Outcome", "unknown")
            self.reply(504, {"outcome": "unknown", "detail": str(error)})
        elif isinstance(error, tornado.web.HTTPError):
            detail = error.log_message or ""
            self.reply(status_code, {"reason": self._reason, "detail": detail})
        else:
            self.reply(status_code, {"reason": "internal-error", "detail": ""})

    def _reply_not_run(self, error: errors.NotRun) -> None:
        self.set_header("Outcome", "not-run")
        if error.retry_after_s > 0:
            self.set_header("Retry-After", str(math.ceil(error.retry_after_s)))
        status = 429 if error.reason in ("quota", "overload", "rate-limit") else 503
        body = {"outcome": "not-run", "reason": error.reason, "detail": error.detail}
        self.reply(status, body)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log unexpected errors only; others are part of normal operation."""
        if isinstance(value, errors.LimpetstreamError | tornado.web.HTTPError):
            return
        logs.emit(
            events.UNEXPECTED_ERROR,
            path=self.request.path,
            error=f"{type(value).__name__}: {value}",
        )


class NotFoundHandler(BaseHandler):
    """Replies with status 404 to paths that do not exist."""

    def prepare(self) -> None:
        """Reject requests of every method."""
        raise errors.Rejected(404, "not-found", "no such path")
