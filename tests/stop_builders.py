"""Runs an instance as a process, for tests of its planned stop."""

import asyncio
import contextlib
import dataclasses
import os
import types
from collections.abc import Mapping

import msgspec

from adapter import store as store_paths
from emulator import deployment, store
from limpetstream import clock
from limpetstream.border import simple_server
from limpetstream.platform import http
from limpetstream.shard import names, peer_messages, peering
from limpetstream.workflow import messages
from standins import keyed_store, processes

JOB_ID = "5c0e7a21d94b36f8"
START_LIMIT_S = 20.0
ANSWER_LIMIT_S = 8.0  # Longer than any wait of a caller and the time to a kill.


@dataclasses.dataclass(slots=True)
class Reply:
    """What a caller has on its connection.

    Args:
        status: HTTP status; 0 if the connection ended without an answer.
        headers: Headers of the answer, with names in lower case.
        after_s: Seconds from the sending of the request.
    """

    status: int
    headers: dict[str, str]
    after_s: float


class Instance:
    """A running instance and its store.

    Args:
        ip: Its loopback address.
        process: Its process.
        keyed: Its store.
    """

    def __init__(
        self, ip: str, process: processes.Process, keyed: keyed_store.Store
    ) -> None:
        self.ip = ip
        self.process = process
        self._keyed = keyed

    def is_stored(self, job_id: str) -> bool:
        """Return whether the store has done the append of a job."""
        return job_id in self._keyed.newest(names.SUBMISSIONS_TOPIC, 0)

    async def connect(self, port: int = deployment.CALLER_PORT):
        """Open a connection of a caller, or to another port."""
        return await asyncio.open_connection(self.ip, port)

    async def stop(self, grace_s: float) -> bool:
        """Stop the process as the platform does; return whether it ended."""
        self.process.terminate()
        status = await self.process.wait_for_exit(timeout_s=grace_s)
        self.process.kill()
        return status == 0


async def call(
    connection, method: str, path: str, body: bytes = b"", *, key: str = ""
) -> Reply:
    """Send one request over an open connection and read its answer."""
    reader, writer = connection
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Content-Length: {len(body)}",
        *[f"{name}: {value}" for name, value in deployment.headers(3000, key).items()],
    ]
    head = "\r\n".join([*lines, "", ""]).encode()
    try:
        writer.write(head + body)
        async with asyncio.timeout(ANSWER_LIMIT_S):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            status_line, *rows = head.strip().split("\r\n")
            headers = dict(row.lower().split(": ", 1) for row in rows)
            await reader.readexactly(int(headers.get("content-length", 0)))
    except (OSError, EOFError, TimeoutError):
        return Reply(0, {}, loop.time() - sent_at)
    return Reply(int(status_line.split()[1]), headers, loop.time() - sent_at)


async def hand_over(
    instance: Instance, carried: list[peer_messages.CarriedCancel]
) -> peer_messages.PeerReply:
    """Hand cancels over to an instance, as another one does."""
    client = http.Client(base_url="", clock=clock.Clock())
    try:
        return await peering.HttpPeers(client).call(
            f"{instance.ip}:{deployment.PEER_PORT}",
            peer_messages.PeerRequest("carry", 0, carried=carried),
            timeout_s=ANSWER_LIMIT_S,
        )
    finally:
        client.close()


def job_path(job_id: str = JOB_ID) -> str:
    """Return the path of a job."""
    return f"{deployment.PREFIX}{job_id}"


def job_body(job_id: str = JOB_ID) -> bytes:
    """Return the body that submits a job of one task."""
    return deployment.job_body(job_id, [messages.Step(1, cpu_millicores=100)])


@contextlib.asynccontextmanager
async def running(
    directory,
    *,
    grace_s: float,
    silent: frozenset[str] = frozenset(),
    other_member: str = "",
    organisations: tuple[deployment.Organisation, ...] = (),
    limits: Mapping[str, float] = types.MappingProxyType({}),
):
    """Yield an instance that no group admits, so that no shard has an owner.

    Args:
        directory: Directory of its settings file.
        grace_s: Time from the stop to the kill, in its settings.
        silent: Paths of the store whose calls are done and get no answer.
        other_member: Member of the group that the store names as the owner.
        organisations: Organisations in the configuration, whose keys are
            revoked strictly.
        limits: Additional limits of the process, in its settings.
    """
    keyed = keyed_store.Store()
    deployment.configure(keyed, version=1, max_attempts=4, organisations=organisations)
    handler = store.StoreHandler(keyed_store.Client(keyed))

    async def answer(request):
        if request.path == store_paths.JOIN_PATH:
            return simple_server.Response(503)
        if request.path == store_paths.OWNERS_PATH and other_member:
            owners = [(names.PROGRESS_TOPIC, 0, other_member, 0)]
            return simple_server.Response(200, msgspec.json.encode(owners))
        response = await handler.answer(request)
        if request.path in silent:
            await asyncio.sleep(ANSWER_LIMIT_S)
        return response

    ip = f"127.{16 + os.getpid() % 200}.{os.getpid() // 200 % 250}.2"
    port = processes.free_port()
    settings = msgspec.json.decode(
        deployment.settings_file(
            name="stopped",
            ip=ip,
            data_centre="a",
            store_address=f"127.0.0.1:{port}",
            strict_revocation=bool(organisations),
        )
    )
    settings["thresholds"]["grace_s"] = grace_s
    settings["limits"].update(limits)
    path = directory / "settings.json"
    path.write_bytes(msgspec.json.encode(settings))
    with processes.process_group("build/stops") as group:
        async with simple_server.serve(f"127.0.0.1:{port}", answer):
            process = group.start_script(
                "stopped",
                deployment.PROGRAM,
                value_by_variable=deployment.environment(str(path)),
            )
            try:
                await process.wait_until_ready(
                    f"http://{ip}:{deployment.READY_PORT}", timeout_s=START_LIMIT_S
                )
                yield Instance(ip, process, keyed)
            finally:
                process.kill()
