"""The names that tenants' things may have, and how a tenant's client is named to the decision module.

Every name has one spelling. Names of two tenants are never compared: whatever goes to a shared place (the counter,
a log, a token) carries the tenant's name in front, and `/` stands in no name.
"""

from __future__ import annotations

import re

OPERATORS = ""  # the part of the catalogue that belongs to no tenant: the operators' credentials
TENANT = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,38}[a-z0-9])?")  # one DNS label, as hosts are made of it
PLAN = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,62}[a-z0-9])?")
CREDENTIAL = PLAN
CLIENT = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9_:@.-]{0,63})")
CUSTOMER_ID = re.compile(r"[0-9a-fA-F]{16}")
LABEL = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")
HOST_LENGTH = 253  # RFC 1035, in the text form without the last dot


def is_tenant(name: str) -> bool:
    """Whether this can name a tenant."""
    return TENANT.fullmatch(name) is not None


def is_plan(name: str) -> bool:
    """Whether this can name a plan."""
    return PLAN.fullmatch(name) is not None


def is_credential(name: str) -> bool:
    """Whether this can be a credential's id."""
    return CREDENTIAL.fullmatch(name) is not None


def is_client(name: str) -> bool:
    """Whether this is a client's one spelling; 16 hexadecimal digits are a customer id, in lower case."""
    return CLIENT.fullmatch(name) is not None and canonical_client_id(name) == name


def canonical_client_id(text: str) -> str:
    """A client's one spelling: a customer id in either case is one client, as on the platform's wire."""
    return text.lower() if CUSTOMER_ID.fullmatch(text) else text


def is_host(name: str) -> bool:
    """Whether this is a host name in its one spelling: lower case, two labels or more, no dot at the end."""
    labels = name.split(".")
    return len(name) <= HOST_LENGTH and len(labels) > 1 and all(LABEL.fullmatch(part) for part in labels)


def decision_customer_id(tenant: str, client: str) -> str:
    """What the decision module, and so the counter's names, know a tenant's client by.

    No two pairs give one text, since neither part holds a `/`: equal client ids of two tenants never meet.
    """
    return f"{tenant}/{client}"
