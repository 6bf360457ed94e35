"""Tamper-evident objects in a hash chain: each holds the digest of the one before.

A sealed object is text: a header line with the digest of the object before it and the number of
its lines, then the lines. Its own digest is the SHA-256 of the whole text. The table keeps the last
digest, which is enough to detect whether any object of the chain was changed or left out.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass

from lentilpath_core.errors import LentilpathError

FIRST_DIGEST = "0" * 64
"""The previous digest in the first object of a chain."""


class BrokenChain(LentilpathError):
    """A sealed object is missing or does not match its digest."""

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
    sealed_lines = tuple(lines)
    header = json.dumps({"previous": previous, "lines": len(sealed_lines)}, separators=(",", ":"))
    data = "\n".join((header, *sealed_lines)).encode()
    return SealedObject(data, hashlib.sha256(data).hexdigest(), previous, sealed_lines)


def verify_sealed_object(data: bytes, digest: str) -> SealedObject:
    """Return the object stored as `data`; raises `BrokenChain` if `digest` does not match it."""
    found = hashlib.sha256(data).hexdigest()
    if found != digest:
        raise BrokenChain(f"the object has digest {found}, sealed was {digest}: it was changed")
    header, *lines = data.decode().split("\n")
    return SealedObject(data, digest, str(json.loads(header)["previous"]), tuple(lines))


def find_chain_error(objects: Iterable[tuple[bytes, str]], last_digest: str) -> str | None:
    """Return a description of the first error in a chain, or `None` if it is intact.

    `objects` holds data and recorded digest of each object, oldest first; `last_digest` is the one
    that the table keeps.
    """
    previous = FIRST_DIGEST
    for position, (data, digest) in enumerate(objects, 1):
        try:
            sealed = verify_sealed_object(data, digest)
        except BrokenChain as error:
            return f"object {position}: {error}"
        if sealed.previous != previous:
            return f"object {position} follows {sealed.previous}, but the one before is {previous}"
        previous = digest
    if previous != last_digest:
        return f"the chain ends with {previous}, but the table says {last_digest}"
    return None
