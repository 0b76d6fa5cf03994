"""A client's tries, how they are journalled, and the answer port of a modelled exchange. Times in ms."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from hallhitch.decision import api
from hallhitch.lab.journal import Journal
from hallhitch.lab.traffic import PlannedRequest

RETRY_DEADLINE_RATIO: Final = 0.75  # of its first deadline that a client gives its own retry: it has waited already


@dataclass(frozen=True, slots=True)
class ClientTry:
    """One try of a client: its first one, or the one retry that it makes by itself."""

    intent: PlannedRequest
    is_retry: bool = False

    @property
    def preferred_gateway(self) -> int:
        """The gateway that the front would send it to."""
        return self.intent.retry_gateway if self.is_retry else self.intent.gateway

    @property
    def deadline_ms(self) -> float:
        """The time that the client gives it."""
        return self.intent.deadline_ms * (RETRY_DEADLINE_RATIO if self.is_retry else 1.0)

    @property
    def is_retried(self) -> bool:
        """Whether the client tries once more if this try is not served."""
        return self.intent.is_retried and not self.is_retry

    def retry_delay_ms(self, advice_ms: float) -> float:
        """The time before the client's retry, given the gateway's advice."""
        return max(self.intent.retry_delay_ms, advice_ms)

    def journal(self, journal: Journal, settings: api.Settings, id: int, gateway: int, now: float) -> None:
        """Add the event `ask` to the journal."""
        intent = self.intent
        ends_at = now + self.deadline_ms
        journal.add(
            now,
            "ask",
            id,
            gateway,
            intent.customer.name,
            settings.plans[intent.customer.plan_index].name,
            settings.classes[intent.class_index].name,
            intent.key,
            round(ends_at - journal.started_at, 3),
            not self.is_retry,
        )


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A try in a modelled gateway: the payload of its exchange, and the port that gets the final answer."""

    id: int
    intent: PlannedRequest
    on_answer: Callable[[str, float], None]  # status, and the time after which to retry
    journal: Journal
    now: Callable[[], float]

    def on_served(self, payload: object) -> None:
        """Record a node's answer."""
        self.journal.add(self.now(), "answer", self.id, "served", payload)
        self.on_answer("served", 0.0)

    def on_rejected(self, advice: float) -> None:
        """Record a rejection; the client may retry after `advice` ms."""
        self.journal.add(self.now(), "answer", self.id, "refused", 0)
        self.on_answer("refused", advice)

    def on_failed(self) -> None:
        """Record that no result is known."""
        self.journal.add(self.now(), "answer", self.id, "failed", 0)
        self.on_answer("failed", 0.0)
