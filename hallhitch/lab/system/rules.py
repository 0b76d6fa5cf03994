"""The rules, checked over the records of the stand-ins alone: it knows nothing of the system's insides.

Each rule is a plain function from records and figures to what was broken. It must never read a clock or a socket.
Where the operators' page gives a rule more room than can be told from records, the rule here gives at least as much;
what is left out altogether is named in docs/operate/own-world.md.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import lru_cache
from typing import Any

from hallhitch.lab.system.allowed import (
    UNSAFE,
    Touch,
    admits,
    route_of,
    runs,
    services_of,
    tenant_of,
    words,
)
from hallhitch.lab.system.records import FOREVER, Arrival, Broken, Figures, Records, Try

PROMISES = (408, 421, 429, 503)
OWN_REFUSALS = (401, 403, 404)
SECOND = 1000.0


def _unsafe(records: Records) -> set[str]:
    """The ids of requests that may run once at most: on a route that any configuration calls unsafe."""
    sent = words(records.orders).sent()

    @lru_cache(4096)
    def unsafe(host: str, path: str) -> bool:
        found = (route_of(config, host, path) for config in sent)
        return any(each is not None and each[1]["routeKind"] == UNSAFE for each in found)

    return {t.id for t in records.tries if unsafe(t.host, t.path)}


def _begun(records: Records) -> dict[str, list[Arrival]]:
    found: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in records.arrivals:
        if arrival.begun is not None:
            found[arrival.id].append(arrival)
    return found


def _tries(records: Records) -> dict[str, Try]:
    return {t.id: t for t in records.tries}


def twice(records: Records, figures: Figures) -> list[Broken]:
    """An unsafe request that ran more than once."""
    unsafe = _unsafe(records)
    return [
        Broken("TWICE", f"{id} ran at {', '.join(a.instance for a in runs_)}")
        for id, runs_ in _begun(records).items()
        if len(runs_) > 1 and id in unsafe
    ]


def refused(records: Records, figures: Figures) -> list[Broken]:
    """An unsafe request that was refused with a promise, and ran all the same."""
    unsafe, begun = _unsafe(records), _begun(records)
    return [
        Broken("REFUSED", f"{t.id} got {t.status} from {t.gateway} and ran at {begun[t.id][0].instance}")
        for t in records.tries
        if t.status in PROMISES and t.id in unsafe and t.id in begun
    ]


def mixed(records: Records, figures: Figures) -> list[Broken]:
    """A success that is not what a backend answered to this request, whole."""
    found, begun = [], _begun(records)
    for t in records.tries:
        if t.echo and t.echo != t.id:
            found.append(Broken("MIXED", f"{t.id} got an answer to {t.echo} from {t.gateway}"))
        elif 200 <= t.status < 300:
            why = _why_mixed(t, begun.get(t.id, []))
            if why:
                found.append(Broken("MIXED", f"{t.id} got {t.status} from {t.gateway} {why}"))
    return found


def _why_mixed(t: Try, ran: list[Arrival]) -> str:
    if not t.seal:
        return "without a seal"
    of = [a for a in ran if a.seal == t.seal]
    if not of:
        return "with a seal of no backend that ran it"
    if not t.whole or t.answer != of[0].answer:
        return "without the backend's whole body"
    return "" if 200 <= of[0].status < 300 else f"where {of[0].instance} answered {of[0].status}"


def unasked(records: Records, figures: Figures) -> list[Broken]:
    """A run that no client asked for as it was run, under another tenant's name, or with the key itself."""
    found, tries = [], _tries(records)
    configs = words(records.orders).sent()

    @lru_cache(4096)
    def names(key: str, host: str, path: str) -> frozenset[str]:
        told = {tenant_of(config, key) for config in configs}
        public = any(
            each is not None and each[1].get("public", False)
            for each in (route_of(config, host, path) for config in configs)
        )
        return frozenset(name for name in told if name or public or not key)

    for a in records.arrivals:
        if a.begun is None:
            continue
        t = tries.get(a.id)
        if t is None:
            found.append(Broken("UNASKED", f"{a.id or 'a request without id'} ran at {a.instance}: nobody sent it"))
            continue
        changed = [what for what in ("method", "path", "body") if getattr(a, what) != getattr(t, what)]
        if changed:
            found.append(Broken("UNASKED", f"{a.id} ran at {a.instance} with another {', '.join(changed)}"))
        if a.key:
            found.append(Broken("UNASKED", f"{a.id}: the key itself was passed to {a.instance}"))
        if a.tenant not in names(t.key, t.host, t.path):
            found.append(Broken("UNASKED", f"{a.id} ran for '{a.tenant}', who does not hold its key"))
    return found


