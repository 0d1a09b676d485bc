"""Service-level burn report as an HTML page with charts."""

from __future__ import annotations

from collections.abc import Callable
from html import escape
from io import StringIO
from typing import Any

from sycamorenotch_cli._burn_merge import PERCENTILES
from sycamorenotch_cli._burn_merge import MergedObjective
from sycamorenotch_kernel import BurnAlarm
from sycamorenotch_kernel import BurnWindow

CHART_SIZE_IN = (8.0, 3.2)
# Share of the distance between two groups of bars.
GROUP_WIDTH = 0.8

STYLE = """\
body { font-family: sans-serif; margin: 2em; max-width: 60em; }
table { border-collapse: collapse; }
td, th { border: 1px solid #bbb; padding: 0.3em 0.6em; text-align: left; }
svg { max-width: 100%; height: auto; }
"""


def render_page(objectives: tuple[MergedObjective, ...], summary: str) -> str:
    """Return a self-contained page without external resources.

    :param summary: text on which instances responded.
    """
    return "\n".join(
        [
            '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">',
            f"<title>Service-level burn</title><style>{STYLE}</style></head><body>",
            f"<h1>Service-level burn</h1><p>{escape(summary)}</p>",
            _rates_table(objectives),
            "<h2>Burn rate</h2>",
            _chart(lambda axes: _draw_rates(axes, objectives)),
            "<h2>Latency since the start of the instances</h2>",
            _chart(lambda axes: _draw_latencies(axes, objectives)),
            "<h2>Spent error budget by kind</h2>",
            _burn_causes_table(objectives),
            "</body></html>",
        ]
    )


def _rates_table(objectives: tuple[MergedObjective, ...]) -> str:
    head = ("objective", *(w.value for w in BurnWindow), "budget left", "alarms")
    rows = [
        (
            item.name,
            *(f"{rate:.2f}" for rate in item.rates.values()),
            f"{item.budget_left:.0%}",
            ", ".join(alarm.value for alarm in item.alarms) or "none",
        )
        for item in objectives
    ]
    return _table(head, rows)


def _burn_causes_table(objectives: tuple[MergedObjective, ...]) -> str:
    rows = [
        (item.name, burn_cause.kind, burn_cause.count, ", ".join(burn_cause.decisions))
        for item in objectives
        for burn_cause in item.burn_causes
    ]
    return _table(("objective", "kind", "requests", "newest decisions"), rows)


def _table(head: tuple[str, ...], rows: list[tuple[object, ...]]) -> str:
    def line(cells: tuple[object, ...], tag: str) -> str:
        inner = "".join(f"<{tag}>{escape(str(cell))}</{tag}>" for cell in cells)
        return f"<tr>{inner}</tr>"

    return (
        f"<table>{line(head, 'th')}{''.join(line(row, 'td') for row in rows)}</table>"
    )


def _chart(draw: Callable[[Any], None]) -> str:
    from matplotlib import rc_context
    from matplotlib.figure import Figure

    # A fixed salt makes the output reproducible.
    with rc_context({"svg.hashsalt": "sycamorenotch"}):
        figure = Figure(figsize=CHART_SIZE_IN, layout="constrained")
        draw(figure.subplots())
        buffer = StringIO()
        figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def _draw_rates(axes: Any, objectives: tuple[MergedObjective, ...]) -> None:
    groups = {w.value: [item.rates[w] for item in objectives] for w in BurnWindow}
    _draw_groups(axes, [item.name for item in objectives], groups)
    for alarm in BurnAlarm:
        axes.axhline(alarm.threshold, linestyle="--", linewidth=0.8, color="grey")
    axes.set_ylabel("burn rate")


def _draw_latencies(axes: Any, objectives: tuple[MergedObjective, ...]) -> None:
    groups = {
        f"p{p:g}": [item.percentiles[p] for item in objectives] for p in PERCENTILES
    }
    _draw_groups(axes, [item.name for item in objectives], groups)
    axes.set_ylabel("latency in ms")


def _draw_groups(axes: Any, names: list[str], groups: dict[str, list[float]]) -> None:
    width = GROUP_WIDTH / len(groups)
    for index, (label, values) in enumerate(groups.items()):
        # An infinite burn rate, of an objective without an error budget, has no bar.
        shown = [value if value < float("inf") else 0.0 for value in values]
        positions = [position + index * width for position in range(len(names))]
        axes.bar(positions, shown, width, label=label)
    centre = (GROUP_WIDTH - width) / 2
    axes.set_xticks([position + centre for position in range(len(names))], names)
    axes.legend()
