"""Processing of one call within a batch, in the writer's thread.

A call ends in one of four ways: it is rejected with an error, answered with the stored reply of an earlier attempt,
refused by a rule of the catalog, or applied.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from hallhitch.administration.errors import CredentialNoLongerValid, IdempotencyKeyReused, StoreError
from hallhitch.administration.secrets import ServiceKeys
from hallhitch.administration.store import Batch
from hallhitch.administration.store_records import AuditEntry, StoredResponse
from hallhitch.administration.write_calls import (
    Call,
    Reply,
    StoredReply,
    decode_stored_reply,
    encode_stored_reply,
)
from hallhitch.catalog.access import valid_credential
from hallhitch.catalog.changes import apply_change
from hallhitch.catalog.errors import ChangeRefused
from hallhitch.catalog.history import Diff
from hallhitch.catalog.model import Catalog
from hallhitch.core.invariants import invariant

RESPONSE_RETENTION_MS: Final = 24 * 3_600_000  # the API guarantees that a retry within this time gets the first reply

Outcome = Reply | Exception


@dataclass(slots=True)
class Decision:
    """Outcome of one call: the catalog after it and, if the call changed the catalog, the diff."""

    catalog: Catalog
    outcome: Outcome
    diff: Diff | None = None


class CallDecider:
    """Decides calls, and writes their changes, responses and audit entries to a batch."""

    def __init__(self, keys: ServiceKeys) -> None:
        self._keys = keys

    def decide(self, batch: Batch, call: Call, catalog: Catalog, now_ms: int) -> Decision:
        """Decide a call on the catalog as the previous calls left it, and write the results to the batch.

        Raises:
            CorruptStoreError: The stored response to the call is damaged.
        """
        # The credential was checked when the call arrived, but it must still be valid when the change is made.
        credential = valid_credential(catalog, call.caller.tenant, call.caller.id, now_ms)
        if credential is None or credential.scope is not call.caller.scope:
            return Decision(catalog, CredentialNoLongerValid(call.caller.name))
        stored = batch.stored_response(call.caller.name, call.key)
        if stored is not None and now_ms - stored.stored_at_ms < RESPONSE_RETENTION_MS:
            return Decision(catalog, self._repeat_reply(call, stored))
        return self._make_change(batch, call, catalog, now_ms)

    def _make_change(self, batch: Batch, call: Call, catalog: Catalog, now_ms: int) -> Decision:
        """Plan and apply a call's change, and write the change, the response and the audit entry to the batch."""
        caller = call.caller.name
        diff: Diff | None = None
        version = 0
        try:
            planned = call.plan(catalog, now_ms)
            applied = apply_change(catalog, planned.change)
            reply = planned.reply(applied.catalog)
            is_sealed = planned.has_secret
            batch.append_change(applied.catalog, applied.diff, now_ms, call.tenant, caller)
            invariant(applied.catalog.version == catalog.version + 1, "versions are dense")
            catalog = applied.catalog
            version = catalog.version
            diff = applied.diff
        except ChangeRefused as refusal:
            reply = call.refusal_reply(refusal)
            is_sealed = False
        body = self._keys.seal(reply.body, f"{caller} {call.key}") if is_sealed else reply.body
        encoded_reply = encode_stored_reply(StoredReply(reply.status, reply.headers, body, is_sealed))
        batch.store_response(caller, call.key, StoredResponse(now_ms, call.fingerprint, encoded_reply))
        batch.audit(AuditEntry(0, now_ms, call.tenant, caller, call.action, reply.status, catalog.epoch, version))
        return Decision(catalog, reply, diff)

    def _repeat_reply(self, call: Call, stored: StoredResponse) -> Outcome:
        """Return the stored reply byte for byte, or IdempotencyKeyReused if it belongs to a different call."""
        if stored.fingerprint != call.fingerprint:
            return IdempotencyKeyReused(call.caller.name, call.key)
        reply = decode_stored_reply(stored.body)
        try:
            body = self._keys.unseal(reply.body, f"{call.caller.name} {call.key}") if reply.sealed else reply.body
        except StoreError as error:
            return error
        return Reply(reply.status, reply.headers, body)
