"""The settings file that turns membership on (`--peers FILE`); `deploy/peers.toml` is an example."""

from __future__ import annotations

import ipaddress
from functools import lru_cache
from typing import Annotated, Final

from msgspec import Meta, Struct

from hallhitch.core.addresses import parse_address
from hallhitch.membership.damped_view import DampingSettings
from hallhitch.membership.errors import MemberNameError
from hallhitch.membership.messages import ClusterName
from hallhitch.membership.protocol_settings import ProtocolSettings
from hallhitch.membership.records import MAX_NAME_LENGTH, Label
from hallhitch.settings_file import check_field
from hallhitch.settings_file import read as read_file

MAX_CACHED_HOSTS: Final = 8_192  # twice the default bound of members
# Probe intervals after the start in which all members are admitted at once: the view is complete by then.
STARTUP_PROBE_INTERVALS: Final = 8
NAME_CHARACTERS: Final = "._:/@-"  # beside ASCII letters and digits

Seconds = Annotated[float, Meta(gt=0, le=86_400)]
BoundedCount = Annotated[int, Meta(ge=1, le=100_000)]


class Periods(Struct, frozen=True, forbid_unknown_fields=True):
    """`[periods]`: intervals of the protocol."""

    probe_s: Annotated[float, Meta(ge=0.02, le=60)] = 0.5  # from one probe to the next
    answer_s: Annotated[float, Meta(ge=0.005, le=30)] = 0.2  # for a reply, before indirect probes are requested
    suspicion: Annotated[float, Meta(ge=1, le=100)] = 4.0  # probe intervals to refute, times log10 of the members
    reach_s: Annotated[float, Meta(ge=0.02, le=600)] = 2.0  # between attempts to reach a failed member or a seed
    exchange_s: Annotated[float, Meta(ge=0.02, le=600)] = 2.0  # between exchanges of views that differ
    forget_s: Seconds = 3600.0  # until a member that failed or left is removed


class Follow(Struct, frozen=True, forbid_unknown_fields=True):
    """`[follow]`: how placement and budgets follow the view."""

    settle_s: Annotated[float, Meta(ge=0, le=600)] = 2.0  # a newcomer is present before servers are shared with it
    pause_s: Annotated[float, Meta(ge=0, le=600)] = 5.0  # a member that failed is back before they are
    step_s: Annotated[float, Meta(ge=0.01, le=60)] = 1.0  # between changes of placement
    part: Annotated[float, Meta(gt=0, le=1)] = 0.1  # of the members, that may come back in a step
    hold_s: Annotated[float, Meta(ge=0, le=3600)] = 15.0  # a failed member counts in full for budgets
    fade_s: Annotated[float, Meta(gt=0, le=3600)] = 45.0  # over which it then ceases to


class MembershipSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The complete file."""

    listen: str  # an address of this gateway alone
    cluster: ClusterName
    seeds: Annotated[tuple[str, ...], Meta(max_length=64)] = ()
    networks: Annotated[tuple[str, ...], Meta(min_length=1, max_length=64)] = ("127.0.0.0/8",)
    advertise: str | None = None  # where others send to, if that is not `listen`
    zone: Label = ""
    members: BoundedCount = 4_096  # records held at most
    datagrams_per_s: BoundedCount = 2_000  # read at most; more are dropped unread
    periods: Periods = Periods()
    follow: Follow = Follow()

    def __post_init__(self) -> None:
        check_field("listen", lambda: parse_numeric_address(self.listen))
        if self.advertise is not None:
            check_field("advertise", lambda: parse_numeric_address(self.advertise or ""))
        for number, network in enumerate(self.networks):
            check_field(f"networks[{number}]", lambda network=network: ipaddress.ip_network(network))  # type: ignore[misc]
        self._check_allowed()
        if self.periods.answer_s >= self.periods.probe_s:
            raise ValueError("field 'periods.answer_s': not shorter than 'periods.probe_s'")

    def _check_allowed(self) -> None:
        is_allowed = AllowedNetworks(self.networks)
        for number, seed in enumerate(self.seeds):
            check_field(f"seeds[{number}]", lambda seed=seed: parse_numeric_address(seed))  # type: ignore[misc]
            if not is_allowed(seed):
                raise ValueError(f"field 'seeds[{number}]': '{seed}' is in none of the networks")
        field, address = ("listen", self.listen) if self.advertise is None else ("advertise", self.advertise)
        if not is_allowed(address):
            raise ValueError(f"field '{field}': '{address}' is in none of the networks")

    def protocol(self) -> ProtocolSettings:
        """Return the settings of the state machine."""
        periods = self.periods
        return ProtocolSettings(
            probe_interval_ms=periods.probe_s * 1000,
            reply_timeout_ms=periods.answer_s * 1000,
            suspicion_multiplier=periods.suspicion,
            reconnect_interval_ms=periods.reach_s * 1000,
            exchange_interval_ms=periods.exchange_s * 1000,
            forget_after_ms=periods.forget_s * 1000,
            max_members=self.members,
        )

    def damping(self) -> DampingSettings:
        """Return the settings of the damped view."""
        follow = self.follow
        return DampingSettings(
            settle_ms=follow.settle_s * 1000,
            return_pause_ms=follow.pause_s * 1000,
            step_ms=follow.step_s * 1000,
            readmission_ratio=follow.part,
            budget_hold_ms=follow.hold_s * 1000,
            budget_fade_ms=follow.fade_s * 1000,
            startup_ms=STARTUP_PROBE_INTERVALS * self.periods.probe_s * 1000,
        )


def parse_numeric_address(text: str) -> tuple[str, int]:
    """Return the host and port of a numeric address; names are not resolved.

    Raises:
        ValueError: The text is no numeric `host:port`.
    """
    host, port = parse_address(text)
    ipaddress.ip_address(host)
    return host, port


class AllowedNetworks:
    """Decides whether an address is in one of the allowed networks; remembers its latest answers."""

    def __init__(self, networks: tuple[str, ...]) -> None:
        self._networks = [ipaddress.ip_network(network) for network in networks]
        self._cached_contains = lru_cache(MAX_CACHED_HOSTS)(self._contains)

    def __call__(self, address: str) -> bool:
        """Return whether an address belongs to the network."""
        return self._cached_contains(address.rpartition(":")[0].strip("[]"))

    def _contains(self, host: str) -> bool:
        try:
            address = ipaddress.ip_address(host)
        except ValueError:
            return False
        return any(address in network for network in self._networks)


def read_settings(path: str) -> MembershipSettings:
    """Read and check the file.

    Raises:
        SettingsError: The file cannot be used; the text names the field.
    """
    return read_file(path, MembershipSettings)


def validate_member_name(name: str) -> str:
    """Return a gateway's name if it can be sent as a member's name.

    Raises:
        MemberNameError: It is empty, too long, or has other characters.
    """
    has_valid_length = 0 < len(name) <= MAX_NAME_LENGTH
    if not has_valid_length or not all(c.isascii() and (c.isalnum() or c in NAME_CHARACTERS) for c in name):
        raise MemberNameError(name, MAX_NAME_LENGTH)
    return name
