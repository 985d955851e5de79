"""TLS of the listening ports, with certificates that can be rotated."""

import os
import ssl

from limpetstream import clock, errors
from limpetstream.entry import events
from limpetstream.settings import schema
from limpetstream.telemetry import logs

CERTIFICATE_CHECK_INTERVAL_S = 5.0


def make_context(settings: schema.Tls) -> ssl.SSLContext:
    """Return the context of a listening port.

    Args:
        settings: Files of certificate, key and, for mutual TLS, authorities.

    Raises:
        SettingsError: A file cannot be used.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(settings.certificate, settings.key)
        if settings.client_ca:
            context.load_verify_locations(settings.client_ca)
            context.verify_mode = ssl.CERT_REQUIRED
    except (OSError, ssl.SSLError) as error:
        raise errors.SettingsError(
            f"certificate or key cannot be used: {error}", file=settings.certificate
        ) from error
    return context


def modification_times(settings: schema.Tls) -> tuple[float, ...]:
    """Return the modification times of the files; 0 for a missing one."""
    times = []
    for path in (settings.certificate, settings.key):
        try:
            times.append(os.stat(path).st_mtime)
        except OSError:
            times.append(0.0)
    return tuple(times)


async def reload_on_change(
    context: ssl.SSLContext, settings: schema.Tls, clock_: clock.Clock
) -> None:
    """Load the certificate again whenever its files change.

    New connections use the new certificate; a file that cannot be used leaves
    the old one in force.
    """
    seen = modification_times(settings)
    while True:
        await clock_.sleep(CERTIFICATE_CHECK_INTERVAL_S)
        now = modification_times(settings)
        if now == seen:
            continue
        try:
            context.load_cert_chain(settings.certificate, settings.key)
        except (OSError, ssl.SSLError) as error:
            logs.emit(events.CERTIFICATE_REFUSED, error=str(error))
            continue
        seen = now
        logs.emit(events.CERTIFICATE_LOADED, file=settings.certificate)
