"""Case 4: a client that offers an upgrade; see claim.txt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import stand_ins_2 as lib  # noqa: E402

REQUESTS = 20
UPGRADE = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAEAAEAAAAIAAAAAAAMAAAAAAAQBAAAAAAUAAEAAAAYABgAA",
}


async def case(record: lib.Record, has_trouble: bool) -> bool:
    deployment = lib.Deployment(record, ["zone-a"], {"zone-a": "region-a"})
    for _ in range(3):
        deployment.add_backend("verdicts", "zone-a")
    async with lib.deployed(deployment):
        await deployment.configure(
            lib.configuration(1, {"r-verdict": lib.route("/verdict/", "verdicts", "non_idempotent")}, ["verdicts"])
        )
        await deployment.wait_ready()
        sent: dict[str, bytes] = {}
        unasked = 0
        reader, writer = await asyncio.open_connection(*deployment.frontend(0))
        for number in range(REQUESTS):
            request_id, body = lib.new_id(), f"batch {number} verdict reject".encode()
            sent[request_id] = body
            headers = lib.request_head("POST", "/verdict/stamp", request_id)
            if has_trouble:
                headers |= UPGRADE
            record.note(f"client sends {request_id}: POST /verdict/stamp body {body!r}")
            if reader.at_eof() or writer.is_closing():
                reader, writer = await asyncio.open_connection(*deployment.frontend(0))
            writer.write(lib.encode("POST /verdict/stamp HTTP/1.1", headers, body))
            answer = await asyncio.wait_for(lib.read_message(reader), 3.0)
            record.note(f"client gets {answer.first if answer else 'no answer'}, {answer.headers if answer else ''}")
            # The client rests for a moment; no request of its own is waiting.
            try:
                async with asyncio.timeout(0.3):
                    extra = await lib.read_message(reader)
            except TimeoutError:
                continue
            if extra is not None:
                unasked += 1
                record.note(f"client gets, with no request waiting: {extra.first} {extra.headers}")
            writer.close()
            reader, writer = await asyncio.open_connection(*deployment.frontend(0))
        writer.close()
        changed = [run for run in deployment.runs if run.body != sent.get(run.request_id)]
        record.conclude(
            f"{len(deployment.runs)} runs for {len(sent)} requests, {len(changed)} with another body than was sent, {unasked} answers without a request"
        )
        return not changed and not unasked


if __name__ == "__main__":
    lib.main(case, Path(__file__).resolve().parent)
