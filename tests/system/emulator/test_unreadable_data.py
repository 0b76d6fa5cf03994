"""What the emulated parties send that cannot be read: rows of the instance list, and invalid configurations."""

from __future__ import annotations

import json

import pytest

from hallhitch.lab.emulator.backend_fleet import LIST_COLUMNS
from hallhitch.lab.emulator.operator_config import WRONG_VALUES, config_document, with_wrong_value
from hallhitch.lab.emulator.spec import EmulatorSpec
from hallhitch.lab.emulator.unreadable_rows import ODD_VALUES, PERIOD_MS, UnreadableRows
from hallhitch.planes.control.config_validation import validate_config
from hallhitch.planes.control.errors import InvalidConfigError
from hallhitch.planes.discovery.endpoint_page import parse_page

ROW: list[object] = ["b1", "shelf", "127.1.1.9:80", "zone-1a", "v1", 4, "draining", "0ms"]


def test_share_of_the_rows_is_unreadable_alike_for_a_second_and_keeps_its_state() -> None:
    rows = UnreadableRows(seed=3, ratio=0.3)
    changed = []
    for number in range(1000):
        row = rows.change(number * PERIOD_MS, "b1", LIST_COLUMNS, ROW)
        assert row == rows.change(number * PERIOD_MS + 999, "b1", LIST_COLUMNS, ROW)
        assert row[LIST_COLUMNS.index("state")] == "draining"
        if row != ROW:
            changed.append(row)
    assert 200 < len(changed) < 400 and len({str(row) for row in changed}) == len(ODD_VALUES) + 1
    other = ["b2", *ROW[1:]]
    for row in changed:
        table = {"instances": {"columnNames": list(LIST_COLUMNS), "rowValues": [row, other]}}
        assert len(parse_page(json.dumps(table).encode(), 0.0).unreadable_rows) == 1
    assert UnreadableRows(3, 0.0).change(0.0, "b1", LIST_COLUMNS, ROW) is ROW


@pytest.mark.parametrize("number", range(3 * len(WRONG_VALUES)))
def test_configuration_with_a_wrong_value_is_invalid(number: int) -> None:
    config = config_document(EmulatorSpec(), 2)
    validate_config(json.dumps(config).encode())
    with pytest.raises(InvalidConfigError) as error:
        validate_config(json.dumps(with_wrong_value(config, number)).encode())
    assert error.value.path and config == config_document(EmulatorSpec(), 2)
