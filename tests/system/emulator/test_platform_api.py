"""Pages, lag, rate limit and outages of the platform's instance list."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from hallhitch.lab.emulator.backend import BackendSpec
from hallhitch.lab.emulator.platform_api import PlatformApi, PlatformState
from hallhitch.lab.http_messages import read_message
from tests.system.emulator.emulated_parties import run_with_timeout, running_backend


def test_list_has_pages_lag_and_a_rate_limit() -> None:
    async def body() -> None:
        async with running_backend(BackendSpec("shelf", work_ms=0)) as backend:
            fleet = backend.fleet
            for number in range(2, 6):
                location = ("zone-2a", "region-2")
                await fleet.start_backend(f"b{number}", backend.spec, f"127.2.1.{200 + number}", location)
            platform = PlatformApi(fleet, ("127.0.0.1", backend.address[1] + 1), rate_per_s=4, instances_per_page=2)
            await platform.start()
            all_listed_at_ms = max(each.started_at_ms for each in fleet.backends.values()) + fleet.listing_lag_ms

            def call(moment_ms: float, target: str) -> tuple[int, Any]:
                head, _, text = platform.respond(moment_ms, target).partition(b"\r\n\r\n")
                return int(head.split()[1]), json.loads(text or b"{}")

            first_page = call(all_listed_at_ms - 1000, "/instances")[1]
            assert first_page["instances"]["rowValues"] == []  # the list lags, so it shows no backend yet
            names, target = list[str](), "/instances"
            while target:
                status, page = call(all_listed_at_ms + 10, target)
                assert status == 200 and "instanceId" in page["instances"]["columnNames"]
                names += [row[0] for row in page["instances"]["rowValues"]]
                target = f"/instances?pageToken={page['nextPageToken']}" if page["nextPageToken"] else ""
                fleet.drain(backend)  # later pages show the same moment as the first one
            assert names == ["b1", "b2", "b3", "b4", "b5"]
            assert call(all_listed_at_ms + 20, "/instances")[0] == 200
            assert call(all_listed_at_ms + 30, "/instances")[0] == 429 and platform.rejected == 1
            zone_page = call(all_listed_at_ms + 2000, "/instances?zone=zone-1a")[1]
            assert len(zone_page["instances"]["rowValues"]) == 1
            reader, writer = await asyncio.open_connection(*platform.address)
            platform.state = PlatformState.DOWN
            writer.write(b"GET /instances HTTP/1.1\r\nHost: x\r\n\r\n")
            with pytest.raises((EOFError, OSError)):
                await read_message(reader)
            platform.close()

    run_with_timeout(body)
