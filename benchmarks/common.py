"""Functions shared by the benchmarks: load, percentiles, process costs, tables and plots."""

from __future__ import annotations

import os
import statistics
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

DOCS = Path(__file__).resolve().parent.parent / "docs"
_TICKS = os.sysconf("SC_CLK_TCK")
"""Clock ticks a second, the unit of processor times in /proc."""


class Cost(NamedTuple):
    """Processor time in seconds and resident memory in megabytes of a process."""

    cpu_s: float
    rss_mb: float


def read_cost(pid: int) -> Cost:
    """Return the processor time and memory of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Cost((int(fields[11]) + int(fields[12])) / _TICKS, pages * 4096 / 1e6)


def get_percentile(values: Sequence[float], share: float) -> float:
    """Return the value at a share of the sorted values, such as 0.99; nan without values."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_callers(call: Callable[[int], float], *, callers: int, seconds: float) -> list[float]:
    """Call repeatedly in several threads for some seconds, and return all results of the calls.

    ``call`` gets the number of its thread and returns the time that it took.
    """
    times: list[float] = []
    ends = time.monotonic() + seconds

    def run(number: int) -> None:
        """Call repeatedly in one thread."""
        own = []
        while time.monotonic() < ends:
            own.append(call(number))
        times.extend(own)

    threads = [threading.Thread(target=run, args=(i,)) for i in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return times


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float, float]:
    """Fit y = a + b x; return a, b and the largest absolute residual."""
    slope, intercept = statistics.linear_regression(xs, ys)
    residual = max(abs(y - intercept - slope * x) for x, y in zip(xs, ys, strict=True))
    return intercept, slope, residual


def format_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Format a table in Markdown."""
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(_format(v) for v in row) + " |" for row in rows]
    return "\n".join(lines)


def _format(value: object) -> str:
    """Format a cell; floats get three significant digits."""
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def write_result(name: str, title: str, table: str, note: str = "") -> None:
    """Print a result and write it to docs/measurements, to which CAPACITY.md and designs link."""
    text = f"# {title}\n\nCommand: `python -m benchmarks.{name}`\n\n{table}\n"
    if note:
        text += f"\n{note}\n"
    folder = DOCS / "measurements"
    folder.mkdir(exist_ok=True)
    (folder / f"{name}.md").write_text(text)
    print(text)


def write_plot(
    name: str, x_label: str, y_label: str, series: dict[str, tuple[list[float], list[float]]]
) -> None:
    """Plot lines by label into an SVG file in docs/plots."""
    import matplotlib as mpl

    mpl.use("svg")
    mpl.rcParams["svg.hashsalt"] = "halldoor"
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(6, 3.6))
    for label, (xs, ys) in series.items():
        axes.plot(xs, ys, marker="o", label=label)
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.tight_layout()
    folder = DOCS / "plots"
    folder.mkdir(exist_ok=True)
    figure.savefig(folder / f"{name}.svg", metadata={"Date": None})
