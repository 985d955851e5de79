"""Command line ``limpetstream-call``: desk requests, jobs and the account.

Exit statuses besides those of ``admin.client``: 6 the request was not run, 7
its outcome is unknown, 8 the account is incomplete or was changed.
"""

import sys
import urllib.parse
import uuid
from typing import Any

import msgspec

from limpetstream.accounts import export
from limpetstream.admin import client, tables

EXIT_NOT_RUN = 6
EXIT_OUTCOME_UNKNOWN = 7
EXIT_ACCOUNT_INVALID = 8


def quote(text: str) -> str:
    """Return a name quoted for use in a path."""
    return urllib.parse.quote(text, safe="")


class Call:
    """Send desk requests and batch jobs, and read the account.

    Options for every command: --url URL, --key KEY, --ca FILE.

    Args:
        url: Any entry instance; default LIMPETSTREAM_URL.
        key: Caller's key; default LIMPETSTREAM_CALLER_KEY.
        ca: Certificate authority file for TLS; default LIMPETSTREAM_CA.
    """

    def __init__(self, url: str = "", key: str = "", ca: str = "") -> None:
        self._client = client.from_environment(
            url, str(key), ca, variable="LIMPETSTREAM_CALLER_KEY"
        )

    def desk(
        self,
        service: str,
        body: str = "",
        request: str = "",
        idempotent: bool | None = None,
        deadline_ms: int = 0,
        priority: str = "normal",
    ) -> None:
        """Send a desk request and print its answer.

        Exits 6 if the request was not run, 7 if its outcome is unknown.

        Args:
            service: Desk service.
            body: Body of the request.
            request: Request id; a new one by default.
            idempotent: Whether the request may be sent again; the setting of
                the service by default.
            deadline_ms: Milliseconds after which the answer is of no use.
            priority: urgent, normal or low.
        """
        request_id = str(request or uuid.uuid4())
        headers = {"Request-Id": request_id, "Priority": priority}
        if idempotent is not None:
            headers["Idempotent"] = "true" if idempotent else "false"
        if deadline_ms:
            headers["Deadline-Ms"] = str(deadline_ms)
        reply = self._client.call(
            "POST", f"/v1/desk/{quote(service)}", raw=body.encode(), headers=headers
        )
        self._print_answer(reply, request_id)

    def outcome(self, request: str) -> None:
        """Print the outcome of a request, and its answer if still kept.

        Args:
            request: Request id.
        """
        reply = self._client.call("GET", f"/v1/requests/{quote(request)}")
        self._print_answer(reply, str(request))

    def job(self, file: str, request: str = "") -> None:
        """Submit a batch job from a JSON file and print it.

        Args:
            file: File with the job.
            request: Request id; the same id never creates a second job.
        """
        try:
            with open(file, "rb") as source:
                content = source.read()
        except OSError as error:
            client.fail(f"{file}: {error.strerror}", client.EXIT_USAGE)
        headers = {"Request-Id": str(request or uuid.uuid4())}
        reply = self._client.call("POST", "/v1/jobs", raw=content, headers=headers)
        print(tables.render_any(client.json_or_exit(reply)))

    def job_status(self, job: str) -> None:
        """Print a job and its tasks.

        Args:
            job: Id of the job.
        """
        reply = self._client.call("GET", f"/v1/jobs/{quote(job)}")
        print(tables.render_any(client.json_or_exit(reply)))

    def cancel(self, job: str) -> None:
        """Cancel a job.

        Args:
            job: Id of the job.
        """
        reply = self._client.call("DELETE", f"/v1/jobs/{quote(job)}")
        print(tables.render_any(client.json_or_exit(reply)))

    def account(self, json: bool = False) -> None:
        """Print all requests in the caller's account; verify its hash chain.

        Exits 8 if a row is missing or was changed.

        Args:
            json: Print one JSON object per line.
        """
        pages, after = [], ""
        while True:
            path = f"/v1/account?limit=500&after={after}"
            page = client.json_or_exit(self._client.call("GET", path))
            pages.append(msgspec.convert(page, export.Page))
            after = page["after"]
            if page["complete"]:
                break
        rows = [msgspec.to_builtins(row) for page in pages for row in page.rows]
        if json:
            for row in rows:
                print(msgspec.json.encode(row).decode())
        else:
            print(tables.render(rows))
        try:
            export.verify(pages)
        except ValueError as error:
            client.fail(
                f"the account is incomplete or was changed: {error}",
                EXIT_ACCOUNT_INVALID,
            )
        print(f"{len(rows)} requests; the hash chain is valid", file=sys.stderr)

    def _print_answer(self, reply: client.Reply, request_id: str) -> None:
        outcome = reply.headers.get("outcome", "")
        print(f"{request_id}: {outcome or reply.status}", file=sys.stderr)
        if outcome == "not-run":
            self._fail(reply, EXIT_NOT_RUN)
        if outcome == "unknown":
            self._fail(reply, EXIT_OUTCOME_UNKNOWN)
        if outcome != "answered" and reply.status >= 300:
            client.json_or_exit(reply)
        sys.stdout.buffer.write(reply.body)
        sys.stdout.flush()

    def _fail(self, reply: client.Reply, status: int) -> None:
        content: Any = reply.json() or {}
        reason = content.get("reason", content.get("outcome", ""))
        client.fail(f"{reason}: {content.get('detail', '')}".rstrip(": "), status)


def main() -> None:
    """Run the command line."""
    client.run_commands(Call, "limpetstream-call")


if __name__ == "__main__":
    main()
