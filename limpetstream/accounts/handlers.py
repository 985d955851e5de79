"""Serves accounts over HTTP; a caller can read only its own account."""

from collections.abc import Callable
from typing import Any

import tornado.web

from limpetstream import errors
from limpetstream.accounts import export, ledger as ledgers
from limpetstream.border import handler, identity

DEFAULT_LIMIT = 200


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
        """Return one page of the account of the authenticated caller."""
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
        if not (text.isascii() and text.isdigit() and len(text) <= 6):
            detail = f"'limit' must be 1 to {export.MAX_LIMIT}"
            raise errors.Rejected(400, "bad-limit", detail)
        return int(text)


def routes(
    ledger: ledgers.Ledger, find_caller: Callable[[str], tuple[str, Any] | None]
) -> list[tornado.web.URLSpec]:
    """Return the URL routes of accounts.

    Args:
        ledger: Ledger of this instance.
        find_caller: Looks up a caller by the hash of its key; for example
            ``settings.tree.Tree.caller_by_key``.
    """
    context = {"ledger": ledger, "find_caller": find_caller}
    return [tornado.web.url(r"/v1/account", AccountHandler, context)]
