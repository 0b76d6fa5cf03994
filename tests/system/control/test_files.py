"""A replica's files when the power goes at any write, sync or removal, and what was not synced stays, goes or tears."""

from __future__ import annotations

import random
import shutil
from collections.abc import Mapping
from pathlib import Path

import pytest

from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.membership import initial_state
from hallhitch.planes.control.state_delta import copy_state
from hallhitch.planes.control.state_store import StateStore
from hallhitch.planes.control.storage import DirectoryStorage

ADDRESS = "10.0.0.1:7000"


class PowerLost(Exception):
    """Nothing is done any more."""


class Frail(DirectoryStorage):
    """A folder that loses its power before step `last`; knows what surely survives that (and spares this disk)."""

    def __init__(self, path: Path, last: int = -1) -> None:
        super().__init__(path)
        self.left = last
        self.surely = {file.name: file.read_bytes() for file in path.iterdir()}
        self._removed: set[str] = set()

    def _step(self) -> None:
        if self.left == 0:
            raise PowerLost
        self.left -= 1

    def write_database(self, base: str, records: Mapping[bytes, bytes]) -> None:
        """A new database."""
        self._step()
        super().write_database(base, records)

    def sync_file(self, name: str) -> None:
        """One file."""
        self._step()
        self.surely[name] = (self.path / name).read_bytes()

    def sync_directory(self) -> None:
        """The names."""
        self._step()
        for name in self._removed:
            self.surely.pop(name, None)
        self._removed.clear()

    def remove_file(self, name: str) -> None:
        """One file less."""
        self._step()
        super().remove_file(name)
        self._removed.add(name)

    def after(self, fate: str, rng: random.Random, path: Path) -> Path:
        """The folder as it is found when the power is back."""
        shutil.rmtree(path, ignore_errors=True)
        path.mkdir()
        there = {file.name: file.read_bytes() for file in self.path.iterdir()}
        for name in there.keys() | self.surely.keys():
            now, then = there.get(name), self.surely.get(name)
            kept = {
                "keep": now,
                "drop": then,
                "tear": _torn(now, then, rng),
                "any": rng.choice([now, then, _torn(now, then, rng)]),
            }[fate]
            if now == then:
                kept = now
            if kept is not None:
                (path / name).write_bytes(kept)
        return path


def _torn(now: bytes | None, then: bytes | None, rng: random.Random) -> bytes | None:
    """Some of a file that was being written."""
    if now is None:
        return then
    cut = rng.randrange(len(now) + 1)
    return rng.choice([now[:cut], now[:cut] + bytes(len(now) - cut), bytes(cut) + now[cut:], b""])


def states() -> list[AcceptorState]:
    """What a replica goes through: founded, a promise, a word, a promise on it, another word."""
    value = initial_state([ADDRESS, "10.0.0.2:7000"])
    found = [AcceptorState(ADDRESS, state=value), AcceptorState(ADDRESS, Ballot(1, "a"), state=value)]
    for number, content in enumerate((b"one" * 300, b"two" * 3000), start=2):
        value = copy_state(value)
        value.serial, value.config = number, content
        found.append(AcceptorState(ADDRESS, Ballot(number, "a"), Ballot(number, "a"), value, {ADDRESS: 1, "x": number}))
        found.append(AcceptorState(ADDRESS, Ballot(number, "b"), Ballot(number, "a"), value, {ADDRESS: 1, "x": number}))
    return found[:5]


@pytest.mark.parametrize("fate", ["drop", "tear", "any", "killed"])
def test_what_was_kept_is_found_wherever_the_power_goes(tmp_path: Path, fate: str) -> None:
    rng, steps = random.Random(fate), 0
    for last in range(1000):
        folder = tmp_path / "disk"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir()
        disk = Frail(folder, last)
        store, kept, tried = StateStore(disk, ADDRESS), None, None
        store.load()
        try:
            for tried in states():
                store.save(tried)
                kept = tried
                store.remove_obsolete()
            break
        except PowerLost:
            steps += 1
        disk.left = -1
        if fate != "killed":
            folder = disk.after(fate, rng, tmp_path / "after")
            disk = Frail(folder)
        found = StateStore(disk, ADDRESS).load()
        if kept is None:
            assert found.state in (None, tried) and (found.state is not None or found.is_empty)
        else:
            assert found.state in (kept, tried), f"step {last}: {found.problems}"
        # Others may have been told of what was found: it lasts from then on, and work goes on from it.
        again = StateStore(Frail(disk.after("drop", rng, tmp_path / "again")), ADDRESS)
        assert again.load().state == found.state
        again.save(states()[-1])
        again.remove_obsolete()
        assert again.load().state == states()[-1]
        assert len(list((tmp_path / "again").iterdir())) == 4
    assert steps > 40


def test_a_kept_generation_that_is_damaged_is_a_lost_memory(tmp_path: Path) -> None:
    store = StateStore(DirectoryStorage(tmp_path), ADDRESS)
    store.load()
    for state in states()[:3]:
        store.save(state)
        store.remove_obsolete()
    files = sorted(tmp_path.iterdir())
    assert len(files) == 4
    rng = random.Random(4)
    for file in files:
        whole = file.read_bytes()
        for damaged in (b"", whole[:-1], whole[: len(whole) // 2], rng.randbytes(len(whole)), b"\xff" + whole[1:]):
            file.write_bytes(damaged)
            found = StateStore(DirectoryStorage(tmp_path), ADDRESS).load()
            # Bytes between the records matter to nobody; everything else does.
            assert found.state is None and not found.is_empty and found.problems or found.state == states()[2]
            assert found.state is None or damaged == whole[:-1]
        file.unlink()
        assert StateStore(DirectoryStorage(tmp_path), ADDRESS).load().state is None
        file.write_bytes(whole)
    (tmp_path / "README").write_text("not ours")
    found = StateStore(DirectoryStorage(tmp_path), ADDRESS).load()
    assert found.state == states()[2] and "README" in found.problems[0]
    assert StateStore(DirectoryStorage(tmp_path), "10.0.0.9:7000").load().state is None  # another machine's files


def test_a_disk_that_refuses_loses_nothing_and_fills_no_further(tmp_path: Path) -> None:
    class Full(DirectoryStorage):
        full = False

        def sync_file(self, name: str) -> None:
            if self.full:
                raise OSError("no room")
            super().sync_file(name)

    disk = Full(tmp_path)
    store, first, second = StateStore(disk, ADDRESS), states()[2], states()[4]
    store.load()
    store.save(first)
    store.remove_obsolete()
    disk.full = True
    for _ in range(5):
        with pytest.raises(OSError):
            store.save(second)
    assert len(list(tmp_path.iterdir())) <= 6
    disk.full = False
    assert StateStore(disk, ADDRESS).load().state == first
    store.save(second)
    store.remove_obsolete()
    assert StateStore(disk, ADDRESS).load().state == second
    assert len(list(tmp_path.iterdir())) == 4
