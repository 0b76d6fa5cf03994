"""Checks that the documented table of attempt states matches the code."""

from __future__ import annotations

import re

from hallhitch.planes.data import upstream_attempt
from hallhitch.planes.data.interfaces import Outcome


def test_documented_table_names_each_outcome_and_whether_the_request_may_have_run() -> None:
    rows = re.findall(r" {2,}([A-Z_]{2,}) {2,}(yes|no)$", upstream_attempt.__doc__ or "", re.MULTILINE)
    documented = {(Outcome[name], answer == "yes") for name, answer in rows}
    assert documented == {(outcome, outcome.may_have_run) for outcome in Outcome}
