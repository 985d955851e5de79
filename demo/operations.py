"""Jobs, accounts and operators' calls of the demonstration."""

import asyncio
import urllib.parse
from typing import Any

from demo import cluster, http_client, plan

TRIES = 20
PAUSE_S = 0.25
PAGE = 500


class CallFailed(Exception):
    """A call that the demonstration needs was not accepted."""


async def _until_accepted(
    of: cluster.Cluster,
    client: http_client.HttpClient,
    method: str,
    path: str,
    **values: Any,
) -> http_client.Reply:
    """Send a call to one entry instance after the other until accepted."""
    last = "no entry instance"
    for entry in of.entries_to_try(TRIES):
        try:
            reply = await client.call(method, f"{entry.url}{path}", **values)
        except (http_client.Refused, http_client.NoReply) as error:
            entry.is_ready = False
            last = str(error)
        else:
            if 200 <= reply.status < 300:
                return reply
            last = f"status {reply.status}: {reply.body[:300].decode(errors='replace')}"
        await asyncio.sleep(PAUSE_S)
    raise CallFailed(f"{method} {path}: {last}")


async def submit_job(
    of: cluster.Cluster, client: http_client.HttpClient, job: plan.Job, *, key: str
) -> None:
    """Submit a job and keep its id."""
    reply = await _until_accepted(
        of, client, "POST", "/v1/jobs", key=key, body=job.to_wire()
    )
    value = reply.json()
    job.id = str(value.get("id") or value.get("job") or value.get("job_id") or "")


async def set_data_centre(
    of: cluster.Cluster, client: http_client.HttpClient, name: str, *, state: str
) -> None:
    """Take a data centre out or bring it back, and tell the stand-in."""
    await _until_accepted(
        of,
        client,
        "PUT",
        f"/admin/v1/data-centres/{name}",
        key=plan.OPERATOR_KEY,
        body={"state": state, "reason": "demonstration"},
    )
    url = f"{of.platform_url}/data-centres/{name}"
    await client.call("POST", url, body={"out": state == "out"})


async def read_account(
    of: cluster.Cluster, client: http_client.HttpClient, *, key: str
) -> dict[str, str]:
    """Return the state of every request in a caller's account."""
    state_by_request: dict[str, str] = {}
    after = ""
    while True:
        query = {"limit": str(PAGE), **({"after": after} if after else {})}
        path = f"/v1/account?{urllib.parse.urlencode(query)}"
        page = (await _until_accepted(of, client, "GET", path, key=key)).json()
        for row in page["rows"]:
            state_by_request[row["request_id"]] = row["state"]
        if page["complete"]:
            return state_by_request
        after = page["after"]
