"""Case 8: backends with one slot lose a few answers; see claim.txt."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import stand_ins_2 as lib  # noqa: E402

STAMPS_PER_S = 20.0  # on the non-idempotent route
LOOKUPS_PER_S = 20.0  # on the idempotent route of the same service
BEFORE_S = 20.0
TROUBLE_S = 5.5
CLOSING_DOWN_S = 1.3
RECOVERY_S = 15.0
JUDGED_S = 25.0
LOSS_RATIO = 0.03  # the share of the requests that it ran of which a backend loses the answer, at most
DEADLINE_MS = 2500


class Losses:
    """Which answers a backend loses while the trouble lasts: at most LOSS_RATIO of those to the requests that it ran.

    As every answer is lost with the same chance, it is the answer to a stamp or to a lookup; here it is to a stamp.
    """

    def __init__(self) -> None:
        self.is_on = False
        self.ran: dict[str, int] = {}
        self.lost: dict[str, int] = {}

    async def answer(self, backend: lib.Backend, request: lib.HttpMessage) -> bytes | None:
        if self.is_on:
            name = backend.instance
            self.ran[name] = self.ran.get(name, 0) + 1
            if request.first.startswith("POST") and self.lost.get(name, 0) + 1 <= LOSS_RATIO * self.ran[name]:
                self.lost[name] = self.lost.get(name, 0) + 1
                backend.record.note(f"backend {name} loses the answer to {request.headers['hallhitch-request-id']}")
                return None
        return backend.sealed(request)


async def send(
    deployment: lib.Deployment, record: lib.Record, kind: str, outcomes: list[tuple[float, str, int]]
) -> None:
    """One client: a request on a new connection, and up to two further tries after a promise."""
    method, path = ("POST", "/stamp/verdict") if kind == "stamp" else ("GET", "/lookup/frame")
    began = time.monotonic()
    status = 0
    for _ in range(3):
        request_id, status = lib.new_id(), 0
        remaining_ms = DEADLINE_MS - (time.monotonic() - began) * 1000
        if remaining_ms <= 0:
            break
        writer = None
        retry_after_s = 0.0
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                reader, writer = await asyncio.open_connection(*deployment.frontend(0))
                head = lib.request_head(method, path, request_id, int(remaining_ms), Connection="close")
                writer.write(lib.encode(f"{method} {path} HTTP/1.1", head, b"reject" if method == "POST" else b""))
                answer = await lib.read_message(reader)
                if answer is not None:
                    status = answer.status
                    retry_after_s = float(answer.headers.get("retry-after", "0"))
        except (OSError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        record.note(f"client: {kind} {request_id} sent; answered {status or 'not at all'}")
        if status not in (429, 503):
            break
        await asyncio.sleep(min(retry_after_s, remaining_ms / 3000))
    outcomes.append((began, kind, status))


async def case(record: lib.Record, has_trouble: bool) -> bool:
    deployment = lib.Deployment(record, ["zone-a"], {"zone-a": "region-a"})
    losses = Losses()
    for _ in range(3):
        deployment.add_backend("verdicts", "zone-a", slots=1, work_s=0.01, answer=losses.answer)
    outcomes: list[tuple[float, str, int]] = []
    async with lib.deployed(deployment):
        routes = {
            "r-stamp": lib.route("/stamp/", "verdicts", "non_idempotent"),
            "r-lookup": lib.route("/lookup/", "verdicts", "idempotent"),
        }
        await deployment.configure(lib.configuration(1, routes, ["verdicts"]))
        await deployment.wait_ready()
        tasks = set[asyncio.Task[None]]()
        is_over = False

        async def pace(kind: str, per_s: float) -> None:
            began, number = time.monotonic(), 0
            while not is_over:
                tasks.add(asyncio.ensure_future(send(deployment, record, kind, outcomes)))
                number += 1
                await asyncio.sleep(max(0.0, began + number / per_s - time.monotonic()))

        traffic = asyncio.gather(pace("stamp", STAMPS_PER_S), pace("lookup", LOOKUPS_PER_S))
        await asyncio.sleep(BEFORE_S)
        losses.is_on = has_trouble
        record.note("answers may be lost from now on" if has_trouble else "no trouble")
        await asyncio.sleep(TROUBLE_S)
        losses.is_on = False
        record.note("no more answers are lost")
        # The closing fault: right after a change was acknowledged, one machine of the core loses its disk.
        await deployment.configure(lib.configuration(2, routes, ["verdicts"]))
        closing_at = time.monotonic()
        await deployment.lose_disk(2, CLOSING_DOWN_S)
        returned_at = time.monotonic()
        await asyncio.sleep(RECOVERY_S + JUDGED_S)
        is_over = True
        await traffic
        await asyncio.gather(*tasks)

    def served(statuses: list[int]) -> float:
        return statuses.count(200) / len(statuses)

    before = served([status for sent, _, status in outcomes if sent < closing_at])
    after = served([status for sent, _, status in outcomes if sent > returned_at + RECOVERY_S])
    record.conclude(f"answers lost: {losses.lost} of {losses.ran} that ran meanwhile")
    record.conclude(
        f"served before the closing fault: {before:.1%}; later than {RECOVERY_S:.0f} s after the machine's return: {after:.1%}"
    )
    for kind in ("stamp", "lookup"):
        share = served([status for sent, name, status in outcomes if name == kind and sent > returned_at + RECOVERY_S])
        record.conclude(f"of these, {kind}s: {share:.1%}")
    record.conclude(
        f"the whole day: refused and failed {1 - served([status for _, _, status in outcomes]):.1%} of {len(outcomes)}"
    )
    if before < 0.25:
        raise lib.CannotRun("less than a quarter was served before the closing fault")
    return after >= 0.25


if __name__ == "__main__":
    lib.main(case, Path(__file__).resolve().parent)
