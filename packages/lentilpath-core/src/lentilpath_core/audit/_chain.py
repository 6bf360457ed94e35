"""Objects that cannot be changed unseen: each names the digest of the one before.

A sealed object is text: a first line with the digest of the object before it and the number of
its lines, then the lines. Its own digest is the SHA-256 of all of that. Whoever holds the last
digest, which the table keeps, can tell whether any object of the chain was changed or left out.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass

from lentilpath_core.errors import LentilpathError

FIRST_DIGEST = "0" * 64
"""Stands for the object before the first one."""


class BrokenChain(LentilpathError):
    """A sealed object is not what its digest says."""

    code = "broken-chain"


@dataclass(frozen=True, slots=True)
class SealedObject:
    """One object of a chain."""

    data: bytes
    digest: str
    previous: str
    lines: tuple[str, ...]


def seal_lines(lines: Iterable[str], previous: str) -> SealedObject:
    """Return the object that follows the one with digest `previous`."""
    kept = tuple(lines)
    head = json.dumps({"previous": previous, "lines": len(kept)}, separators=(",", ":"))
    data = "\n".join((head, *kept)).encode()
    return SealedObject(data, hashlib.sha256(data).hexdigest(), previous, kept)


def read_sealed(data: bytes, digest: str) -> SealedObject:
    """Return the object stored as `data`; raises `BrokenChain` if its digest is another one."""
    found = hashlib.sha256(data).hexdigest()
    if found != digest:
        raise BrokenChain(f"the object has digest {found}, sealed was {digest}: it was changed")
    head, *lines = data.decode().split("\n")
    return SealedObject(data, digest, str(json.loads(head)["previous"]), tuple(lines))


def find_broken_link(objects: Iterable[tuple[bytes, str]], last_digest: str) -> str | None:
    """Return what is wrong with a chain, or `None` if it is whole.

    `objects` are data and recorded digest of each, oldest first; `last_digest` is the table's.
    """
    previous = FIRST_DIGEST
    for place, (data, digest) in enumerate(objects, 1):
        try:
            sealed = read_sealed(data, digest)
        except BrokenChain as error:
            return f"object {place}: {error}"
        if sealed.previous != previous:
            return f"object {place} follows {sealed.previous}, but the one before is {previous}"
        previous = digest
    if previous != last_digest:
        return f"the chain ends with {previous}, but the table says {last_digest}"
    return None
