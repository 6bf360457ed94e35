"""The server side of TLS, for callers and operators alike."""

from __future__ import annotations

import ssl

from lentilpath_core.errors import InvalidSettings
from lentilpath_core.settings import TlsSettings


def create_server_tls(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the server side of TLS from the PEM files of `settings`, or `None` without any.

    Raises `InvalidSettings` if the files cannot be read or do not belong together.
    """
    if settings is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(settings.certificate, settings.key)
    except (OSError, ssl.SSLError) as error:
        raise InvalidSettings(
            f"tls: certificate {settings.certificate!r} with key {settings.key!r} cannot be used: "
            f"{error}; give PEM files that belong together"
        ) from error
    return context
