"""Access control: keys, roles and teams."""

from lentilpath_core.access._keys import (
    ExpiredKey,
    Forbidden,
    KeySettings,
    MissingKey,
    Role,
    UnknownKey,
    find_key,
    hash_key,
)
from lentilpath_core.access._permissions import Holder, check_permission

__all__ = [
    "ExpiredKey",
    "Forbidden",
    "Holder",
    "KeySettings",
    "MissingKey",
    "Role",
    "UnknownKey",
    "check_permission",
    "find_key",
    "hash_key",
]
