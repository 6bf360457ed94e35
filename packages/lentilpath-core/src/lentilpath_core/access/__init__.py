"""Access control: keys, roles and teams."""

from lentilpath_core.access._keys import (
    ExpiredKey,
    Forbidden,
    KeySettings,
    MissingKey,
    Role,
    UnknownKey,
    authenticate_key,
    hash_key,
)
from lentilpath_core.access._permissions import Principal, check_permission

__all__ = [
    "ExpiredKey",
    "Forbidden",
    "KeySettings",
    "MissingKey",
    "Principal",
    "Role",
    "UnknownKey",
    "authenticate_key",
    "check_permission",
    "hash_key",
]
