"""Names that tenants and their entries may have, and the name of a client towards the decision module.

Each name has one spelling. Names of two tenants are never compared: whatever goes to a shared place (the counter, a
log, a token) carries the tenant's name in front, and no name contains `/`.
"""

from __future__ import annotations

import re

OPERATORS = ""  # the part of the catalog that belongs to no tenant: the operators' credentials
TENANT = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,38}[a-z0-9])?")  # one DNS label, as hosts are made of it
PLAN = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,62}[a-z0-9])?")
CREDENTIAL = PLAN
CLIENT = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9_:@.-]{0,63})")
CUSTOMER_ID = re.compile(r"[0-9a-fA-F]{16}")
LABEL = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")
HOST_LENGTH = 253  # RFC 1035, in the text form without the last dot


def is_tenant(name: str) -> bool:
    """Return whether this can name a tenant."""
    return TENANT.fullmatch(name) is not None


def is_plan(name: str) -> bool:
    """Return whether this can name a plan."""
    return PLAN.fullmatch(name) is not None


def is_credential(name: str) -> bool:
    """Return whether this can be a credential's id."""
    return CREDENTIAL.fullmatch(name) is not None


def is_client(name: str) -> bool:
    """Return whether this is a client's canonical id; 16 hexadecimal digits are a customer id, in lower case."""
    return CLIENT.fullmatch(name) is not None and canonical_client_id(name) == name


def canonical_client_id(text: str) -> str:
    """Return a client's canonical id: a customer id in either case is one client, as on the platform's wire."""
    return text.lower() if CUSTOMER_ID.fullmatch(text) else text


def is_host(name: str) -> bool:
    """Return whether this is a canonical host name: lower case, two labels or more, no dot at the end."""
    labels = name.split(".")
    return len(name) <= HOST_LENGTH and len(labels) > 1 and all(LABEL.fullmatch(part) for part in labels)


def decision_customer_id(tenant: str, client: str) -> str:
    """Return the id of a tenant's client towards the decision module, and so in the counter's names.

    No two pairs give one id, since neither part contains `/`.
    """
    return f"{tenant}/{client}"
