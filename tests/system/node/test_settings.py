"""The settings file: one line names a missing or invalid field; unknown fields are ignored."""

from pathlib import Path

import pytest

from hallhitch.node.errors import SettingsError
from hallhitch.node.settings_file import read_settings

VALID = """
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


@pytest.fixture
def settings_path(tmp_path: Path) -> Path:
    return tmp_path / "s.toml"


def test_a_valid_file_is_read(settings_path: Path) -> None:
    settings_path.write_text(VALID)
    node = read_settings(str(settings_path))
    assert node.internal_address == "127.1.0.13:7560" and node.seed_addresses == ("127.1.0.15:7560",)
    assert (
        node.bounds.drain_timeout_ms == 2500.0
        and node.cloud_api_address == ("127.9.0.1", 8382)
        and node.endpoint_list_lag_ms == 800.0
    )
    assert node.listen_addresses["frontend"] == ("127.1.0.13", 8388) and node.data_directory is None
    assert node.region_by_zone == {"z1": "a"} and node.serves == {"edge"} and node.is_first_start
    assert (node.memory_mb, node.max_open_files, node.tolerated_machine_losses) == (300, 4100, 1)


@pytest.mark.parametrize(
    ("old", "new", "expected_text"),
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
        ("memoryMb = 300", "memoryMb = nan", "limits.memoryMb"),
        ("maxOpenFiles = 4100", "maxOpenFiles = inf", "limits.maxOpenFiles"),
        ('serves = ["edge"]', 'serves = [["edge"]]', "serves"),
        ('"127.1.0.15:8381"', '"127.1.0.15:\u00b2"', "seedNodes"),
        ("[zones]", "[zones", "TOML"),
    ],
)
def test_the_error_names_the_file_and_the_invalid_field_in_one_line(
    settings_path: Path, old: str, new: str, expected_text: str
) -> None:
    settings_path.write_text(VALID.replace(old, new))
    with pytest.raises(SettingsError) as error:
        read_settings(str(settings_path))
    assert str(settings_path) in str(error.value) and expected_text in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("old", "new", "field", "reason"),
    [
        ('nodeName = "edge-1"', "", "nodeName", "is missing"),
        ("memoryMb = 300", "memoryMb = true", "limits.memoryMb", "True has the wrong type"),
        ('"2.5s"', '"2.5 s"', "bounds.drainTimeout", "'2.5 s' is no time such as 1500ms or 2.5s"),
        ('z1 = "a"', "z1 = 1", "zones", "each zone needs the name of its region"),
    ],
)
def test_the_error_holds_file_field_and_reason(
    settings_path: Path, old: str, new: str, field: str, reason: str
) -> None:
    settings_path.write_text(VALID.replace(old, new))
    with pytest.raises(SettingsError) as raised:
        read_settings(str(settings_path))
    error = raised.value
    assert (error.path, error.field, error.reason) == (str(settings_path), field, reason)
    assert str(error) == f"{settings_path}: {field}: {reason}"


LITERALS = ("inf", "-inf", "nan", "-1", "0", "1e300", "true", '""', '"x"', '"\u00b2:\u00b2"', '"1s"')
TABLES = ("[]", "[[1]]", "{}", "{x = 1}")


def error_of(path: Path) -> SettingsError | None:
    try:
        read_settings(str(path))
    except SettingsError as error:
        return error
    return None


# Guards against a settings file that ends the program, or its reload, with an error other than one line on the field.
@pytest.mark.parametrize("number", range(len(VALID.splitlines())))
def test_any_value_of_any_field_is_read_or_named_as_invalid(settings_path: Path, number: int) -> None:
    lines = VALID.splitlines()
    name, equals, _ = lines[number].partition(" = ")
    for literal in (*LITERALS, *TABLES) if equals else ():
        settings_path.write_text("\n".join([*lines[:number], f"{name} = {literal}", *lines[number + 1 :]]))
        error = error_of(settings_path)
        assert error is None or error.field.rpartition(".")[2] in (name, "zones"), (name, literal)
