"""TLS contexts of the listening ports; reloads changed certificates."""

import os
import ssl

from limpetstream import clock, errors
from limpetstream.entry import events
from limpetstream.settings import schema
from limpetstream.telemetry import logs

CERTIFICATE_CHECK_INTERVAL_S = 5.0


def make_context(settings: schema.Tls) -> ssl.SSLContext:
    """Return the TLS context of a listening port.

    Args:
        settings: Paths of the certificate, the key and, for mutual TLS, the
            client certificate authorities.

    Raises:
        SettingsError: A file is missing or cannot be used.
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
    """Return the modification times of certificate and key; 0 if missing."""
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
    """Reload certificate and key whenever one of the files changes.

    New connections use the new certificate. If a file cannot be used, the
    previous certificate stays in use and the load is tried again.
    """
    loaded_times = modification_times(settings)
    while True:
        await clock_.sleep(CERTIFICATE_CHECK_INTERVAL_S)
        current_times = modification_times(settings)
        if current_times == loaded_times:
            continue
        try:
            context.load_cert_chain(settings.certificate, settings.key)
        except (OSError, ssl.SSLError) as error:
            logs.emit(events.CERTIFICATE_REFUSED, error=str(error))
            continue
        loaded_times = current_times
        logs.emit(events.CERTIFICATE_LOADED, file=settings.certificate)
