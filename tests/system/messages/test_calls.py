"""The table of call kinds covers all messages of the schema."""

from hallhitch.messages.calls import CALL_KINDS, Idempotency, is_idempotent
from hallhitch.messages.system_pb2 import Envelope


def test_each_body_of_the_schema_is_either_a_classified_call_or_a_reply() -> None:
    body = {field.name for field in Envelope.DESCRIPTOR.oneofs_by_name["body"].fields}
    replies = {kind.reply for kind in CALL_KINDS.values()}
    assert body == set(CALL_KINDS) | replies and not set(CALL_KINDS) & replies
    assert all(kind.reason for kind in CALL_KINDS.values())
    assert {name for name, kind in CALL_KINDS.items() if kind.idempotency is Idempotency.NOT_IDEMPOTENT} == {
        "accept",
        "lease_request",
        "count_request",
    }
    assert is_idempotent("state_request") and not is_idempotent("count_request")
