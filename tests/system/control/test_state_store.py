"""Tests of a replica's files after power loss at any write, sync or removal; unsynced data is kept, lost or torn."""

from __future__ import annotations

import random
import shutil
from collections.abc import Mapping
from pathlib import Path
from typing import Final

import pytest

from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.membership import initial_state
from hallhitch.planes.control.state_delta import copy_state
from hallhitch.planes.control.state_store import StateStore
from hallhitch.planes.control.storage import DirectoryStorage

ADDRESS: Final = "10.0.0.1:7000"
FILES_PER_GENERATION: Final = 4  # two databases of two files


class PowerLost(Exception):  # noqa: N818  named after the event
    """The simulated machine has lost power, so the operation is not executed."""


class PowerLossStorage(DirectoryStorage):
    """A directory that loses power after some operations. It tracks the durable files and does not really sync."""

    def __init__(self, path: Path, operations_before_loss: int = -1) -> None:
        super().__init__(path)
        self.operations_left = operations_before_loss  # -1: power is never lost
        self.durable_files = {file.name: file.read_bytes() for file in path.iterdir()}
        self._removed: set[str] = set()

    def _count_operation(self) -> None:
        if self.operations_left == 0:
            raise PowerLost
        self.operations_left -= 1

    def write_database(self, base: str, records: Mapping[bytes, bytes]) -> None:
        """Write a new database."""
        self._count_operation()
        super().write_database(base, records)

    def sync_file(self, name: str) -> None:
        """Make the content of a file durable."""
        self._count_operation()
        self.durable_files[name] = (self.path / name).read_bytes()

    def sync_directory(self) -> None:
        """Make removals durable."""
        self._count_operation()
        for name in self._removed:
            self.durable_files.pop(name, None)
        self._removed.clear()

    def remove_file(self, name: str) -> None:
        """Remove a file."""
        self._count_operation()
        super().remove_file(name)
        self._removed.add(name)

    def copy_after_power_loss(self, loss_mode: str, rng: random.Random, path: Path) -> Path:
        """Write the directory as after the power loss; `loss_mode` says what happens to unsynced data."""
        shutil.rmtree(path, ignore_errors=True)
        path.mkdir()
        current_files = {file.name: file.read_bytes() for file in self.path.iterdir()}
        for name in current_files.keys() | self.durable_files.keys():
            current, durable = current_files.get(name), self.durable_files.get(name)
            survivor = {
                "drop": durable,
                "tear": _tear(current, durable, rng),
                "any": rng.choice([current, durable, _tear(current, durable, rng)]),
            }[loss_mode]
            if current == durable:
                survivor = current
            if survivor is not None:
                (path / name).write_bytes(survivor)
        return path


def _tear(current: bytes | None, durable: bytes | None, rng: random.Random) -> bytes | None:
    """Return a torn version of a file that was being written: parts of it missing or zeroed."""
    if current is None:
        return durable
    cut = rng.randrange(len(current) + 1)
    return rng.choice([current[:cut], current[:cut] + bytes(len(current) - cut), bytes(cut) + current[cut:], b""])


def successive_states() -> list[AcceptorState]:
    """Return successive states: bootstrap, a promise, a configuration, a promise, another configuration."""
    state = initial_state([ADDRESS, "10.0.0.2:7000"])
    states = [AcceptorState(ADDRESS, state=state), AcceptorState(ADDRESS, Ballot(1, "a"), state=state)]
    for number, content in enumerate((b"one" * 300, b"two" * 3000), start=2):
        state = copy_state(state)
        state.serial, state.config = number, content
        accepted, incarnations = Ballot(number, "a"), {ADDRESS: 1, "x": number}
        states.append(AcceptorState(ADDRESS, accepted, accepted, state, incarnations))
        states.append(AcceptorState(ADDRESS, Ballot(number, "b"), accepted, state, incarnations))
    return states[:5]


