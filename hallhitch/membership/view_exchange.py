"""Anti-entropy: view exchanges page by page, and attempts to reach failed members and seeds.

Two processes compare their present members in the order of name and instance. The process that starts an exchange sends
pages with even numbers; the other replies to each with its own records of the same range, corrections first. An
exchange has a limited number of pages, and the next exchange continues where the last one ended. Times are in ms.
"""

from __future__ import annotations

import bisect
import math
import random
from typing import Final, NamedTuple

from hallhitch.membership.member_table import Member, MemberTable
from hallhitch.membership.member_view import MemberView
from hallhitch.membership.messages import UPDATE_BUDGET_BYTES, Sync, encoded_size
from hallhitch.membership.outbox import Outbox
from hallhitch.membership.protocol_settings import ProtocolSettings
from hallhitch.membership.records import MemberKey, MemberRecord, MemberState

MAX_PAGES: Final = 8  # sent in one exchange by the process that started it: a burst of 8 datagrams
MAX_PAGES_AT_START: Final = 256  # the same for a process that has just started and knows no member
START_INTERVALS: Final = 10  # probe intervals after the start in which MAX_PAGES_AT_START applies
# Reconnect intervals vary by 25 % in both directions, so that processes started together do not stay synchronized.
MIN_INTERVAL_RATIO: Final = 0.75
INTERVAL_JITTER_RATIO: Final = 0.5
SEED_PROBABILITY: Final = 0.2  # of contacting a seed in a reconnect attempt while there are also failed members


class Page(NamedTuple):
    """The records of one page, and the cursor at which its range ends (empty: the end of the view)."""

    records: list[MemberRecord]
    until: str


def select_page(table: MemberTable, after: str, until: str, corrections: list[MemberRecord]) -> Page:
    """Select as many corrections, and then records after the cursor `after`, as fit into one datagram."""
    budget_bytes = UPDATE_BUDGET_BYTES
    chosen: list[MemberRecord] = []
    chosen_keys: set[MemberKey] = set()
    for record in corrections:
        if record.key in chosen_keys:
            continue
        budget_bytes -= encoded_size(record)
        if budget_bytes >= 0:
            chosen.append(record)
            chosen_keys.add(record.key)
    for index in range(bisect.bisect_right(table.cursors, after), len(table.cursors)):
        cursor = table.cursors[index]
        if until and cursor > until:
            break
        record = table.record_at(cursor)
        if record.key in chosen_keys or record.key == table.local.key:
            continue  # the sender's own record is part of every message
        budget_bytes -= encoded_size(record)
        if budget_bytes < 0:
            return Page(chosen, max(after, table.cursors[index - 1]) if index else after)
        chosen.append(record)
    return Page(chosen, until)


class ViewExchange:
    """Starts view exchanges and replies to those of other members."""

    def __init__(
        self,
        view: MemberView,
        outbox: Outbox,
        settings: ProtocolSettings,
        rng: random.Random,
        seeds: tuple[str, ...],
    ) -> None:
        self._view = view
        self._outbox = outbox
        self._settings = settings
        self._rng = rng
        self._seeds = seeds
        self._cursor = ""
        self._started_at = math.inf
        self._last_begun_at = -math.inf
        self.wake_at = math.inf  # when `reconnect` must be called next

    def start(self, now: float) -> None:
        """Schedule the first attempt to reach the seeds immediately."""
        self._started_at = self.wake_at = now

    def reconnect(self, now: float) -> None:
        """Contact a failed member or a seed without a known member, so that the sides of a healed partition merge."""
        jitter = MIN_INTERVAL_RATIO + INTERVAL_JITTER_RATIO * self._rng.random()
        self.wake_at = now + self._settings.reconnect_interval_ms * jitter
        self._view.forget_absent(now)
        table = self._view.table
        live_addresses = {table.by_key[key].record.address for key in self._view.ring} | {table.local.address}
        failed = [
            member
            for member in table.by_key.values()
            if member.record.state is MemberState.FAILED and member.record.address not in live_addresses
        ]
        seeds = [seed for seed in self._seeds if seed not in live_addresses]
        if not len(self._view.ring):  # no other member is known: contact all seeds, as any of them may reply
            for seed in seeds:
                self.begin(seed, None, now)
        elif seeds and (not failed or self._rng.random() < SEED_PROBABILITY):
            self.begin(self._rng.choice(seeds), None, now)
        if failed:
            member = self._rng.choice(failed)
            self.begin(member.record.address, member, now)

    def begin(self, address: str, recipient: Member | None, now: float) -> None:
        """Start an exchange at the cursor where the last one ended."""
        self._last_begun_at = now
        self._view.counters.exchanges += 1
        self._send_page(address, recipient, self._cursor, "", 0, [])

    def on_different_view(self, sender: MemberRecord, member: Member, now: float) -> None:
        """Start an exchange with a sender whose view differs, unless the last one was started too recently."""
        is_due = now - self._last_begun_at >= self._settings.exchange_interval_ms
        if is_due and member.record.state.is_present:
            self.begin(sender.address, member, now)

    def on_page(self, page: Sync, member: Member, now: float) -> None:
        """Reply to a page whose records have been merged, or send the next page of an exchange of this process."""
        address = page.sender.address
        next_number = page.page_number + 1
        if page.page_number % 2 == 0:
            self._send_page(address, member, page.after, page.until, next_number, self._corrections(page))
            return
        self._cursor = page.until
        is_starting = now - self._started_at < START_INTERVALS * self._settings.probe_interval_ms
        max_pages = MAX_PAGES_AT_START if is_starting else MAX_PAGES
        has_more = bool(page.until) and page.view_digest != self._view.table.digest
        if has_more and page.page_number < 2 * max_pages:
            self._send_page(address, member, page.until, "", next_number, [])

    def allow_next_exchange(self) -> None:
        """Allow the next exchange immediately, because the view is outdated after a stall."""
        self._last_begun_at = -math.inf

    def _corrections(self, page: Sync) -> list[MemberRecord]:
        """Return the records of this view that take precedence over records of the page."""
        known = ((received, self._view.table.find_record(received.key)) for received in page.updates)
        return [record for received, record in known if record is not None and record.precedence > received.precedence]

    def _send_page(
        self,
        address: str,
        recipient: Member | None,
        after: str,
        until: str,
        page_number: int,
        corrections: list[MemberRecord],
    ) -> None:
        if recipient is not None and recipient.record.state is not MemberState.ALIVE:
            corrections = [recipient.record, *corrections]
        page = select_page(self._view.table, after, until, corrections)
        self._outbox.sync(address, page.records, after, page.until, page_number)
