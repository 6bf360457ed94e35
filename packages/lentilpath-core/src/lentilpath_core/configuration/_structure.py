"""Comparison of a document with its type, which reports every mismatch and not only the first."""

from __future__ import annotations

import dataclasses
import difflib
import types
import typing
from functools import cache
from typing import Any

import msgspec


def list_structure_errors(value: Any, kind: Any, path: str) -> list[str]:
    """Return one line for each part of `value` that does not match `kind`; `path` locates it."""
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
        return [f"{path}: {error}, got {_truncate_repr(value)}"]
    return []


def _check_dataclass(value: Any, kind: type, path: str) -> list[str]:
    if not isinstance(value, dict):
        return [f"{path}: give an object in braces, got {_truncate_repr(value)}"]
    hints = _get_hints(kind)
    errors: list[str] = []
    for key, item in value.items():
        if key in hints:
            errors.extend(list_structure_errors(item, hints[key], _join(path, key)))
        else:
            errors.append(_describe_unknown_key(path, key, tuple(hints)))
    for member_field in dataclasses.fields(kind):
        required = (
            member_field.default is dataclasses.MISSING
            and member_field.default_factory is dataclasses.MISSING
        )
        if required and member_field.name not in value:
            errors.append(f"{path}: {member_field.name} is missing; add it")
    return errors


@cache
def _get_hints(kind: type) -> dict[str, Any]:
    # Cached, because evaluating the annotations again for each of several hundred entries took most
    # of the time of a check.
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
        return [f"{path}: give an object in braces, got {_truncate_repr(value)}"]
    errors: list[str] = []
    for key, item in value.items():
        errors.extend(list_structure_errors(item, kind, _join(path, key)))
    return errors


def _check_list(value: Any, kind: Any, path: str) -> list[str]:
    if not isinstance(value, list):
        return [f"{path}: give a list in brackets, got {_truncate_repr(value)}"]
    errors: list[str] = []
    for index, item in enumerate(value):
        errors.extend(list_structure_errors(item, kind, f"{path}[{index}]"))
    return errors


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else str(key)


def _truncate_repr(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