def route(records: Records, figures: Figures) -> list[Broken]:
    """A run at a service, or with a key, that no configuration ever sent allows."""
    tries, configs = _tries(records), words(records.orders).sent()

    @lru_cache(4096)
    def allowed(host: str, path: str, key: str, service: str) -> bool:
        return any(runs(config, host, path, key, service) for config in configs)

    return [
        Broken("ROUTE", f"{a.id} ran at {a.instance} of {a.service}")
        for a in records.arrivals
        if a.begun is not None and (t := tries.get(a.id)) is not None and not allowed(t.host, t.path, t.key, a.service)
    ]


def homes(records: Records, figures: Figures) -> list[Broken]:
    """A request that reached a backend outside the regions of its route or tenant."""
    tries, configs = _tries(records), words(records.orders).sent()

    @lru_cache(4096)
    def at_home(host: str, path: str, key: str, region: str) -> bool:
        verdicts = []
        for config in configs:
            found = route_of(config, host, path)
            if found is not None:
                tenant = config.get("tenants", {}).get(tenant_of(config, key), {})
                verdicts.append(
                    all(
                        not each.get("allowedRegions") or region in each["allowedRegions"]
                        for each in (found[1], tenant)
                    )
                )
        return not verdicts or any(verdicts)

    return [
        Broken("HOME", f"{a.id} reached {a.instance} in {a.region}")
        for a in records.arrivals
        if (t := tries.get(a.id)) is not None and not at_home(t.host, t.path, t.key, a.region)
    ]


def drain(records: Records, figures: Figures) -> list[Broken]:
    """A request that reached a backend too long after the list showed that it leaves."""
    tries, touch = _tries(records), Touch(tuple(records.troubles), figures.contact)
    shown: dict[str, float] = {}
    for each in records.shown:
        shown[each.instance] = min(each.at, shown.get(each.instance, FOREVER))
    away = [span for span in records.troubles if span.whom == "platform"]
    found = []
    for a in records.arrivals:
        at = shown.get(a.instance)
        if at is None or a.at <= at or a.status == 421 or a.id not in tries:
            continue
        lost = sum(max(0.0, min(a.at, span.ends) - max(at, span.at)) for span in away)
        if a.at - at - lost > figures.drain and touch.calm((a.sender, tries[a.id].gateway), at, a.at):
            found.append(Broken("DRAIN", f"{a.id} reached {a.instance} {a.at - at:.0f} ms after it was shown leaving"))
    return found


def evac(records: Records, figures: Figures) -> list[Broken]:
    """A request that reached a zone too long after its evacuation was acknowledged."""
    touch, tries, found = Touch(tuple(records.troubles), figures.contact), _tries(records), []
    for order in records.orders:
        if order.kind != "evacuate" or order.acked is None:
            continue
        back = min(
            (o.at for o in records.orders if o.kind == "return" and o.zone == order.zone and o.at >= order.at),
            default=FOREVER,
        )
        found += [
            Broken("EVAC", f"{a.id} reached {a.instance} in {a.zone} {a.at - order.acked:.0f} ms after the word")
            for a in records.arrivals
            if a.zone == order.zone
            and a.status != 421
            and a.id in tries
            and order.acked + figures.evacuation < a.at < back
            and touch.calm((a.sender, tries[a.id].gateway), tries[a.id].at, a.at)
        ]
    return found


