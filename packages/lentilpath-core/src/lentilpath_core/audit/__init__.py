"""The audit trail of commands, and objects in a hash chain that makes later changes detectable."""

from lentilpath_core.audit._chain import (
    FIRST_DIGEST,
    BrokenChain,
    SealedObject,
    find_chain_error,
    seal_lines,
    verify_sealed_object,
)
from lentilpath_core.audit._trail import (
    CommandRecord,
    decode_records,
    encode_records,
    get_audit_key,
    get_audit_prefix,
    get_command_key,
    parse_audit_time,
)

__all__ = [
    "FIRST_DIGEST",
    "BrokenChain",
    "CommandRecord",
    "SealedObject",
    "decode_records",
    "encode_records",
    "find_chain_error",
    "get_audit_key",
    "get_audit_prefix",
    "get_command_key",
    "parse_audit_time",
    "seal_lines",
    "verify_sealed_object",
]
