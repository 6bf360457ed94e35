"""Access keys of operators. Only their hashes are stored.

A key is long and random, so one round of SHA-256 is enough: it cannot be found by guessing.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import TeamId, WallTime


class Role(Enum):
    """Permissions of a key; each role includes those of the roles before it."""

    READER = "reader"
    """Query."""
    OPERATOR = "operator"
    """Submit, change, drain and stop."""
    ADMINISTRATOR = "administrator"
    """Change the configuration, keys included."""


@dataclass(frozen=True, slots=True)
class KeySettings:
    """One key in the configuration, under the name of its operator."""

    sha256: str
    """Hash of the key, 64 hexadecimal digits."""
    role: Role
    teams: tuple[TeamId, ...] = ()
    """Teams whose jobs the key may submit and stop; empty for all."""
    expires_at_ms: int | None = None
    """Milliseconds since 1970-01-01 UTC; `None` for a key that never expires."""


class AccessDenied(LentilpathError):
    """Base class of refusals for lack of permission. The command had no effect."""

    code = "forbidden"


class MissingKey(AccessDenied):
    """The request contains no key."""

    code = "missing-key"


class UnknownKey(AccessDenied):
    """The key is wrong, was removed, or belongs to another cell."""

    code = "unknown-key"


class ExpiredKey(AccessDenied):
    """The key was valid and has expired."""

    code = "expired-key"


class Forbidden(AccessDenied):
    """The key is valid but lacks the permission."""

    code = "forbidden"


def hash_key(key: str) -> str:
    """Return the hash of `key` that the configuration holds."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate_key(
    keys: Mapping[str, KeySettings], key: str | None, now: WallTime
) -> tuple[str, KeySettings]:
    """Return the operator's name and the settings of `key`.

    Raises `MissingKey`, `UnknownKey` or `ExpiredKey`; no message contains the key.
    """
    if not key:
        raise MissingKey("no key was sent; set LENTILPATH_KEY or the key of the settings file")
    presented_hash = hash_key(key)
    found: tuple[str, KeySettings] | None = None
    for name, settings in keys.items():
        # Every hash is compared, so that the time taken does not reveal which one matches.
        if hmac.compare_digest(settings.sha256.lower(), presented_hash):
            found = (name, settings)
    if found is None:
        raise UnknownKey("the key is not known in this cell; ask an administrator for one")
    expires_at = found[1].expires_at_ms
    if expires_at is not None and now >= expires_at:
        raise ExpiredKey(f"the key of {found[0]} has expired; ask an administrator for a new one")
    return found
