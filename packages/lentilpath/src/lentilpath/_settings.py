"""Reads the client's settings from options, environment variables and a settings file."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from lentilpath_core.errors import InvalidSettings
from lentilpath_core.settings import MAX_PORT, MIN_PORT, Address, parse_document

HOST_VARIABLE = "LENTILPATH_HOST"
KEY_VARIABLE = "LENTILPATH_KEY"
CA_VARIABLE = "LENTILPATH_CA"
FILE_VARIABLE = "LENTILPATH_SETTINGS"
DEFAULT_FILE = "~/.config/lentilpath.json5"


@dataclass(frozen=True, slots=True)
class ClientFile:
    """The settings file, JSON with comments."""

    host: str = ""
    """`IP:PORT` of an entry host's administration API."""
    operator: str = ""
    """Operator name for the audit trail, used while the cell has no keys."""
    key: str = ""
    ca: str = ""
    """Path of a PEM file with the CA certificates that verify entry hosts; empty for no TLS."""


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Address and credentials for calls to one entry host."""

    address: Address
    operator: str
    key: str = ""
    ca: str = ""


def read_client_settings(host: str | None) -> ClientSettings:
    """Return the settings; `host` overrides the environment, which overrides the settings file.

    Raises `InvalidSettings`.
    """
    stored = _read_file()
    chosen = host or os.environ.get(HOST_VARIABLE) or stored.host
    if not chosen:
        raise InvalidSettings(
            f"no entry host is named; give --host IP:PORT, set {HOST_VARIABLE}, or write "
            f'{{"host": "IP:PORT"}} into {DEFAULT_FILE}'
        )
    operator = stored.operator or os.environ.get("USER", "")
    key = os.environ.get(KEY_VARIABLE) or stored.key
    ca = os.environ.get(CA_VARIABLE) or stored.ca
    return ClientSettings(parse_address(chosen), operator, key, ca)


def parse_address(text: str) -> Address:
    """Return the address parsed from `IP:PORT`; raises `InvalidSettings`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not MIN_PORT <= int(port) <= MAX_PORT:
        raise InvalidSettings(f"{text!r} is not IP:PORT, such as 127.0.0.1:7100")
    return Address(host, int(port))


def _read_file() -> ClientFile:
    path = Path(os.environ.get(FILE_VARIABLE) or DEFAULT_FILE).expanduser()
    try:
        text = path.read_text()
    except FileNotFoundError:
        return ClientFile()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettings(f"{path} cannot be read: {error}") from error
    return parse_document(text, str(path), ClientFile)
