"""Membership in one gateway: the view, the link and what follows for the module, on the gateway's clock and loop.

It owns the timers and the log lines. Whoever starts it is told of places and budgets by `follow`.
"""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Callable
from typing import Any

import msgspec
import structlog

from hallhitch.core.addresses import format_address
from hallhitch.core.deadlines import Deadline, Deadlines
from hallhitch.membership.conduct import Conduct
from hallhitch.membership.link import Link
from hallhitch.membership.messages import Datagram
from hallhitch.membership.model import Record, State
from hallhitch.membership.roster import Counted, Roster
from hallhitch.membership.settings import Allowed, Peers, name_of, numeric
from hallhitch.membership.swim import Change, Swim

HOME = 1_000.0  # ms between tries to have the address that the file names, while another process has it
NAMES_MOST = 8  # names in one log line
SPLIT = 0.25  # part of those counted that fails together: then it may be this gateway that is cut off
HEALED = 0.05  # part that may still be missing when that is over
PREFIX = "svc_members"
log = structlog.get_logger()


class Members:
    """This gateway among the others."""

    def __init__(
        self,
        settings: Peers,
        name: str,
        version: str,
        told: int,
        kin: int | None,
        deadlines: Deadlines,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        follow: Callable[[Counted], object],
    ) -> None:
        """`told` gateways there are by the settings; `kin` is alike for all processes of one gateway that follow each
        other by design, None where there is one alone; `follow` hears of places and budgets."""
        self.settings, self._deadlines, self._follow, self._name = settings, deadlines, follow, name_of(name)
        self._allowed = Allowed(settings.networks)
        self._link = Link(
            settings.cluster, self._allowed, settings.datagrams_per_s, deadlines.clock, loop, self._hear, self._done
        )
        instance = rng.getrandbits(63)
        self._version, self._rng = version[:24], rng
        self._instance, self._kin = instance, instance if kin is None else kin
        self._told = told
        self._timer: Deadline | None = None
        self._due = 0.0
        self._home = True
        self._state = ""
        self._left = 0  # gateways that were there when a split was noticed
        self._conflicts: set[str] = set()  # names told of
        self.swim: Swim | None = None
        self.told = Counted(told, told, lambda server: 0)
        self.follows = False  # whether places and budgets go by the view already

    # From outside.

    def start(self) -> None:
        """Take part. OSError if the address cannot be had, unless another process of this gateway has it."""
        address, shared = numeric(self.settings.listen), self._kin != self._instance
        try:
            here = self._link.open(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or not shared:
                raise
            here = self._link.open((address[0], 0))
            self._home = False
            self._deadlines.call_after(HOME, self._go_home)
        me = Record(
            self._name,
            self._instance,
            0,
            State.ALIVE,
            self._advertised(here),
            self._kin,
            self.settings.zone,
            self._version,
        )
        now = self._deadlines.clock()
        # Where the file says that this gateway is, another process of it may be.
        seeds = dict.fromkeys(
            format_address(numeric(seed))
            for seed in (*self.settings.seeds, self.settings.advertise or self.settings.listen)
        )
        self.swim = Swim(me, self.settings.cluster, self.settings.tuning(), self._rng, tuple(seeds), self._allowed)
        self._roster = Roster(me, self._told, self.settings.damping(), now)
        log.info(
            "looks for other gateways", address=me.address, instance=f"{me.instance:x}", seeds=list(self.settings.seeds)
        )
        self._conduct = Conduct(self.swim, self._roster)
        self.swim.start(now)
        self._done()

    def leave(self) -> None:
        """This gateway goes, as planned, or sends its clients away."""
        if self.swim is not None and self.swim.me.state is not State.LEFT:
            self.swim.leave(self._deadlines.clock())
            self._done()

    def rejoin(self) -> None:
        """It takes clients again."""
        if self.swim is not None:
            self.swim.rejoin(self._deadlines.clock())
            self._done()

    def again(self) -> None:
        """Say once more what holds: whoever followed was told something else."""
        if self.follows:
            self._follow(self.told)

    def close(self) -> None:
        """Be gone."""
        self._link.close()
        self._deadlines.cancel(self._timer)
        self.swim = None

    # Driving.

    def _advertised(self, here: str) -> str:
        return format_address(numeric(self.settings.advertise)) if self.settings.advertise and self._home else here

    def _hear(self, message: Datagram) -> None:
        if self.swim is not None:
            self.swim.hear(message, self._deadlines.clock())

    def _tick(self) -> None:
        self._timer = None
        if self.swim is not None:
            self.swim.tick(self._deadlines.clock())
            self._done()

    def _done(self) -> None:
        """Send, tell and plan what follows from what was just done."""
        if self.swim is None:
            return
        step = self._conduct.done(self._deadlines.clock())
        for address, message in step.out:
            self._link.send(address, message)
        if step.changes:
            self._say(step.changes)
        if step.counted is not None:
            self._tell(step.counted)
        if self.state != self._state:
            self._turned()
        due = self._conduct.wake
        if self._timer is None or due < self._due or due > self._due + 1:
            self._deadlines.cancel(self._timer)
            self._timer, self._due = self._deadlines.call_at(due, self._tick), due

    def _tell(self, counted: Counted) -> None:
        if (counted.seen, counted.counted) != (self.told.seen, self.told.counted):
            log.info("counts on gateways", places=counted.seen, budgets=counted.counted)
        self.told, self.follows = counted, True
        self._follow(counted)

    def _turned(self) -> None:
        """A split begins or is over."""
        assert self.swim is not None
        held, self._state = self._state, self.state
        if self._state != "whole":
            self._left = self.swim.count
            log.warning(
                "cut off from gateways, or they are gone",
                view=self._state,
                missing=self._roster.missing,
                there=self.swim.count,
            )
        elif held:
            back = self.swim.count > self._left
            log.info("gateways are back" if back else "goes by those that are there", there=self.swim.count)

    def _go_home(self) -> None:
        """Listen where the file says, once the process that did so before has ended."""
        if self.swim is None:
            return
        try:
            here = self._link.open(numeric(self.settings.listen))
        except OSError:
            self._deadlines.call_after(HOME, self._go_home)
            return
        self._home = True
        self.swim.move(self._advertised(here), self._deadlines.clock())
        self._done()

    def _say(self, changes: list[Change]) -> None:
        """A line a change at most, one for many of a kind."""
        assert self.swim is not None
        kinds: dict[str, list[str]] = {}
        for change in changes:
            word = {
                State.ALIVE: "came" if change.was is None or not change.was.there else "",
                State.FAILED: "failed" if change.was is not None else "",
                State.LEFT: "left",
            }.get(change.record.state, "")
            if word:
                kinds.setdefault(word, []).append(change.record.name)
        for word, names in kinds.items():
            say = log.warning if word == "failed" else log.info
            say(f"gateways {word}", names=names[:NAMES_MOST], count=len(names), there=self.swim.count)
        conflicts = set(self.swim.conflicts)
        for name in sorted(conflicts - self._conflicts):
            log.error("two gateways under one name", name=name, instances=[f"{i:x}" for i in self.swim.conflicts[name]])
        for name in sorted(self._conflicts - conflicts):
            log.info("one gateway under its name again", name=name)
        self._conflicts = conflicts

    # What is shown.

    @property
    def state(self) -> str:
        """whole; part: many failed not long ago, or this gateway is cut off; alone: nobody else is heard."""
        missing, here = self._roster.missing, self._roster.here
        if here <= 1:
            return "alone" if missing or not self.follows else "whole"
        # Once noticed, a split is over when next to nobody is missing: views heal one by one.
        return "part" if missing > (SPLIT if self._state in ("", "whole") else HEALED) * (missing + here) else "whole"

    def seen(self) -> dict[str, Any]:
        """The view as people and programs read it."""
        swim, now = self.swim, self._deadlines.clock()
        assert swim is not None
        rows = []
        for record in sorted(swim.records(), key=lambda r: (r.name, r.instance)):
            held = swim.members.get(record.key)
            rows.append(
                {
                    "name": record.name,
                    "instance": f"{record.instance:x}",
                    "state": record.state.name.lower(),
                    "incarnation": record.incarnation,
                    "address": record.address,
                    "zone": record.zone,
                    "version": record.version,
                    "self": held is None,
                    "heard_s": None
                    if held is None or held.heard == -float("inf")
                    else round((now - held.heard) / 1000, 1),
                }
            )
        return {
            "name": self._name,
            "instance": f"{self._instance:x}",
            "cluster": self.settings.cluster,
            "view": self.state,
            "places": self.told.seen,
            "budgets": self.told.counted,
            "health": swim.health,
            "agreed_s": None if swim.agreed == -float("inf") else round((now - swim.agreed) / 1000, 1),
            "conflicts": {name: [f"{i:x}" for i in instances] for name, instances in swim.conflicts.items()},
            "members": rows,
        }

    def text(self) -> str:
        """The view as JSON."""
        return msgspec.json.encode(self.seen()).decode() + "\n"

    def figures(self) -> str:
        """Figures in the text form that scrapers read."""
        swim, link = self.swim, self._link
        if swim is None:
            return ""
        records, c = swim.records(), swim.counts
        lines = [f"# HELP {PREFIX} Members by state, this gateway among them.", f"# TYPE {PREFIX} gauge"]
        lines += [
            f'{PREFIX}{{state="{state.name.lower()}"}} {sum(r.state is state for r in records)}' for state in State
        ]
        agreed = 0 if swim.agreed == -float("inf") else round(self._deadlines.clock() - swim.agreed)
        rows: list[tuple[str, str, str, int]] = [
            ("places", "gauge", "Gateways that servers are shared by.", self.told.seen),
            ("budgets", "gauge", "Gateways that budgets are divided by.", self.told.counted),
            ("health", "gauge", "How far this gateway distrusts itself; 0 is well.", swim.health),
            ("agreed_ms", "gauge", "Time since another view was seen to be the same.", agreed),
            ("conflicts", "gauge", "Names that several gateways bear.", len(swim.conflicts)),
            ("news", "gauge", "Records still passed on.", swim.news),
            ("accusations", "counter", "Members that this gateway suspected itself.", c.accusations),
            ("failures", "counter", "Members that it gave up.", c.failures),
            ("refutations", "counter", "Accusations of itself that it answered.", c.refutations),
            ("changes", "counter", "Changes of its view.", c.changes),
            ("stalls", "counter", "Times that it stood still.", c.stalls),
            ("exchanges", "counter", "Exchanges of views that it began.", c.syncs),
            ("records_dropped", "counter", "Records of members that were not taken.", c.dropped),
            ("datagrams_in", "counter", "Datagrams taken.", link.received),
            ("datagrams_out", "counter", "Datagrams sent.", link.sent),
            ("bytes_in", "counter", "Their bytes.", link.bytes_in),
            ("bytes_out", "counter", "Their bytes.", link.bytes_out),
        ]
        for name, kind, told, value in rows:
            lines += [f"# HELP {PREFIX}_{name} {told}", f"# TYPE {PREFIX}_{name} {kind}", f"{PREFIX}_{name} {value}"]
        name = f"{PREFIX}_datagrams_dropped"
        lines += [f"# HELP {name} Datagrams not taken or not sent, by reason.", f"# TYPE {name} counter"]
        lines += [
            f'{name}{{reason="{reason}"}} {link.dropped[reason]}'
            for reason in ("network", "flood", "size", "form", "cluster", "unsent")
        ]
        return "\n".join(lines) + "\n"
