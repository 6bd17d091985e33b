"""Configures TLS of the listeners and of the node-to-node client."""

import ssl

from hypercorn.config import Config

from tarragonrudder.edges.settings import TlsSettings
from tarragonrudder.errors import SettingsError


def secure_caller_port(config: Config, settings: TlsSettings) -> None:
    """Enable TLS on the callers' listener, if a certificate is configured."""
    if settings.caller_certificate is None:
        return
    config.certfile = str(settings.caller_certificate)
    config.keyfile = str(settings.caller_key)


def secure_peer_port(config: Config, settings: TlsSettings) -> None:
    """Enable mutual TLS on the node-to-node listener, if configured."""
    if settings.peer_certificate is None:
        return
    config.certfile = str(settings.peer_certificate)
    config.keyfile = str(settings.peer_key)
    config.ca_certs = str(settings.peer_authority)
    config.verify_mode = ssl.CERT_REQUIRED


def make_peer_context(settings: TlsSettings) -> ssl.SSLContext | bool:
    """Return the SSL context of the node-to-node client.

    True, the client's default, is returned if no certificate is configured.

    Raises
    ------
    SettingsError
        If a file can't be read.
    """
    if settings.peer_certificate is None or settings.peer_key is None:
        return True
    try:
        context = ssl.create_default_context(cafile=settings.peer_authority)
        context.load_cert_chain(settings.peer_certificate, settings.peer_key)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f"[tls]: {error}; name readable PEM files") from error
    return context
