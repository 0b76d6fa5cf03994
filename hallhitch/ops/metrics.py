"""The metrics of one gateway in the Prometheus text format: counters are kept here, gauges are read on demand."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

PREFIX: Final = "svc"
OUTCOMES: Final = ("served", "refused", "failed")
CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
TYPE_AND_HELP: Final = {
    "requests": ("counter", "Requests that had their final answer, by class and outcome."),
    "attempts": ("counter", "Attempts written whole to backends."),
    "in_flight": ("gauge", "Requests taken and not yet ended."),
    "backends_known": ("gauge", "Backends in the list."),
    "backends_excluded": ("gauge", "Listed backends that get no requests now."),
    "reloads_ok": ("counter", "Configuration files taken at SIGHUP."),
    "reloads_failed": ("counter", "Configuration files turned down at SIGHUP."),
}


class GatewayMetrics:
    """The counters since the start of the process, and the functions that read the gauges."""

    def __init__(self, class_names: Iterable[str]) -> None:
        self._class_names: dict[str, None] = {}  # used as an ordered set
        self.requests: Counter[tuple[str, str]] = Counter()  # by class and outcome
        self.attempts = 0
        self.reloads_ok = 0
        self.reloads_failed = 0
        self.gauges: dict[str, Callable[[], int]] = {}  # by name; called whenever the metrics are rendered
        self.render_extra: Callable[[], str] = str  # returns the lines of optional components
        self.add_classes(class_names)

    def add_classes(self, class_names: Iterable[str]) -> None:
        """Report these classes from now on, even at 0; classes that the settings no longer define stay reported."""
        self._class_names |= dict.fromkeys(class_names)

    def record_request(self, class_name: str, outcome: str) -> None:
        """Count a request whose response was sent or was broken off; `outcome` is one of OUTCOMES."""
        self.requests[class_name, outcome] += 1

    def record_attempt(self) -> None:
        """Count an attempt that was written completely to a backend."""
        self.attempts += 1

    def render(self) -> str:
        """Return all metrics in the text format."""
        lines = [*_header("requests")]
        for class_name in self._class_names:
            for outcome in OUTCOMES:
                labels = f'class="{escape_label(class_name)}",outcome="{outcome}"'
                lines.append(f"{PREFIX}_requests{{{labels}}} {self.requests[class_name, outcome]}")
        counters = {"attempts": self.attempts, "reloads_ok": self.reloads_ok, "reloads_failed": self.reloads_failed}
        gauges = {name: read() for name, read in self.gauges.items()}
        for name, value in (counters | gauges).items():
            lines += [*_header(name), f"{PREFIX}_{name} {value}"]
        return "\n".join(lines) + "\n" + self.render_extra()


def escape_label(value: str) -> str:
    """Escape a label value for the text format."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _header(name: str) -> tuple[str, str]:
    metric_type, help_text = TYPE_AND_HELP[name]
    return f"# HELP {PREFIX}_{name} {help_text}", f"# TYPE {PREFIX}_{name} {metric_type}"
