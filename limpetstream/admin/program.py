"""Command line ``limpetstream-admin`` for operators.

Exit statuses: 0 done, 1 refused, 2 wrong usage or findings, 3 no answer from
the entry instance, 4 conflict with another operator's edit.
"""

import dataclasses
import json
import sys
import time
import urllib.parse
from typing import Any

from limpetstream.admin import arguments, client, seeding, tables

POLL_INTERVAL_S = 0.5
MEMBER_TIMEOUT_S = 3.0


def quote(text: str) -> str:
    """Return a value quoted for use in a path or a query."""
    return urllib.parse.quote(str(text), safe="")


class Admin:
    """Operate limpetstream through any entry instance.

    Options for every command: --url URL, --key KEY, --ca FILE, --json.

    Args:
        url: Any entry instance; default LIMPETSTREAM_URL.
        key: Operator's key; default LIMPETSTREAM_KEY.
        ca: Certificate authority file for TLS; default LIMPETSTREAM_CA.
        json: Print JSON for scripts instead of tables.
    """

    def __init__(
        self, url: str = "", key: str = "", ca: str = "", json: bool = False
    ) -> None:
        self._client = client.from_environment(
            url, str(key), ca, variable="LIMPETSTREAM_KEY"
        )
        self._json = json

    def status(self) -> None:
        """Show the instance's state, its view of the log and its rights."""
        self._get("status")

    def members(self) -> None:
        """List the entry instances."""
        self._get("members")

    def rights(self) -> None:
        """List the holder of each resource."""
        self._get("rights")

    def data_centres(self) -> None:
        """List the data centres with state, workers, executors and tasks."""
        self._get("data-centres")

    def workers(self, data_centre: str = "") -> None:
        """List the workers with their resources and tasks.

        Args:
            data_centre: Only those of one data centre.
        """
        self._get(f"workers?data_centre={quote(data_centre)}")

    def executors(self, service: str = "") -> None:
        """List the executors; only their holder knows the slots in use.

        Args:
            service: Only those of one service.
        """
        self._get(f"executors?service={quote(service)}")

    def services(self) -> None:
        """List the desk services with their effective settings."""
        self._get("services")

    def teams(self) -> None:
        """List the teams with quota, use and what they have borrowed."""
        self._get("teams")

    def jobs(self, team: str = "", state: str = "") -> None:
        """List batch jobs and watchers.

        Args:
            team: Only those of one team.
            state: Only those in one state, such as pending or running.
        """
        self._get(f"jobs?team={quote(team)}&state={quote(state)}")

    def task(self, task: str) -> None:
        """Show the history of a task, and why it is not running.

        Args:
            task: Id of the task, such as JOB/3.
        """
        self._get(f"tasks/{quote(task)}")

    def request(self, caller: str, request: str) -> None:
        """Show what is known of a desk request: account, intent and answer.

        Args:
            caller: Name of the caller.
            request: Request id.
        """
        self._get(f"requests/{quote(caller)}/{quote(request)}")

    def refusals(self) -> None:
        """Count the instance's refusals by service and reason."""
        self._get("refusals")

    def settings(self, path: str = "/") -> None:
        """Show a node's effective settings, and the node that sets each value.

        Args:
            path: Path of the node.
        """
        self._get(f"settings?path={quote(path)}")

    def tree(self) -> None:
        """List all nodes of the settings tree."""
        self._get("tree")

    def history(self, limit: int = 50) -> None:
        """List the latest edits: version, author, time, reason and changes.

        Args:
            limit: Number of edits.
        """
        self._get(f"history?limit={limit}")

    def diff(self, before: int, after: int) -> None:
        """Show the effective difference between two versions.

        Args:
            before: Earlier version.
            after: Later version.
        """
        self._get(f"difference?before={before}&after={after}")

    def set(
        self,
        path: str,
        reason: str,
        dry_run: bool = False,
        base: int = -1,
        **values: Any,
    ) -> None:
        """Set values of a node: set /services/x --reason why --timeout_ms=900.

        Args:
            path: Path of the node.
            reason: Reason for the edit, kept in the history.
            dry_run: Only show the effective difference.
            base: Version that the edit is based on; default the current one.
            **values: Keys and values.
        """
        if not values:
            raise arguments.WrongUsage(
                "set needs at least one value, such as --timeout_ms 900"
            )
        self._edit({"path": path, "set": values}, reason, dry_run, base)

    def unset(
        self, path: str, *keys: str, reason: str, dry_run: bool = False, base: int = -1
    ) -> None:
        """Remove values of a node, so that it inherits them again.

        Args:
            path: Path of the node.
            *keys: Keys of the values to remove.
            reason: Reason for the edit, kept in the history.
            dry_run: Only show the effective difference.
            base: Version that the edit is based on; default the current one.
        """
        if not keys:
            raise arguments.WrongUsage("unset needs at least one key to inherit")
        self._edit({"path": path, "unset": list(keys)}, reason, dry_run, base)

    def create(
        self, path: str, kind: str, reason: str, dry_run: bool = False, **values: Any
    ) -> None:
        """Create a node of a kind, such as service, job, watcher or team.

        Args:
            path: Path of the new node.
            kind: Kind of the node.
            reason: Reason for the edit, kept in the history.
            dry_run: Only show the effective difference.
            **values: Keys and values.
        """
        change = {"path": path, "kind": kind, "set": values}
        self._edit(change, reason, dry_run, -1)

    def remove(self, path: str, reason: str, dry_run: bool = False) -> None:
        """Remove a node that has no children.

        Args:
            path: Path of the node.
            reason: Reason for the edit, kept in the history.
            dry_run: Only show the effective difference.
        """
        self._edit({"path": path, "remove": True}, reason, dry_run, -1)

    def undo(self, version: int, reason: str) -> None:
        """Undo an edit by appending a new one.

        Args:
            version: Version of the edit.
            reason: Reason for the edit, kept in the history.
        """
        self._send("POST", "undo", {"version": version, "reason": reason})

    def drain(self, data_centre: str, reason: str, wait: bool = False) -> None:
        """Take a data centre out of service.

        Args:
            data_centre: Name of the data centre.
            reason: Reason for the edit, kept in the history.
            wait: Wait until nothing runs there, and show the progress.
        """
        self._set_state(data_centre, "out", reason)
        if wait:
            self._wait_drained(data_centre)

    def restore(self, data_centre: str, reason: str) -> None:
        """Bring a data centre back into service.

        Args:
            data_centre: Name of the data centre.
            reason: Reason for the edit, kept in the history.
        """
        self._set_state(data_centre, "in", reason)

    def seed(self, platform: str, file: str, reason: str = "first settings") -> None:
        """Publish the settings of a new deployment on the platform's log.

        Args:
            platform: Base URL of the platform.
            file: Settings tree in JSON with comments.
            reason: Reason for the edit, kept in the history.
        """
        self._show(seeding.publish(platform, file, reason))

    def _get(self, path: str) -> None:
        self._show(client.json_or_exit(self._client.call("GET", f"/admin/v1/{path}")))

    def _send(self, method: str, path: str, body: Any) -> None:
        reply = self._client.call(method, f"/admin/v1/{path}", body)
        self._show(client.json_or_exit(reply))

    def _edit(self, change: Any, reason: str, dry_run: bool, base: int) -> None:
        body = {
            "changes": [change],
            "reason": reason,
            "dry_run": dry_run,
            "base_version": base,
        }
        self._send("POST", "edits", body)

    def _set_state(self, data_centre: str, state: str, reason: str) -> None:
        body = {"state": state, "reason": reason}
        self._send("PUT", f"data-centres/{quote(data_centre)}", body)

    def _wait_drained(self, data_centre: str) -> None:
        path = f"/admin/v1/data-centres/{quote(data_centre)}"
        last_line = ""
        while True:
            row = client.json_or_exit(self._client.call("GET", path))
            tasks, (requests, unreachable) = row["tasks"], self._requests_left(path)
            line = f"{data_centre}: {tasks} tasks, {requests} requests"
            line += f", no answer from {', '.join(unreachable)}" if unreachable else ""
            if line != last_line:
                print(line, file=sys.stderr, flush=True)
                last_line = line
            if tasks + requests + len(unreachable) == 0:
                return
            time.sleep(POLL_INTERVAL_S)

    def _requests_left(self, path: str) -> tuple[int, list[str]]:
        """Return the requests of all members in a data centre.

        Each member knows only its own requests.

        Returns:
            Number of requests, and the members that did not answer.
        """
        total, unreachable = 0, []
        scheme = self._client.url.partition("://")[0]
        members = self._client.call("GET", "/admin/v1/members")
        for member in client.json_or_exit(members):
            other = dataclasses.replace(
                self._client,
                url=f"{scheme}://{member['callers']}",
                timeout_s=MEMBER_TIMEOUT_S,
            )
            try:
                total += client.json_or_exit(other.call("GET", path))["requests"]
            except client.Unreachable:
                unreachable.append(member["instance"])
        return total, unreachable

    def _show(self, value: Any) -> None:
        if self._json:
            print(json.dumps(value, indent=1))
        else:
            print(tables.render_any(value))


def main() -> None:
    """Run the command line."""
    client.run_commands(Admin, "limpetstream-admin")


if __name__ == "__main__":
    main()