def _most(marks: list[tuple[float, float]], window: float) -> Iterable[tuple[float, int]]:
    """For each (sent, arrived), by arrival: when, and how many were both sent and arrived in the window that ends."""
    marks = sorted(marks, key=lambda mark: mark[1])
    first = 0
    for number, (_, at) in enumerate(marks):
        while marks[first][1] < at - window:
            first += 1
        yield at, sum(1 for sent, _ in marks[first : number + 1] if sent >= at - window)


def failback(records: Records, figures: Figures) -> list[Broken]:
    """A cold backend that got more in a second than it bears."""
    tries, found = _tries(records), []
    by_instance: dict[str, list[Arrival]] = defaultdict(list)
    for a in records.arrivals:
        if a.status != 421 and a.id in tries:
            by_instance[a.instance].append(a)
    for cold in records.colds:
        most = cold.rate * figures.cold_over + figures.cold_slack
        marks = [(tries[a.id].at, a.at) for a in by_instance[cold.instance] if cold.at <= a.at < cold.ends]
        worst = max(_most(marks, SECOND), key=lambda each: each[1], default=(0.0, 0))
        if worst[1] > most:
            found.append(Broken("FAILBACK", f"{cold.instance} got {worst[1]} in a second, {most:g} at most"))
    return found


def quota(records: Records, figures: Figures) -> list[Broken]:
    """A tenant whose requests that ran, in some window, were more than its limit allows."""
    tries, held, found = _tries(records), words(records.orders), []
    by_tenant: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for a in records.arrivals:
        if a.begun is not None and a.tenant and a.id in tries:
            by_tenant[a.tenant].append((tries[a.id].at, a.at))
    window = figures.quota_window
    ends = [
        min((o.acked for o in held.orders if o.acked is not None and o.version > order.version), default=FOREVER)
        + figures.config
        + window
        for order in held.orders
    ]  # of the time for which each may be in force

    def limit(name: str, at: float) -> float:
        most = 0.0
        for order, end in zip(held.orders, ends, strict=True):
            tenant = order.config.get("tenants", {}).get(name)
            if tenant is None or order.at > at or end < at - window:
                continue
            if not tenant.get("ratePerS"):
                return FOREVER
            most = max(most, tenant["ratePerS"] * window / 1000 + tenant.get("burstSize", 0))
        return most * (1 + figures.quota_over) + figures.quota_slack

    for name, marks in by_tenant.items():
        over = [
            (count - allowed, at, count, allowed)
            for at, count in _most(marks, window)
            if count > (allowed := limit(name, at))
        ]
        if over:
            _, at, count, allowed = max(over)
            found.append(Broken("QUOTA", f"{name} ran {count} in the window to {at:.0f}, {allowed:g} at most"))
    return found


def budget(records: Records, figures: Figures) -> list[Broken]:
    """A service that got more further arrivals, in some window, than its requests allow."""
    configs = words(records.orders).sent()

    @lru_cache(4096)
    def services(host: str, path: str) -> frozenset[str]:
        found = (route_of(config, host, path) for config in configs)
        return frozenset(name for each in found if each is not None for name in services_of(each[1]))

    asked: dict[str, list[float]] = defaultdict(list)
    for t in sorted(records.tries, key=lambda t: t.at):
        for name in services(t.host, t.path):
            asked[name].append(t.at)
    further: dict[str, list[float]] = defaultdict(list)
    seen: set[str] = set()
    for a in sorted(records.arrivals, key=lambda a: a.at):
        if a.id in seen:
            further[a.service].append(a.at)
        seen.add(a.id)
    found, w = [], figures.retry_window
    for name, marks in further.items():
        for number, at in enumerate(marks):
            extra = number + 1 - bisect_left(marks, at - w)
            requests = max(
                bisect_right(asked[name], at - late) - bisect_left(asked[name], at - late - w)
                for late in (0.0, w / 2, w)
            )
            most = figures.retry_ratio * requests + figures.retry_slack
            if extra > most:
                found.append(Broken("BUDGET", f"{name} got {extra} further arrivals in a window, {most:g} at most"))
                break
    return found


