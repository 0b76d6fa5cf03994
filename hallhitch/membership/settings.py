"""The settings file that enables membership (`--peers FILE`); `deploy/peers.toml` is an example."""

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

MAX_CACHED_HOSTS: Final = 8_192  # twice the default of `members`
# Length of the startup period, in which members are admitted immediately: the view is complete after so many probes.
STARTUP_PROBE_INTERVALS: Final = 8
NAME_CHARACTERS: Final = "._:/@-"  # in addition to ASCII letters and digits

Seconds = Annotated[float, Meta(gt=0, le=86_400)]
BoundedCount = Annotated[int, Meta(ge=1, le=100_000)]


class PeriodsSection(Struct, frozen=True, forbid_unknown_fields=True):
    """`[periods]`: intervals of the protocol."""

    probe_s: Annotated[float, Meta(ge=0.02, le=60)] = 0.5  # from one probe to the next
    answer_s: Annotated[float, Meta(ge=0.005, le=30)] = 0.2  # for a reply, before indirect probes are requested
    suspicion: Annotated[float, Meta(ge=1, le=100)] = 4.0  # probe intervals to refute, times log10 of the member count
    reach_s: Annotated[float, Meta(ge=0.02, le=600)] = 2.0  # between attempts to reach a failed member or a seed
    exchange_s: Annotated[float, Meta(ge=0.02, le=600)] = 2.0  # between view exchanges with members whose view differs
    forget_s: Seconds = 3600.0  # how long a member that failed or left is kept


class FollowSection(Struct, frozen=True, forbid_unknown_fields=True):
    """`[follow]`: how placement and budgets follow the view."""

    settle_s: Annotated[float, Meta(ge=0, le=600)] = 2.0  # how long a new member must be present before it counts
    pause_s: Annotated[float, Meta(ge=0, le=600)] = 5.0  # the same for a member that failed and has returned
    step_s: Annotated[float, Meta(ge=0.01, le=60)] = 1.0  # between changes of placement
    part: Annotated[float, Meta(gt=0, le=1)] = 0.1  # fraction of the members that may be admitted in one step
    hold_s: Annotated[float, Meta(ge=0, le=3600)] = 15.0  # how long a failed member counts in full for budgets
    fade_s: Annotated[float, Meta(gt=0, le=3600)] = 45.0  # how long its weight then takes to fall to 0


class MembershipSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of the settings file."""

    listen: str  # address of this gateway's UDP socket, used by no other gateway
    cluster: ClusterName
    seeds: Annotated[tuple[str, ...], Meta(max_length=64)] = ()
    networks: Annotated[tuple[str, ...], Meta(min_length=1, max_length=64)] = ("127.0.0.0/8",)
    advertise: str | None = None  # address that other members send to, if it is not `listen`
    zone: Label = ""
    members: BoundedCount = 4_096  # maximum number of records of other members
    datagrams_per_s: BoundedCount = 2_000  # maximum rate of incoming datagrams; the excess is not decoded
    periods: PeriodsSection = PeriodsSection()
    follow: FollowSection = FollowSection()

    def __post_init__(self) -> None:
        check_field("listen", lambda: parse_numeric_address(self.listen))
        if self.advertise is not None:
            check_field("advertise", lambda: parse_numeric_address(self.advertise or ""))
        for index, network in enumerate(self.networks):
            check_field(f"networks[{index}]", lambda network=network: ipaddress.ip_network(network))  # type: ignore[misc]
        self._check_allowed()
        if self.periods.answer_s >= self.periods.probe_s:
            raise ValueError("field 'periods.answer_s': must be less than 'periods.probe_s'")

    def _check_allowed(self) -> None:
        is_allowed = AllowedNetworks(self.networks)
        for index, seed in enumerate(self.seeds):
            check_field(f"seeds[{index}]", lambda seed=seed: parse_numeric_address(seed))  # type: ignore[misc]
            if not is_allowed(seed):
                raise ValueError(f"field 'seeds[{index}]': address '{seed}' is in none of the configured networks")
        field, address = ("listen", self.listen) if self.advertise is None else ("advertise", self.advertise)
        if not is_allowed(address):
            raise ValueError(f"field '{field}': address '{address}' is in none of the configured networks")

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
    """Return the host and port of a numeric address; host names are not accepted.

    Raises:
        ValueError: The text is not a numeric `host:port`.
    """
    host, port = parse_address(text)
    ipaddress.ip_address(host)
    return host, port


class AllowedNetworks:
    """Tells whether an address is in one of the allowed networks; caches the latest results by host."""

    def __init__(self, networks: tuple[str, ...]) -> None:
        self._networks = [ipaddress.ip_network(network) for network in networks]
        self._cached_contains = lru_cache(MAX_CACHED_HOSTS)(self._contains)

    def __call__(self, address: str) -> bool:
        """Return whether the host of an address is in one of the networks."""
        return self._cached_contains(address.rpartition(":")[0].strip("[]"))

    def _contains(self, host: str) -> bool:
        try:
            address = ipaddress.ip_address(host)
        except ValueError:
            return False
        return any(address in network for network in self._networks)


def read_settings(path: str) -> MembershipSettings:
    """Read and validate the settings file.

    Raises:
        SettingsError: The file is unreadable or invalid; the message names the field.
    """
    return read_file(path, MembershipSettings)


def validate_member_name(name: str) -> str:
    """Return a gateway's name if it is a valid member name.

    Raises:
        MemberNameError: The name is empty or too long, or contains a character that is not allowed.
    """
    has_valid_length = 0 < len(name) <= MAX_NAME_LENGTH
    if not has_valid_length or not all(c.isascii() and (c.isalnum() or c in NAME_CHARACTERS) for c in name):
        raise MemberNameError(name, MAX_NAME_LENGTH)
    return name
