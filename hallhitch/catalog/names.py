"""Valid names of tenants and their entries, and the id of a client in the decision module.

Each name has one spelling. Names of different tenants never collide: wherever tenants share a namespace (the counter,
a log, a token), the tenant's name is the prefix, and no name contains `/`.
"""

from __future__ import annotations

import re

OPERATORS = ""  # in place of a tenant name: the entries of the operators, their credentials
TENANT_PATTERN = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,38}[a-z0-9])?")  # one DNS label, as host names are derived from it
PLAN_PATTERN = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,62}[a-z0-9])?")
CREDENTIAL_PATTERN = PLAN_PATTERN
CLIENT_PATTERN = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9_:@.-]{0,63})")
CUSTOMER_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
LABEL_PATTERN = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")
MAX_HOST_LENGTH = 253  # RFC 1035, in text form without the trailing dot


def is_tenant(name: str) -> bool:
    """Return whether this is a valid tenant name."""
    return TENANT_PATTERN.fullmatch(name) is not None


def is_plan(name: str) -> bool:
    """Return whether this is a valid plan name."""
    return PLAN_PATTERN.fullmatch(name) is not None


def is_credential(name: str) -> bool:
    """Return whether this is a valid credential id."""
    return CREDENTIAL_PATTERN.fullmatch(name) is not None


def is_client(name: str) -> bool:
    """Return whether this is the canonical id of a client; a customer id of 16 hexadecimal digits is in lower case."""
    return CLIENT_PATTERN.fullmatch(name) is not None and canonical_client_id(name) == name


def canonical_client_id(text: str) -> str:
    """Return a client's canonical id; the case of a customer id does not matter, as in the platform's protocol."""
    return text.lower() if CUSTOMER_ID_PATTERN.fullmatch(text) else text


def is_host(name: str) -> bool:
    """Return whether this is a canonical host name: lower case, at least two labels, no trailing dot."""
    labels = name.split(".")
    return len(name) <= MAX_HOST_LENGTH and len(labels) > 1 and all(LABEL_PATTERN.fullmatch(label) for label in labels)


def decision_customer_id(tenant: str, client: str) -> str:
    """Return the id of a tenant's client in the decision module, which is also used in the keys of the counter.

    Different pairs give different ids, since neither name contains `/`.
    """
    return f"{tenant}/{client}"