def config(records: Records, figures: Figures) -> list[Broken]:
    """A request handled as only a configuration allows that is overtaken, or that a process had left already."""
    held, touch = words(records.orders), Touch(tuple(records.troubles), figures.contact)
    tries, found = _tries(records), []
    for a in records.arrivals:
        t = tries.get(a.id)
        if a.begun is None or t is None or not touch.calm((a.sender, t.gateway), t.at, a.at):
            continue
        may = held.may_hold(t.at, a.at, figures)
        if may and not any(runs(o.config, t.host, t.path, t.key, a.service) for o in may):
            found.append(Broken("CONFIG", f"{a.id} ran at {a.service} by {a.sender}: not by version {may[0].version}"))
    for t in records.tries:
        if t.status not in OWN_REFUSALS or t.ended is None or not touch.calm((t.gateway,), t.at, t.ended):
            continue
        may = held.may_hold(t.at, t.ended, figures)
        if may and all(admits(o.config, t.host, t.path, t.key) for o in may):
            found.append(Broken("CONFIG", f"{t.id} got {t.status} from {t.gateway}: version {may[0].version} has it"))
    return found + _went_back(records, figures) + _read_back(records)


def _went_back(records: Records, figures: Figures) -> list[Broken]:
    """Within one life of a process: once the effect of a version was seen, nothing older is."""
    held, tries, found = words(records.orders), _tries(records), []
    starts: dict[str, list[float]] = defaultdict(list)
    for at, name in sorted(records.lives):
        starts[name].append(at)
    seen: dict[tuple[str, int], tuple[int, float]] = {}  # by life: the highest version seen, and when
    for a in sorted(records.arrivals, key=lambda a: a.at):
        t = tries.get(a.id)
        if a.begun is None or t is None:
            continue
        versions = [o.version for o in held.orders if o.at <= a.at and runs(o.config, t.host, t.path, t.key, a.service)]
        if not versions:
            continue  # ROUTE says so
        life = a.sender, bisect_right(starts[a.sender], a.at)
        known, since = seen.get(life, (-1, 0.0))
        if max(versions) < known and t.at > since + figures.back and t.gateway == a.sender:
            found.append(Broken("CONFIG", f"{a.id}: {a.sender} went back from version {known} to {max(versions)}"))
        if min(versions) > known:
            seen[life] = min(versions), a.at
    return found


def _read_back(records: Records) -> list[Broken]:
    """What is read back is the newest acknowledged configuration or a newer one, as it was sent."""
    held, found = words(records.orders), []
    for read in records.reads:
        least = held.floor(read.at)
        if read.config is None:
            if least >= 0:
                found.append(Broken("CONFIG", f"nothing was read back, version {least} was acknowledged"))
            continue
        version = read.config.get("configVersion", -1)
        if version < least:
            found.append(Broken("CONFIG", f"version {version} was read back, {least} was acknowledged"))
        elif not any(o.version == version and _plain(o.config) == _plain(read.config) for o in held.orders):
            found.append(Broken("CONFIG", f"version {version} was read back otherwise than it was sent"))
    return found


def _plain(value: Any) -> Any:
    """The same, with whole numbers and fractions alike."""
    if isinstance(value, dict):
        return {name: _plain(each) for name, each in value.items()}
    if isinstance(value, list | tuple):
        return [_plain(each) for each in value]
    return float(value) if isinstance(value, int) and not isinstance(value, bool) else value


RULES: dict[str, Callable[[Records, Figures], list[Broken]]] = {
    "TWICE": twice,
    "REFUSED": refused,
    "MIXED": mixed,
    "UNASKED": unasked,
    "ROUTE": route,
    "HOME": homes,
    "DRAIN": drain,
    "EVAC": evac,
    "FAILBACK": failback,
    "QUOTA": quota,
    "BUDGET": budget,
    "CONFIG": config,
}


def check(records: Records, figures: Figures) -> dict[str, list[Broken]]:
    """All rules: what was broken, by rule; nothing is an empty list."""
    return {name: rule(records, figures) for name, rule in RULES.items()}
