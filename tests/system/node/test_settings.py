"""The settings file: what is missing or wrong is named in one line; what nobody knows is passed over."""

from pathlib import Path

import pytest

from hallhitch.node.settings import SettingsError, read_settings

GOOD = """
nodeName = "edge-1"
role = "gateway"
machineClass = "edge"
serves = ["edge"]
ipAddress = "127.1.0.13"
zone = "z1"
region = "a"
internalPortRange = [7560, 7575]
seedNodes = ["127.1.0.15:8381"]
firstStart = true
aFieldOfLater = {x = 1}
[zones]
z1 = "a"
[listenAddresses]
frontend = "127.1.0.13:8388"
[limits]
memoryMb = 300
maxOpenFiles = 4100
[faultTolerance]
machineLosses = 1
[bounds]
drainTimeout = "2.5s"
retryBudgetRatio = 0.2
[cloudApi]
address = "127.9.0.1:8382"
ratePerS = 47.0
maxLag = "800ms"
"""


def test_a_file_is_read(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(GOOD)
    node = read_settings(str(path))
    assert node.internal_address == "127.1.0.13:7560" and node.seed_addresses == ("127.1.0.15:7560",)
    assert (
        node.bounds.drain_timeout_ms == 2500.0
        and node.cloud_api_address == ("127.9.0.1", 8382)
        and node.endpoint_list_lag_ms == 800.0
    )
    assert node.listen_addresses["frontend"] == ("127.1.0.13", 8388) and node.data_directory is None


@pytest.mark.parametrize(
    ("old", "new", "names"),
    [
        ('nodeName = "edge-1"', "", "nodeName"),
        ('nodeName = "edge-1"', "nodeName = 7", "nodeName"),
        ("[7560, 7575]", "[7575]", "internalPortRange"),
        ("[7560, 7575]", "[7575, 7560]", "internalPortRange"),
        ('"127.1.0.15:8381"', '"127.1.0.15"', "seedNodes"),
        ('"2.5s"', '"2.5 s"', "bounds.drainTimeout"),
        ("retryBudgetRatio = 0.2", "retryBudgetRatio = -1", "bounds.retryBudgetRatio"),
        ('frontend = "127.1.0.13:8388"', 'frontend = "127.1.0.13:99999"', "listenAddresses.frontend"),
        ("firstStart = true", "firstStart = 1", "firstStart"),
        ("[zones]", "[zones", "TOML"),
    ],
)
def test_what_cannot_be_used_is_named_with_its_file(tmp_path: Path, old: str, new: str, names: str) -> None:
    path = tmp_path / "s.toml"
    path.write_text(GOOD.replace(old, new))
    with pytest.raises(SettingsError) as error:
        read_settings(str(path))
    assert str(path) in str(error.value) and names in str(error.value) and "\n" not in str(error.value)
