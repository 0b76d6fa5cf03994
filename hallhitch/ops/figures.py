"""The figures of one gateway: counts kept here, levels asked of who owns them, and their text."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

PREFIX = "svc"
OUTCOMES = ("served", "refused", "failed")
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
HELP = {
    "requests": ("counter", "Requests that had their final answer, by class and outcome."),
    "attempts": ("counter", "Attempts written whole to backends."),
    "in_flight": ("gauge", "Requests taken and not yet ended."),
    "backends_known": ("gauge", "Backends in the list."),
    "backends_excluded": ("gauge", "Listed backends that get no requests now."),
    "reloads_ok": ("counter", "Configuration files taken at SIGHUP."),
    "reloads_failed": ("counter", "Configuration files turned down at SIGHUP."),
}


class Figures:
    """Counts from the start of the process, and the owners of the levels."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._classes: dict[str, None] = {}
        self.requests: Counter[tuple[str, str]] = Counter()  # by class and outcome
        self.attempts = self.reloads_ok = self.reloads_failed = 0
        self.levels: dict[str, Callable[[], int]] = {}  # by name, asked at each reading
        self.also: Callable[[], str] = str  # lines of parts that may be off
        self.know(classes)

    def know(self, classes: Iterable[str]) -> None:
        """These classes are reported from now on, at 0 too; one that vanishes keeps its lines."""
        self._classes |= dict.fromkeys(classes)

    def ended(self, klass: str, outcome: str) -> None:
        """A request's final answer has gone out whole, or broke under way; `outcome` is one of OUTCOMES."""
        self.requests[klass, outcome] += 1

    def attempted(self) -> None:
        """An attempt was written whole."""
        self.attempts += 1

    def text(self) -> str:
        """All figures in the text form that scrapers read."""
        lines = [*self._header("requests")]
        for klass in self._classes:
            for outcome in OUTCOMES:
                labels = f'class="{escaped(klass)}",outcome="{outcome}"'
                lines.append(f"{PREFIX}_requests{{{labels}}} {self.requests[klass, outcome]}")
        counts = {"attempts": self.attempts, "reloads_ok": self.reloads_ok, "reloads_failed": self.reloads_failed}
        for name, value in (counts | {name: level() for name, level in self.levels.items()}).items():
            lines += [*self._header(name), f"{PREFIX}_{name} {value}"]
        return "\n".join(lines) + "\n" + self.also()

    def _header(self, name: str) -> tuple[str, str]:
        kind, text = HELP[name]
        return f"# HELP {PREFIX}_{name} {text}", f"# TYPE {PREFIX}_{name} {kind}"


def escaped(label: str) -> str:
    """A label's value as the text form writes it."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
