"""Versions of the configuration, and the patches between them.

A patch is a JSON merge patch (RFC 7396): the members that change, `null` for those that go. So a
change costs the bytes of what changed, not of the whole. The configuration itself holds no `null`
members: a member that would be one is left out.
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
    """A patch does not lead to the document that its digest names; the whole one is needed."""

    code = "patch-mismatch"


class ConfigChange(msgspec.Struct, frozen=True):
    """One accepted version: row `config/version/VERSION`, and what hosts tell each other."""

    version: ConfigVersion
    digest: str
    """Of the whole document of this version."""
    operator: str
    at: WallTime
    command: str
    """Id of the command."""
    text: str
    """What the operator said."""
    patch: Any
    """From the version before to this one."""
    undo: Any
    """From this version to the one before."""


class WholeConfig(msgspec.Struct, frozen=True):
    """The whole of one version: row `config/current`, and answer to a host that is far behind."""

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
    """Return the one text of `document`, whatever the order of its keys."""
    return json.dumps(document, sort_keys=True, separators=(",", ":"), ensure_ascii=False)


def digest_document(document: Any) -> str:
    """Return the SHA-256 of the document's text."""
    return hashlib.sha256(encode_document(document).encode()).hexdigest()


def make_patch(old: Any, new: Any) -> Any:
    """Return the merge patch that leads from `old` to `new`."""
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
    """Return `document` as changed by the merge patch; the document itself stays as it is."""
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
    """Return the document of the change's version; raises `PatchMismatch` if it is another one."""
    result = apply_patch(document, change.patch)
    if digest_document(result) != change.digest:
        raise PatchMismatch(f"version {change.version} does not follow from the one held here")
    return result


def list_differences(old: Any, new: Any, path: str = "") -> list[tuple[str, str, str]]:
    """Return path, old and new value of every member that differs; `-` stands for absent."""
    if isinstance(old, dict) and isinstance(new, dict):
        found: list[tuple[str, str, str]] = []
        for key in sorted({*old, *new}):
            place = f"{path}.{key}" if path else key
            found.extend(list_differences(old.get(key), new.get(key), place))
        return found
    if old == new and type(old) is type(new):
        return []
    return [(path, _show(old), _show(new))]


def _show(value: Any) -> str:
    return "-" if value is None else encode_document(value)
