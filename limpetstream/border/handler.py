"""Base class of HTTP handlers, which turns errors into JSON replies."""

import math
from typing import Any

import msgspec
import tornado.web

from limpetstream import errors
from limpetstream.border import events
from limpetstream.telemetry import logs


class BaseHandler(tornado.web.RequestHandler):
    """Handler that replies to errors with JSON and without tracebacks.

    The header ``Outcome`` is ``not-run`` after ``errors.NotRun`` (status 429
    for the reasons ``quota``, ``overload`` and ``rate-limit``, else 503) and
    ``unknown`` after ``errors.OutcomeUnknown`` (status 504). Replies to
    ``errors.Rejected``, such as those to invalid requests and failed reads,
    have its own status and no such header. Other errors of this package get
    status 500, so handlers must convert the ones that they expect.
    """

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
        """Reply to an exception.

        Replies to ``NotRun``, ``Rejected``, ``OutcomeUnknown`` and Tornado's
        ``HTTPError`` include the detail of the error (``log_message`` of an
        ``HTTPError``); replies to all other errors omit it.

        Field ``reason`` of the body is a reason code from
        ``docs/OPERATORS.md``, or the HTTP reason phrase if Tornado raised the
        error; the body after ``OutcomeUnknown`` has no ``reason``. Field
        ``findings`` lists the validation findings of ``Rejected``, if any.
        """
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
        """Log errors that are not part of normal operation.

        These are all but ``LimpetstreamError`` and Tornado's ``HTTPError``, so
        a ``LimpetstreamError`` with status 500 is not logged here.
        """
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