@pytest.mark.parametrize("loss_mode", ["drop", "tear", "any", "killed"])
def test_saved_state_is_loaded_wherever_power_is_lost(tmp_path: Path, loss_mode: str) -> None:
    rng, losses = random.Random(loss_mode), 0
    for operations in range(1000):
        directory = tmp_path / "disk"
        shutil.rmtree(directory, ignore_errors=True)
        directory.mkdir()
        storage = PowerLossStorage(directory, operations)
        store, saved, attempted = StateStore(storage, ADDRESS), None, None
        store.load()
        try:
            for attempted in successive_states():
                store.save(attempted)
                saved = attempted
                store.remove_obsolete()
            break
        except PowerLost:
            losses += 1
        storage.operations_left = -1
        if loss_mode != "killed":
            directory = storage.copy_after_power_loss(loss_mode, rng, tmp_path / "after")
            storage = PowerLossStorage(directory)

        loaded = StateStore(storage, ADDRESS).load()

        if saved is None:
            assert loaded.state in (None, attempted) and (loaded.state is not None or loaded.is_empty)
        else:
            assert loaded.state in (saved, attempted), f"after {operations} operations: {loaded.problems}"
        # Other replicas may learn the loaded state, so it must be durable, and the store must continue from it.
        second_directory = storage.copy_after_power_loss("drop", rng, tmp_path / "again")
        second_store = StateStore(PowerLossStorage(second_directory), ADDRESS)
        assert second_store.load().state == loaded.state
        second_store.save(successive_states()[-1])
        second_store.remove_obsolete()
        assert second_store.load().state == successive_states()[-1]
        assert len(list(second_directory.iterdir())) == FILES_PER_GENERATION
    assert losses > 40


def test_damaged_durable_generation_counts_as_lost_state(tmp_path: Path) -> None:
    store = StateStore(DirectoryStorage(tmp_path), ADDRESS)
    store.load()
    for state in successive_states()[:3]:
        store.save(state)
        store.remove_obsolete()
    last = successive_states()[2]
    files = sorted(tmp_path.iterdir())
    assert len(files) == FILES_PER_GENERATION
    rng = random.Random(4)
    for file in files:
        intact = file.read_bytes()
        for damaged in (b"", intact[:-1], intact[: len(intact) // 2], rng.randbytes(len(intact)), b"\xff" + intact[1:]):
            file.write_bytes(damaged)
            loaded = StateStore(DirectoryStorage(tmp_path), ADDRESS).load()
            # Only the bytes between the records are ignored; damage to any other byte is detected.
            assert (loaded.state is None and not loaded.is_empty and loaded.problems) or loaded.state == last
            assert loaded.state is None or damaged == intact[:-1]
        file.unlink()
        assert StateStore(DirectoryStorage(tmp_path), ADDRESS).load().state is None
        file.write_bytes(intact)
    (tmp_path / "README").write_text("not ours")
    loaded = StateStore(DirectoryStorage(tmp_path), ADDRESS).load()
    assert loaded.state == last and "README" in loaded.problems[0]
    assert StateStore(DirectoryStorage(tmp_path), "10.0.0.9:7000").load().state is None  # another machine's files


def test_full_disk_loses_no_state_and_no_further_files_accumulate(tmp_path: Path) -> None:
    class FullStorage(DirectoryStorage):
        is_full = False

        def sync_file(self, name: str) -> None:
            if self.is_full:
                raise OSError("no room")
            super().sync_file(name)

    storage = FullStorage(tmp_path)
    store, first, second = StateStore(storage, ADDRESS), successive_states()[2], successive_states()[4]
    store.load()
    store.save(first)
    store.remove_obsolete()
    storage.is_full = True
    for _ in range(5):
        with pytest.raises(OSError):  # noqa: PT011  any of its subclasses
            store.save(second)
    assert len(list(tmp_path.iterdir())) <= 6
    storage.is_full = False
    assert StateStore(storage, ADDRESS).load().state == first
    store.save(second)
    store.remove_obsolete()
    assert StateStore(storage, ADDRESS).load().state == second
    assert len(list(tmp_path.iterdir())) == FILES_PER_GENERATION
