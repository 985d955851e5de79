"""Calls for jobs, accounts and data centres that the demonstration makes."""

import asyncio
import urllib.parse
from typing import Any

from demo import cluster, http_client, plan

MAX_ATTEMPTS = 20
RETRY_DELAY_S = 0.25
ROWS_PER_PAGE = 500


class CallFailed(Exception):
    """No entry instance accepted a call that the demonstration needs."""


async def _until_accepted(
    target: cluster.Cluster,
    client: http_client.HttpClient,
    method: str,
    path: str,
    **options: Any,
) -> http_client.Reply:
    """Send a call to one entry instance after another until one accepts it."""
    last_failure = "there is no entry instance"
    for entry in target.entries_to_try(MAX_ATTEMPTS):
        try:
            reply = await client.call(method, f"{entry.url}{path}", **options)
        except (http_client.Refused, http_client.NoReply) as error:
            entry.is_ready = False
            last_failure = str(error)
        else:
            if 200 <= reply.status < 300:
                return reply
            last_failure = (
                f"status {reply.status}: {reply.body[:300].decode(errors='replace')}"
            )
        await asyncio.sleep(RETRY_DELAY_S)
    raise CallFailed(f"{method} {path}: {last_failure}")


async def submit_job(
    target: cluster.Cluster, client: http_client.HttpClient, job: plan.Job, *, key: str
) -> None:
    """Submit a job and store its id in ``job``."""
    reply = await _until_accepted(
        target, client, "POST", "/v1/jobs", key=key, body=job.to_wire()
    )
    reply_body = reply.json()
    job.id = str(
        reply_body.get("id") or reply_body.get("job") or reply_body.get("job_id") or ""
    )


async def set_data_centre(
    target: cluster.Cluster, client: http_client.HttpClient, name: str, *, state: str
) -> None:
    """Set a data centre ``out`` or ``in``, also in the platform stand-in."""
    await _until_accepted(
        target,
        client,
        "PUT",
        f"/admin/v1/data-centres/{name}",
        key=plan.OPERATOR_KEY,
        body={"state": state, "reason": "demonstration"},
    )
    url = f"{target.platform_url}/data-centres/{name}"
    await client.call("POST", url, body={"out": state == "out"})


async def read_account(
    target: cluster.Cluster, client: http_client.HttpClient, *, key: str
) -> dict[str, str]:
    """Return the state of every request in a caller's account."""
    state_by_request: dict[str, str] = {}
    after = ""
    while True:
        query = {"limit": str(ROWS_PER_PAGE), **({"after": after} if after else {})}
        path = f"/v1/account?{urllib.parse.urlencode(query)}"
        page = (await _until_accepted(target, client, "GET", path, key=key)).json()
        for row in page["rows"]:
            state_by_request[row["request_id"]] = row["state"]
        if page["complete"]:
            return state_by_request
        after = page["after"]
