"""Tests of the pages of the endpoint list: their formats, and rows that cannot be read whole."""

from __future__ import annotations

import json
from typing import Any

import pytest

from hallhitch.planes.discovery.endpoint_list import ListedBackend
from hallhitch.planes.discovery.endpoint_page import (
    UNREADABLE_SLOTS,
    UNREADABLE_SLOW_START_MS,
    UnreadableRow,
    parse_page,
    resolve_unreadable,
)
from hallhitch.planes.discovery.errors import MalformedPageError

ROW = {
    "targetService": "s",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "slotCount": 6,
    "state": "draining",
    "coldRemaining": "1500ms",
    "instanceId": "i-1",
}
COLUMNS = {"columnNames": list(ROW), "rowValues": [list(ROW.values())]}


KNOWN = ListedBackend("i-1", "old", "10.0.0.8", 80, "y", 9, is_draining=False, warming_until_ms=77.0)
READ = ListedBackend("i-1", "s", "10.0.0.9", 8080, "z", 6, is_draining=False, warming_until_ms=1600.0)
OTHER = {**ROW, "instanceId": "i-2"}
NOW = 100.0


@pytest.mark.parametrize("instances", [COLUMNS, [ROW]], ids=["columns", "rows"])
def test_page_is_parsed_in_both_formats(instances: object) -> None:
    page = parse_page(json.dumps({"instances": instances, "nextPageToken": "p-50"}).encode(), 100.0)
    assert page.next_token == "p-50"
    assert page.backends == (ListedBackend("i-1", "s", "10.0.0.9", 8080, "z", 6, True, 1600.0),)


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        b"[]",
        b'{"instances":{"columnNames":["a"],"rowValues":[[1,2]]}}',
        b'{"instances":[{}]}',
        b'{"instances":[],"nextPageToken":7}',
        b'{"instances":[],"nextPageToken":["p"]}',
    ],
)
def test_malformed_page_raises_an_error(body: bytes) -> None:
    with pytest.raises(MalformedPageError):
        parse_page(body, 0.0)


def read_row(**changes: Any) -> UnreadableRow:
    """Return the first of two rows, which cannot be read whole, after a check that the other one was read."""
    rows = [{**ROW, "state": "ready", **changes}, OTHER]
    page = parse_page(json.dumps({"instances": rows}).encode(), NOW)
    assert [backend.instance for backend in page.backends] == ["i-2"] and page.backends[0].is_draining
    (row,) = page.unreadable_rows
    return row


def resolved(row: UnreadableRow, *known: ListedBackend) -> ListedBackend | None:
    return next(resolve_unreadable([row], {backend.instance: backend for backend in known}), None)


ESSENTIAL: list[tuple[str, list[Any]]] = [
    (
        "address",
        [None, "", 5, "h", "h:", ":80", "h:0", "h:65536", "h:x", "h:\u0663", "a b:1"],
    ),
    ("zone", [5, True, ["z"], {"z": 1}, "\ud800"]),
    ("targetService", [None, "", 5, ["s"], "\ud800"]),
]
REPLACEABLE: list[tuple[str, list[Any]]] = [
    ("slotCount", ["6", "x", -1, 1.5, 2**32, 2**70, float("inf"), float("nan"), True, [6]]),
    ("coldRemaining", ["soon", "3m", "-3s", 5, -1, True, ["3s"], "9" * 400 + "s"]),
    ("state", [5, True, "terminating", "DRAINING", ["draining"]]),
]


