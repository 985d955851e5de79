"""Sends requests to an instance over connections opened before its stop.

An instance that is stopped answers what it has read. It may close a connection
while no request is under way on it.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

from emulator import deployment
from soak import _connections

INTERVAL_S = 0.3
DEADLINE_MS = 3000
LIMIT_S = 8.0  # Longer than the time until the kill.
# A request that ends without an answer so late was read: a closed connection
# shows at once, but for stalls of the soak itself.
CUT_OFF_S = 1.0


@contextlib.asynccontextmanager
async def sending(
    ip: str, choices: random.Random, findings: list[str], name: str
) -> AsyncIterator[None]:
    """Send requests while the block stops an instance.

    Args:
        ip: Address of the instance.
        choices: Random decisions.
        findings: Receives a text for each request that was cut off.
        name: Name of the instance in the findings.
    """
    number = int(LIMIT_S / INTERVAL_S)
    opened = await asyncio.gather(
        *(_open(ip) for _ in range(number)), return_exceptions=True
    )
    connections = [each for each in opened if not isinstance(each, BaseException)]

    async def send() -> None:
        async with asyncio.TaskGroup() as calls:
            for connection in connections:
                calls.create_task(_check(connection, choices, findings, name))
                await asyncio.sleep(INTERVAL_S)

    sender = asyncio.create_task(send())
    try:
        yield
    finally:
        # What is under way has ended with the process.
        sender.cancel()
        await asyncio.gather(sender, return_exceptions=True)
        for connection in connections:
            connection.writer.close()


async def _open(ip: str) -> _connections.Connection:
    async with asyncio.timeout(LIMIT_S):
        streams = await asyncio.open_connection(ip, deployment.CALLER_PORT)
    return _connections.Connection(*streams)


async def _check(
    connection: _connections.Connection,
    choices: random.Random,
    findings: list[str],
    name: str,
) -> None:
    method, job_id = choices.choice(
        [("GET", ""), ("GET", "0" * 16), ("DELETE", "0" * 16)]
    )
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    is_answered = False
    with contextlib.suppress(OSError, EOFError):
        await connection.call(
            method, deployment.PREFIX + job_id, deployment.headers(DEADLINE_MS)
        )
        is_answered = True
    after_s = loop.time() - sent_at
    if not is_answered and after_s > CUT_OFF_S:
        findings.append(
            f"{name} cut off {method} {after_s:.2f} s after it was sent, at its stop"
        )
