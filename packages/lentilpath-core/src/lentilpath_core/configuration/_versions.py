"""Versions of the configuration, and the patches between them.

A patch is a JSON merge patch (RFC 7396): it holds the changed members, and `null` for removed ones,
so its size depends on the change and not on the whole document. As `null` means removal, the
configuration itself holds no `null` members; they are left out.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

import msgspec

from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import ConfigVersion, WallTime

EMPTY_DOCUMENT: dict[str, Any] = {}


class PatchMismatch(LentilpathError):
    """A patch does not give the document with the expected digest; the whole one is needed."""

    code = "patch-mismatch"


class ConfigChange(msgspec.Struct, frozen=True):
    """One accepted version, stored as row `config/version/VERSION` and sent between hosts."""

    version: ConfigVersion
    digest: str
    """Digest of the whole document of this version."""
    operator: str
    at: WallTime
    command: str
    """Id of the command."""
    text: str
    """Text of the operator's command."""
    patch: Any
    """Merge patch from the version before to this one."""
    undo: Any
    """Merge patch from this version to the one before."""


class ConfigSnapshot(msgspec.Struct, frozen=True):
    """A version with its full document: row `config/current`, and a reply to a host far behind."""

    version: ConfigVersion
    digest: str
    operator: str
    at: WallTime
    text: str
    document: Any


def drop_nulls(document: Any) -> Any:
    """Return `document` without members that are `null`."""
    if isinstance(document, dict):
        return {key: drop_nulls(item) for key, item in document.items() if item is not None}
    if isinstance(document, list):
        return [drop_nulls(item) for item in document]
    return document


def encode_document(document: Any) -> str:
    """Return the canonical JSON of `document`, which does not depend on the order of its keys."""
    return json.dumps(document, sort_keys=True, separators=(",", ":"), ensure_ascii=False)


def digest_document(document: Any) -> str:
    """Return the SHA-256 of the document's canonical JSON, in hexadecimal."""
    return hashlib.sha256(encode_document(document).encode()).hexdigest()


def make_patch(old: Any, new: Any) -> Any:
    """Return the merge patch that turns `old` into `new`."""
    if not isinstance(old, dict) or not isinstance(new, dict):
        return new
    patch: dict[str, Any] = {key: None for key in old if key not in new}
    for key, item in new.items():
        if key not in old:
            patch[key] = item
        elif old[key] != item or type(old[key]) is not type(item):
            patch[key] = make_patch(old[key], item)
    return patch


def apply_patch(document: Any, patch: Any) -> Any:
    """Return `document` with the merge patch applied; the argument itself is not modified."""
    if not isinstance(patch, dict):
        return patch
    result = dict(document) if isinstance(document, dict) else {}
    for key, item in patch.items():
        if item is None:
            result.pop(key, None)
        else:
            result[key] = apply_patch(result.get(key), item)
    return result


def apply_change(document: Any, change: ConfigChange) -> Any:
    """Return the document of the change's version; raises `PatchMismatch` if its digest differs."""
    result = apply_patch(document, change.patch)
    if digest_document(result) != change.digest:
        raise PatchMismatch(f"version {change.version} does not follow from the one held here")
    return result


def list_differences(old: Any, new: Any, path: str = "") -> list[tuple[str, str, str]]:
    """Return path, old and new value of every member that differs; `-` means that it is absent."""
    if isinstance(old, dict) and isinstance(new, dict):
        differences: list[tuple[str, str, str]] = []
        for key in sorted({*old, *new}):
            member_path = f"{path}.{key}" if path else key
            differences.extend(list_differences(old.get(key), new.get(key), member_path))
        return differences
    if old == new and type(old) is type(new):
        return []
    return [(path, _format_value(old), _format_value(new))]


def _format_value(value: Any) -> str:
    return "-" if value is None else encode_document(value)
