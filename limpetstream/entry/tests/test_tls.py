"""Tests of TLS on the ports of an entry instance."""

import asyncio
import os
import pathlib
import socket
import ssl

import pytest
import tornado.httpclient
import trustme

from limpetstream import clock, errors
from limpetstream.entry import tls
from limpetstream.entry.tests import builders
from limpetstream.settings import schema

MODIFICATION_STEP_S = 10.0


def issue(authority: trustme.CA, folder: pathlib.Path, name: str) -> schema.Tls:
    """Write certificate, key and authority files; return their settings."""
    issued = authority.issue_cert("127.0.0.1", common_name=name)
    certificate, key, ca = (str(folder / each) for each in ("cert", "key", "ca"))
    issued.private_key_pem.write_to_path(key)
    issued.cert_chain_pems[0].write_to_path(certificate)
    authority.cert_pem.write_to_path(ca)
    return schema.Tls(certificate, key, ca)


def served_name(authority: trustme.CA, address: str) -> str:
    """Connect to an address and return the common name of its certificate."""
    context = ssl.create_default_context()
    authority.configure_trust(context)
    client = authority.issue_cert("client")
    client.configure_cert(context)
    host, _, port = address.rpartition(":")
    with (
        socket.create_connection((host, int(port)), timeout=5) as plain,
        context.wrap_socket(plain, server_hostname=host) as secured,
    ):
        subject = secured.getpeercert()["subject"]
    return dict(pair for part in subject for pair in part)["commonName"]


def test_both_ports_use_tls_and_callers_are_served(tmp_path: pathlib.Path):
    """Guards against plain HTTP on a port that has a certificate."""
    authority = trustme.CA()
    settings = issue(authority, tmp_path, "entry")
    only_server = schema.Tls(settings.certificate, settings.key)

    async def run() -> None:
        async with builders.platform_only() as url:
            started = builders.instance(
                url, "e1", tls=only_server, peer_tls=only_server
            )
            async with started as running:
                join = running.components.core.membership_agent.join
                for address in (join.caller_address, join.peer_address):
                    name = await asyncio.to_thread(served_name, authority, address)
                    assert name == "entry"
                secured = running.url.replace("http://", "https://")
                reply = await builders.call(f"{secured}/ready", ca=settings.client_ca)
                assert reply.code == 200
                with pytest.raises(tornado.httpclient.HTTPClientError):
                    await builders.call(f"{running.url}/ready")

    asyncio.run(run())


def test_changed_certificate_is_used_without_a_restart(tmp_path: pathlib.Path):
    """Guards against a new certificate that needs a restart or breaks TLS."""
    authority = trustme.CA()
    settings = issue(authority, tmp_path, "old")
    context = tls.make_context(settings)
    checks: list[str] = []

    async def sleep(seconds: float) -> None:
        if not checks:
            issue(authority, tmp_path, "new")
            modified_at = os.stat(settings.certificate).st_mtime + MODIFICATION_STEP_S
            os.utime(settings.certificate, (modified_at, modified_at))
        elif len(checks) == 2:
            raise asyncio.CancelledError
        checks.append("checked")

    async def run() -> str:
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(), "127.0.0.1", 0, ssl=context
        )
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        assert await asyncio.to_thread(served_name, authority, address) == "old"
        try:
            await tls.reload_on_change(context, settings, clock.Clock(sleep=sleep))
        except asyncio.CancelledError:
            pass
        name = await asyncio.to_thread(served_name, authority, address)
        server.close()
        return name

    assert asyncio.run(run()) == "new"


def test_unusable_certificate_is_a_finding(tmp_path: pathlib.Path):
    """Guards against a traceback when a certificate file is missing."""
    missing = schema.Tls(str(tmp_path / "none"), str(tmp_path / "none"))
    try:
        tls.make_context(missing)
    except errors.SettingsError as error:
        assert "cannot be used" in str(error)
    else:
        raise AssertionError("no error")
