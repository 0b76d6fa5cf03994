"""Compatibility with commit 13b2e67, from before names changed: frames and a data directory that it wrote.

`frames.bin` holds one envelope of each kind of body with all fields set, and one that is long enough to be written in
several chunks. `data_folder` is the data directory of the replica of cluster `cluster-a` at 10.0.0.1:7000. The tests
read both and write them again: if the bytes are the same, that commit can read what this one writes.
"""

from __future__ import annotations

import shutil
import zlib
from pathlib import Path

from hallhitch.messages.frames import FrameQueue, FrameReader, OutgoingFrame
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.state_store import StateStore
from hallhitch.planes.control.storage import DirectoryStorage

HERE = Path(__file__).parent
ADDRESS, CLUSTER = "10.0.0.1:7000", "cluster-a"
BODY_NUMBERS = (10, 11, 12, 13, 14, 15, 20, 21, 30, 31, 32, 33)


def _earlier_frames() -> bytes:
    return (HERE / "frames.bin").read_bytes()


def test_earlier_frames_have_no_unknown_fields() -> None:
    envelopes = [Envelope.FromString(received.data) for received in FrameReader().feed(_earlier_frames())]
    numbers = {field.name: field.number for field in Envelope.DESCRIPTOR.oneofs_by_name["body"].fields}
    bodies = sorted(numbers[str(envelope.WhichOneof("body"))] for envelope in envelopes)
    assert bodies == sorted([*BODY_NUMBERS, 12])
    for envelope, received in zip(envelopes, FrameReader().feed(_earlier_frames()), strict=True):
        envelope.DiscardUnknownFields()  # type: ignore[attr-defined, unused-ignore]
        assert envelope.SerializeToString(deterministic=True) == received.data


def test_frames_are_written_with_the_same_bytes() -> None:
    queue = FrameQueue()
    for received in FrameReader().feed(_earlier_frames()):
        envelope = Envelope.FromString(received.data)
        queue.put(OutgoingFrame(envelope.SerializeToString(deterministic=True)))
    written = b""
    while (frame := queue.next()) is not None:
        written += frame.data
    assert written == _earlier_frames()


def test_earlier_data_directory_is_read(tmp_path: Path) -> None:
    directory = shutil.copytree(HERE / "data_folder", tmp_path / "data")
    loaded = StateStore(DirectoryStorage(directory), ADDRESS, CLUSTER).load()
    assert not loaded.is_empty and not loaded.problems and loaded.state is not None
    acceptor = loaded.state
    assert acceptor.promised == Ballot(5, "10.0.0.2:7000 77")
    assert acceptor.accepted == Ballot(4, "10.0.0.1:7000 12")
    assert acceptor.incarnations == {"10.0.0.3:7000": 2}
    state = acceptor.state
    assert (state.serial, state.config_version, zlib.decompress(state.config)) == (7, 41, b'{"services":{}}')
    assert dict(state.evacuations) == {"hall-1": 5} and dict(state.annotations) == {"gateways": "12"}
    assert list(state.members) == ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"] and state.membership_version == 3
    assert list(state.previous_members) == ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.4:7000"]
    assert list(state.previous_lease_members) == ["10.0.0.4:7000"]
    assert [(entry.config_version, entry.digest) for entry in state.config_digests] == [
        (40, b"\x01" * 16),
        (41, b"\x02" * 16),
    ]


def test_data_directory_is_written_with_the_same_bytes(tmp_path: Path) -> None:
    directory = shutil.copytree(HERE / "data_folder", tmp_path / "earlier")
    loaded = StateStore(DirectoryStorage(directory), ADDRESS, CLUSTER).load()
    assert loaded.state is not None
    store = StateStore(DirectoryStorage(tmp_path / "now"), ADDRESS, CLUSTER)
    store.load()
    store.save(loaded.state)
    store.remove_obsolete()
    assert _files(tmp_path / "now") == _files(HERE / "data_folder")


def _files(directory: Path) -> dict[str, bytes]:
    return {file.name: file.read_bytes() for file in directory.iterdir()}
