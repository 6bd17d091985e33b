"""Plot of the on-time share after a fault."""

import pathlib

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "tarragonrudder"

from matplotlib import pyplot  # noqa: E402

from benchmarks.recovery_time import FAULT_AT, Recovery  # noqa: E402

SHOWN = ("stage lost", "data centre lost")


def draw_recoveries(recoveries: list[Recovery], path: pathlib.Path) -> None:
    """Draw on-time share and queue age for the two most important faults."""
    figure, axes = pyplot.subplots(2, 1, sharex=True, figsize=(6.4, 4.4))
    for each in recoveries:
        if each.name not in SHOWN:
            continue
        times = [at - FAULT_AT for at, _ in each.series]
        axes[0].step(times, [s for _, s in each.series], where="post", label=each.name)
        times = [at - FAULT_AT for at, _ in each.queue_ages]
        axes[1].plot(times, [age for _, age in each.queue_ages], label=each.name)
    axes[0].axhline(0.95, color="grey", linewidth=0.8, linestyle="--")
    axes[0].set_ylabel("on time / can be carried")
    axes[0].set_ylim(0.0, 1.3)
    axes[1].set_ylabel("oldest waiting (s)")
    axes[1].set_xlabel("seconds after the fault")
    axes[0].legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
