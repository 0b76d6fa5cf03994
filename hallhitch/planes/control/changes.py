"""The changes of the operator's word, each a plain function from value to value; the same object = nothing changed.

An order that changes nothing is acknowledged all the same, once a majority has confirmed the value it met. Evacuations
carry no version, so a `start` that was sent again and comes late looks just like a new one. It is not told by content
or by time: a real start soon after a stop must be taken, and machines share no clock. What is late is told by its
caller, who has left: an order is put to the register only while its caller waits on an open connection, within the
second after which callers move on, and not while the process finds that it has been standing still (see `operator`).
A `stop` comes only after its `start` was answered or given up, thus after all its earlier callers have left.
"""

from __future__ import annotations

from hallhitch.messages.system_pb2 import Value
from hallhitch.planes.control.register import Change, Config, config, copied


def identity(value: Value) -> Value:
    """A read; where a majority agrees, nothing is written for it."""
    return value


def renew(value: Value) -> Value:
    """The same value under a new ballot, for those who are behind."""
    return value


def put(version: int, content: bytes) -> Change:
    """A whole configuration: the highest version prevails, the first of equal ones stays."""
    def change(value: Value) -> Value:
        if version <= value.version:
            return value
        after = _next(value)
        after.version, after.content = version, content
        return after
    return change


def evacuate(zone: str) -> Change:
    """Nothing more is sent to the zone's backends."""
    def change(value: Value) -> Value:
        if zone in value.zones:
            return value
        after = _next(value)
        after.zones[zone] = after.serial
        return after
    return change


def restore(zone: str) -> Change:
    """The zone is taken back."""
    def change(value: Value) -> Value:
        if zone not in value.zones:
            return value
        after = _next(value)
        del after.zones[zone]
        return after
    return change


def note(name: str, text: str) -> Change:
    """A mark that must outlive a loss of everything."""
    def change(value: Value) -> Value:
        if value.notes.get(name) == text:
            return value
        after = _next(value)
        after.notes[name] = text
        return after
    return change


def add(address: str, among: Config) -> Change:
    """One more member, if the members are still those."""
    def change(value: Value) -> Value:
        if config(value) != among or value.previous or address in value.members:
            return value
        return _members(value, [*value.members, address])
    return change


def remove(address: str, among: Config) -> Change:
    """One member less, if the members are still those; never the last one."""
    def change(value: Value) -> Value:
        if config(value) != among or value.previous or address not in value.members or len(value.members) < 2:
            return value
        return _members(value, [one for one in value.members if one != address])
    return change


def settle(value: Value) -> Value:
    """The second half of a change of members: only the new ones count from now on."""
    if not value.previous:
        return value
    after = _next(value)
    del after.previous[:]
    after.members_version += 1
    return after


def _members(value: Value, members: list[str]) -> Value:
    after = _next(value)
    after.previous[:] = value.members
    after.members[:] = sorted(members)
    after.members_version += 1
    return after


def _next(value: Value) -> Value:
    after = copied(value)
    after.serial += 1
    return after
