"""Every place where a document does not have the shape of its type, not only the first one."""

from __future__ import annotations

import dataclasses
import difflib
import types
import typing
from functools import cache
from typing import Any

import msgspec


def list_structure_errors(value: Any, kind: Any, path: str) -> list[str]:
    """Return one line for each part of `value` that is no `kind`; `path` names its place."""
    if dataclasses.is_dataclass(kind) and isinstance(kind, type):
        return _check_dataclass(value, kind, path)
    origin = typing.get_origin(kind)
    if origin in (typing.Union, types.UnionType):
        return _check_optional(value, kind, path)
    if origin is dict:
        return _check_dict(value, typing.get_args(kind)[1], path)
    if origin is tuple:
        return _check_list(value, typing.get_args(kind)[0], path)
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        return [f"{path}: {error}, got {_shorten(value)}"]
    return []


def _check_dataclass(value: Any, kind: type, path: str) -> list[str]:
    if not isinstance(value, dict):
        return [f"{path}: give an object in braces, got {_shorten(value)}"]
    hints = _get_hints(kind)
    errors: list[str] = []
    for key, item in value.items():
        if key in hints:
            errors.extend(list_structure_errors(item, hints[key], _join(path, key)))
        else:
            errors.append(_describe_unknown_key(path, key, tuple(hints)))
    for member in dataclasses.fields(kind):
        required = (
            member.default is dataclasses.MISSING and member.default_factory is dataclasses.MISSING
        )
        if required and member.name not in value:
            errors.append(f"{path}: {member.name} is missing; add it")
    return errors


@cache
def _get_hints(kind: type) -> dict[str, Any]:
    # Evaluating annotations anew for each of some hundred entries took most of the time of a check.
    return typing.get_type_hints(kind)


def _describe_unknown_key(path: str, key: str, known: tuple[str, ...]) -> str:
    near = difflib.get_close_matches(str(key), known, n=1)
    hint = f"; did you mean {near[0]}?" if near else f"; the keys here are {', '.join(known)}"
    return f"{_join(path, key)}: unknown key{hint}"


def _check_optional(value: Any, kind: Any, path: str) -> list[str]:
    if value is None:
        return []
    options = [option for option in typing.get_args(kind) if option is not type(None)]
    return list_structure_errors(value, options[0], path)


def _check_dict(value: Any, kind: Any, path: str) -> list[str]:
    if not isinstance(value, dict):
        return [f"{path}: give an object in braces, got {_shorten(value)}"]
    errors: list[str] = []
    for key, item in value.items():
        errors.extend(list_structure_errors(item, kind, _join(path, key)))
    return errors


def _check_list(value: Any, kind: Any, path: str) -> list[str]:
    if not isinstance(value, list):
        return [f"{path}: give a list in brackets, got {_shorten(value)}"]
    errors: list[str] = []
    for index, item in enumerate(value):
        errors.extend(list_structure_errors(item, kind, f"{path}[{index}]"))
    return errors


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else str(key)


def _shorten(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
