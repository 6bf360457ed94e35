"""The TLS server context for callers and operators."""

from __future__ import annotations

import ssl

from lentilpath_core.errors import InvalidSettings
from lentilpath_core.settings import TlsSettings


def create_server_tls(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Return a TLS server context with the PEM files of `settings`, or `None` without settings.

    Raises `InvalidSettings` if the files cannot be read or the key does not match the certificate.
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
