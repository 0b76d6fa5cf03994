"""Rules on single requests: execution at most once, integrity of request and response, permitted services and regions.

The operators' documentation defines the rules under the same names.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Final

from hallhitch.lab.emulator.config_semantics import find_route, find_tenant, permits_service, sent_configs
from hallhitch.lab.emulator.record_index import (
    LOOKUP_CACHE_SIZE,
    attempts_by_id,
    executions_by_id,
    non_idempotent_ids,
)
from hallhitch.lab.emulator.records import BackendArrival, CheckBounds, ClientAttempt, Records, Violation

NOT_EXECUTED_STATUSES: Final = (408, 421, 429, 503)


def check_duplicate_execution(records: Records, bounds: CheckBounds) -> list[Violation]:
    """TWICE: a non-idempotent request is executed at most once."""
    non_idempotent = non_idempotent_ids(records)
    return [
        Violation("TWICE", f"{id} ran at {', '.join(arrival.instance for arrival in executions)}")
        for id, executions in executions_by_id(records).items()
        if len(executions) > 1 and id in non_idempotent
    ]


def check_refused_execution(records: Records, bounds: CheckBounds) -> list[Violation]:
    """REFUSED: a non-idempotent request is not executed if its response status promises that it was not."""
    non_idempotent, executions = non_idempotent_ids(records), executions_by_id(records)
    return [
        Violation(
            "REFUSED",
            f"{attempt.id} got {attempt.status} from {attempt.gateway} and ran at {executions[attempt.id][0].instance}",
        )
        for attempt in records.attempts
        if attempt.status in NOT_EXECUTED_STATUSES and attempt.id in non_idempotent and attempt.id in executions
    ]


def check_response_integrity(records: Records, bounds: CheckBounds) -> list[Violation]:
    """MIXED: a successful response is the complete response of a backend to this very request."""
    violations, executions = [], executions_by_id(records)
    for attempt in records.attempts:
        if attempt.echoed_id and attempt.echoed_id != attempt.id:
            violations.append(
                Violation("MIXED", f"{attempt.id} got a response to {attempt.echoed_id} from {attempt.gateway}")
            )
        elif 200 <= attempt.status < 300:
            defect = _response_defect(attempt, executions.get(attempt.id, []))
            if defect:
                detail = f"{attempt.id} got {attempt.status} from {attempt.gateway} {defect}"
                violations.append(Violation("MIXED", detail))
    return violations


def _response_defect(attempt: ClientAttempt, executions: list[BackendArrival]) -> str:
    """Return what is wrong with a successful response, or ""."""
    if not attempt.seal:
        return "without a seal"
    sealed = [arrival for arrival in executions if arrival.seal == attempt.seal]
    if not sealed:
        return "with a seal that no backend created for it"
    if not attempt.is_complete or attempt.response_digest != sealed[0].response_digest:
        return "without the complete body that the backend sent"
    return "" if 200 <= sealed[0].status < 300 else f"but {sealed[0].instance} responded {sealed[0].status}"


def check_request_integrity(records: Records, bounds: CheckBounds) -> list[Violation]:
    """UNASKED: an executed request was sent by a client, arrives unchanged, names its tenant and omits its key."""
    violations, attempts = [], attempts_by_id(records)
    configs = sent_configs(records.operations).documents()

    @lru_cache(LOOKUP_CACHE_SIZE)
    def permitted_tenants(api_key: str, host: str, path: str) -> frozenset[str]:
        tenants = {find_tenant(config, api_key) for config in configs}
        routes = (find_route(config, host, path) for config in configs)
        is_public = any(route is not None and route.document.get("public", False) for route in routes)
        return frozenset(tenant for tenant in tenants if tenant or is_public or not api_key)

    for arrival in records.arrivals:
        if arrival.started_at_ms is None:
            continue
        attempt = attempts.get(arrival.id)
        if attempt is None:
            id = arrival.id or "a request without an id"
            violations.append(Violation("UNASKED", f"{id} ran at {arrival.instance}, but no client sent it"))
            continue
        if changed := _changed_parts(arrival, attempt):
            detail = f"{arrival.id} ran at {arrival.instance} with a different {', '.join(changed)}"
            violations.append(Violation("UNASKED", detail))
        if arrival.authorization:
            detail = f"{arrival.id}: the client's key was forwarded to {arrival.instance}"
            violations.append(Violation("UNASKED", detail))
        if arrival.tenant not in permitted_tenants(attempt.api_key, attempt.host, attempt.path):
            detail = f"{arrival.id} ran for tenant '{arrival.tenant}', which does not own its key"
            violations.append(Violation("UNASKED", detail))
    return violations


def _changed_parts(arrival: BackendArrival, attempt: ClientAttempt) -> list[str]:
    """Return which parts of a request differ from what its client sent."""
    is_changed = {
        "method": arrival.method != attempt.method,
        "path": arrival.path != attempt.path,
        "body": arrival.body_digest != attempt.body_digest,
    }
    return [part for part, changed in is_changed.items() if changed]


def check_routes(records: Records, bounds: CheckBounds) -> list[Violation]:
    """ROUTE: a request is executed only by a service and with a key that some configuration of the run permits."""
    attempts, configs = attempts_by_id(records), sent_configs(records.operations).documents()

    @lru_cache(LOOKUP_CACHE_SIZE)
    def is_permitted(host: str, path: str, api_key: str, service: str) -> bool:
        return any(permits_service(config, host, path, api_key, service) for config in configs)

    violations = []
    for arrival in records.arrivals:
        attempt = attempts.get(arrival.id)
        if arrival.started_at_ms is None or attempt is None:
            continue
        if not is_permitted(attempt.host, attempt.path, attempt.api_key, arrival.service):
            violations.append(Violation("ROUTE", f"{arrival.id} ran at {arrival.instance} of {arrival.service}"))
    return violations


def check_allowed_regions(records: Records, bounds: CheckBounds) -> list[Violation]:
    """HOME: a request reaches only backends in the regions that its route and its tenant allow."""
    attempts, configs = attempts_by_id(records), sent_configs(records.operations).documents()

    @lru_cache(LOOKUP_CACHE_SIZE)
    def is_allowed(host: str, path: str, api_key: str, region: str) -> bool:
        allowed_by_config = []
        for config in configs:
            route = find_route(config, host, path)
            if route is not None:
                tenant = config.get("tenants", {}).get(find_tenant(config, api_key), {})
                region_lists = (route.document.get("allowedRegions"), tenant.get("allowedRegions"))
                allowed_by_config.append(all(not regions or region in regions for regions in region_lists))
        return not allowed_by_config or any(allowed_by_config)

    violations = []
    for arrival in records.arrivals:
        attempt = attempts.get(arrival.id)
        if attempt is None:
            continue
        if not is_allowed(attempt.host, attempt.path, attempt.api_key, arrival.region):
            violations.append(Violation("HOME", f"{arrival.id} reached {arrival.instance} in {arrival.region}"))
    return violations