# Guards against a list that is not read at all for one value of another form, so that drains are not obeyed (DRAIN).
@pytest.mark.parametrize(("field", "values"), ESSENTIAL + REPLACEABLE, ids=[row[0] for row in ESSENTIAL + REPLACEABLE])
def test_row_that_cannot_be_read_whole_is_put_aside_alone_and_known_values_stay(field: str, values: list[Any]) -> None:
    for value in values:
        row = read_row(**{field: value})
        assert row.fields == (field,) and row.instance == "i-1" and not row.is_draining
        kept = resolved(row, KNOWN)
        assert kept is not None and kept.is_idempotent_only and not kept.is_draining
        if field in dict(ESSENTIAL):
            assert (kept.host, kept.service, kept.zone, kept.slots) == ("10.0.0.8", "old", "y", 9)
        else:
            assert (kept.host, kept.service, kept.zone) == ("10.0.0.9", "s", "z")
            assert kept.slots == (9 if field == "slotCount" else 6)
            assert kept.warming_until_ms == (77.0 if field == "coldRemaining" else 1600.0)


@pytest.mark.parametrize(("field", "values"), ESSENTIAL + REPLACEABLE, ids=[row[0] for row in ESSENTIAL + REPLACEABLE])
def test_backend_that_was_not_known_is_used_only_if_its_place_can_be_read(field: str, values: list[Any]) -> None:
    for value in values:
        backend = resolved(read_row(**{field: value}))
        if field in dict(ESSENTIAL):
            assert backend is None
            continue
        assert backend is not None and backend.is_idempotent_only
        assert backend.slots == (UNREADABLE_SLOTS if field == "slotCount" else 6)
        expected_ms = NOW + (UNREADABLE_SLOW_START_MS if field == "coldRemaining" else 1500.0)
        assert backend.warming_until_ms == expected_ms


@pytest.mark.parametrize("field", [field for field, _ in ESSENTIAL + REPLACEABLE if field != "state"])
def test_row_that_says_draining_is_obeyed_although_another_part_cannot_be_read(field: str) -> None:
    row = read_row(**{field: -1, "state": "draining"})
    backend = resolved(row, KNOWN)
    assert row.is_draining and backend is not None and backend.is_draining


@pytest.mark.parametrize(
    ("field", "written"),
    [("slotCount", b"9" * 5000), ("zone", b'"\xe9"'), ("coldRemaining", b"-Infinity")],
    ids=["long integer", "no UTF-8", "no number"],
)
def test_value_that_is_no_proper_json_is_put_aside_alone(field: str, written: bytes) -> None:
    rows = json.dumps([{**ROW, "state": "ready", field: "MARK"}, OTHER]).encode()
    page = parse_page(b'\xef\xbb\xbf{"instances":' + rows.replace(b'"MARK"', written) + b"}", NOW)
    assert [backend.instance for backend in page.backends] == ["i-2"]
    assert [row.fields for row in page.unreadable_rows] == [(field,)]


@pytest.mark.parametrize("value", [None, "", 5, "a b", "a\r\nb", "õ", ["i-1"]])
def test_row_without_an_instance_is_put_aside(value: Any) -> None:
    row = read_row(instanceId=value)
    assert row == UnreadableRow("", ("instanceId",)) and resolved(row, KNOWN) is None


@pytest.mark.parametrize("values", [[*ROW.values(), 1], list(ROW.values())[:-1], [], None, 5, "row", {}])
def test_row_that_does_not_fit_the_columns_is_put_aside(values: Any) -> None:
    table = {"columnNames": list(ROW), "rowValues": [values, list(OTHER.values())]}
    page = parse_page(json.dumps({"instances": table}).encode(), NOW)
    (row,) = page.unreadable_rows
    assert [backend.instance for backend in page.backends] == ["i-2"] and row.fields[0] == "row" and row.backend is None
    assert row.instance == ("i-1" if values == [*ROW.values(), 1] else "")


def test_values_that_are_left_out_or_of_columns_that_are_not_known_do_not_matter() -> None:
    left_out = {
        "zone": None,
        "slotCount": None,
        "state": None,
        "coldRemaining": None,
        "configVersion": None,
        "new": [1],
    }
    page = parse_page(json.dumps({"instances": [{**ROW, **left_out}]}).encode(), NOW)
    assert page.backends == (ListedBackend("i-1", "s", "10.0.0.9", 8080, "", 1, False, 0.0),)
