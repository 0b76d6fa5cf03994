"""The tries of a simulated client, their journal events, and the answer port of an exchange. Times in ms."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from hallhitch.decision import api
from hallhitch.lab.journal import Journal
from hallhitch.lab.traffic import PlannedRequest

RETRY_DEADLINE_RATIO: Final = 0.75  # of the first deadline: the client allows its retry less, having waited already


@dataclass(frozen=True, slots=True)
class ClientTry:
    """One try of a client's request: the first, or the single retry that the client itself makes."""

    planned_request: PlannedRequest
    is_retry: bool = False

    @property
    def preferred_gateway(self) -> int:
        """The gateway to which the front router sends the try if that gateway is available."""
        return self.planned_request.retry_gateway if self.is_retry else self.planned_request.gateway

    @property
    def deadline_ms(self) -> float:
        """How long the client waits for the answer to this try."""
        return self.planned_request.deadline_ms * (RETRY_DEADLINE_RATIO if self.is_retry else 1.0)

    @property
    def is_retried(self) -> bool:
        """Whether the client retries if this try is not served."""
        return self.planned_request.is_retried and not self.is_retry

    def retry_delay_ms(self, advice_ms: float) -> float:
        """Return the delay before the client's retry, at least the gateway's advice."""
        return max(self.planned_request.retry_delay_ms, advice_ms)

    def journal(self, journal: Journal, settings: api.Settings, id: int, gateway: int, now: float) -> None:
        """Add the event `ask` to the journal."""
        planned_request = self.planned_request
        ends_at = now + self.deadline_ms
        journal.add(
            now,
            "ask",
            id,
            gateway,
            planned_request.customer.name,
            settings.plans[planned_request.customer.plan_index].name,
            settings.classes[planned_request.class_index].name,
            planned_request.key,
            round(ends_at - journal.started_at, 3),
            not self.is_retry,
        )


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A try in a simulated gateway: the payload of its exchange, and the port that receives the final answer."""

    id: int
    planned_request: PlannedRequest
    on_answer: Callable[[str, float], None]  # status, and the advised delay before a retry
    journal: Journal
    now: Callable[[], float]

    def on_served(self, payload: object) -> None:
        """Record the answer of a node."""
        self.journal.add(self.now(), "answer", self.id, "served", payload)
        self.on_answer("served", 0.0)

    def on_rejected(self, advice: float) -> None:
        """Record a rejection; the client may retry after `advice` ms."""
        self.journal.add(self.now(), "answer", self.id, "refused", 0)
        self.on_answer("refused", advice)

    def on_failed(self) -> None:
        """Record that the request failed and its result is unknown."""
        self.journal.add(self.now(), "answer", self.id, "failed", 0)
        self.on_answer("failed", 0.0)
