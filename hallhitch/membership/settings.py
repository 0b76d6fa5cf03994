"""The file that turns membership on (`--peers FILE`); `deploy/peers.toml` is one."""

from __future__ import annotations

import ipaddress
from functools import lru_cache
from typing import Annotated

from msgspec import Meta, Struct

from hallhitch.core.addresses import parse_address
from hallhitch.membership.messages import Cluster
from hallhitch.membership.model import NAME_MOST, Word
from hallhitch.membership.roster import Damping
from hallhitch.membership.swim import Tuning
from hallhitch.settings_file import checked
from hallhitch.settings_file import read as read_file

Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Whole = Annotated[int, Meta(ge=1, le=100_000)]


class Periods(Struct, frozen=True, forbid_unknown_fields=True):
    """Of the members' talk."""

    probe_s: Annotated[float, Meta(ge=0.02, le=60)] = 0.5  # from one probe to the next
    answer_s: Annotated[float, Meta(ge=0.005, le=30)] = 0.2  # for an answer, until others are asked to try
    suspicion: Annotated[float, Meta(ge=1, le=100)] = 4.0  # probes' periods to refute, times log10 of the members
    reach_s: Annotated[float, Meta(ge=0.02, le=600)] = 2.0  # between tries to reach who failed, or a seed
    exchange_s: Annotated[float, Meta(ge=0.02, le=600)] = 2.0  # between exchanges of views that differ
    forget_s: Seconds = 3600.0  # until one that failed or left is forgotten


class Follow(Struct, frozen=True, forbid_unknown_fields=True):
    """How places and budgets follow."""

    settle_s: Annotated[float, Meta(ge=0, le=600)] = 2.0  # that a newcomer is there before servers are shared with it
    pause_s: Annotated[float, Meta(ge=0, le=600)] = 5.0  # that one which failed is back before they are
    step_s: Annotated[float, Meta(ge=0.01, le=60)] = 1.0  # between changes of places
    part: Annotated[float, Meta(gt=0, le=1)] = 0.1  # of the members, that may come back in a step
    hold_s: Annotated[float, Meta(ge=0, le=3600)] = 15.0  # that one which failed counts in full for budgets
    fade_s: Annotated[float, Meta(gt=0, le=3600)] = 45.0  # over which it then ceases to


class Peers(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    listen: str  # an address of this gateway alone
    cluster: Cluster
    seeds: Annotated[tuple[str, ...], Meta(max_length=64)] = ()
    networks: Annotated[tuple[str, ...], Meta(min_length=1, max_length=64)] = ("127.0.0.0/8",)
    advertise: str | None = None  # where others send to, if that is not `listen`
    zone: Word = ""
    members: Whole = 4_096  # records held at most
    datagrams_per_s: Whole = 2_000  # read at most; more are dropped unread
    periods: Periods = Periods()
    follow: Follow = Follow()

    def __post_init__(self) -> None:
        checked("listen", lambda: numeric(self.listen))
        if self.advertise is not None:
            checked("advertise", lambda: numeric(self.advertise or ""))
        for number, network in enumerate(self.networks):
            checked(f"networks[{number}]", lambda network=network: ipaddress.ip_network(network))  # type: ignore[misc]
        allowed = Allowed(self.networks)
        for number, seed in enumerate(self.seeds):
            checked(f"seeds[{number}]", lambda seed=seed: numeric(seed))  # type: ignore[misc]
            if not allowed(seed):
                raise ValueError(f"field 'seeds[{number}]': '{seed}' is in none of the networks")
        field, own = ("listen", self.listen) if self.advertise is None else ("advertise", self.advertise)
        if not allowed(own):
            raise ValueError(f"field '{field}': '{own}' is in none of the networks")
        if self.periods.answer_s >= self.periods.probe_s:
            raise ValueError("field 'periods.answer_s': not shorter than 'periods.probe_s'")

    def tuning(self) -> Tuning:
        """What the state machine goes by, in ms."""
        p = self.periods
        return Tuning(
            p.probe_s * 1000,
            p.answer_s * 1000,
            suspicion=p.suspicion,
            reach=p.reach_s * 1000,
            sync=p.exchange_s * 1000,
            forget=p.forget_s * 1000,
            members=self.members,
        )

    def damping(self) -> Damping:
        """What places and budgets follow by, in ms."""
        f = self.follow
        fresh = 8 * self.periods.probe_s * 1000
        return Damping(
            f.settle_s * 1000, f.pause_s * 1000, f.step_s * 1000, f.part, f.hold_s * 1000, f.fade_s * 1000, fresh
        )


def numeric(text: str) -> tuple[str, int]:
    """Host and port of an address in numbers: names are not looked up."""
    host, port = parse_address(text)
    ipaddress.ip_address(host)
    return host, port


class Allowed:
    """Whether an address is in the networks that the file allows; what was looked at last is remembered."""

    def __init__(self, networks: tuple[str, ...]) -> None:
        self._networks = [ipaddress.ip_network(network) for network in networks]
        self._known = lru_cache(8_192)(self._look)

    def __call__(self, address: str) -> bool:
        return self._known(address.rpartition(":")[0].strip("[]"))

    def _look(self, host: str) -> bool:
        try:
            found = ipaddress.ip_address(host)
        except ValueError:
            return False
        return any(found in network for network in self._networks)


def read(path: str) -> Peers:
    """Read the file; SettingsError names the field that is wrong."""
    return read_file(path, Peers)


def name_of(name: str) -> str:
    """A gateway's name as members tell it; ValueError where it cannot be one."""
    if not 0 < len(name) <= NAME_MOST or not all(c.isascii() and (c.isalnum() or c in "._:/@-") for c in name):
        raise ValueError(f"'{name}' is no member's name: 1 to {NAME_MOST} letters, digits or any of . _ : / @ -")
    return name
