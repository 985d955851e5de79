"""Serves accounts over HTTP; a caller can read only its own account.

An account entry is the state of one receipt of a request at one instance. An
export merges the entries of all instances into rows, one for each request id
within a period of 10 minutes.
"""

from collections.abc import Callable
from typing import Any

import tornado.web

from limpetstream import errors
from limpetstream.accounts import export, ledger as ledgers
from limpetstream.border import handler, identity

DEFAULT_LIMIT = 200  # rows per page


class AccountHandler(handler.BaseHandler):
    """Serves ``GET /v1/account?after=&limit=``."""

    def initialize(
        self,
        ledger: ledgers.Ledger,
        find_caller: Callable[[str], tuple[str, Any] | None],
    ) -> None:
        """Set the ledger and the look-up of callers."""
        self._ledger = ledger
        self._find_caller = find_caller

    async def get(self) -> None:
        """Return one page of the account of the authenticated caller.

        The parameter ``after`` is the field of the same name in the previous
        page; without it, the export starts from the first row. The export
        rejects an invalid cursor with status 400; see ``export.export``.
        """
        header = self.request.headers.get("Authorization")
        caller = identity.authenticate(header, self._find_caller)
        after = self.get_query_argument("after", "")
        try:
            page = await self._ledger.export(
                caller.name, after=after, limit=self._limit()
            )
        except errors.PlatformUnavailable as error:
            raise errors.Rejected(
                503,
                "log-unavailable",
                "the platform's log does not answer; the account cannot be read now",
            ) from error
        self.reply(200, page)

    def _limit(self) -> int:
        text = self.get_query_argument("limit", str(DEFAULT_LIMIT))
        # int() also accepts digits of other scripts, signs and underscores.
        # The export checks the range.
        if not (text.isascii() and text.isdigit() and len(text) <= 6):
            detail = f"'limit' must be 1 to {export.MAX_LIMIT}"
            raise errors.Rejected(400, "bad-limit", detail)
        return int(text)


def routes(
    ledger: ledgers.Ledger, find_caller: Callable[[str], tuple[str, Any] | None]
) -> list[tornado.web.URLSpec]:
    """Return the URL routes of accounts.

    Args:
        ledger: Ledger of this instance. It writes the entries of this
            instance only, but exports those of all instances from the log;
            entries that the log has not confirmed are missing.
        find_caller: Returns name and settings of a caller by the hash of its
            key (``identity.key_hash``), or None; for example
            ``settings.tree.Tree.caller_by_key``.
    """
    context = {"ledger": ledger, "find_caller": find_caller}
    return [tornado.web.url(r"/v1/account", AccountHandler, context)]
