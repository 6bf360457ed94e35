"""Fencing tokens of the leader's clients of workers."""

from __future__ import annotations

from lentilpath_core.ids import Epoch, FencingToken

TOKENS_PER_EPOCH = 1_000_000_000
"""Fencing tokens that are set aside for the clients of each epoch. A pool of thousands of workers
that all fall silent once a minute takes months to use them up."""


def make_token(epoch: Epoch, client: int) -> FencingToken:
    """Return the fencing token of a client, numbered from 1; 0 for commands before any link."""
    return FencingToken(epoch * TOKENS_PER_EPOCH + client)
