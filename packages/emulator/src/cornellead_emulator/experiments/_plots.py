"""Bar charts of the results."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    from pathlib import Path

    from cornellead_emulator.experiments._run import Result

PLOT_TITLES: Mapping[str, str] = {
    "in_aim": "Fraction of requests with a first token within the latency target",
    "first_token_p95_ms": "Time to first token, 95th percentile (ms)",
    "reread_per_request": "Shared tokens prefilled again per request",
    "over_bound": "Fraction of arrivals at a server above the load bound",
}
"""Title of each plot, by the column that it shows."""
BAR_GROUP_WIDTH = 0.8
"""Fraction of the space of a load on the axis that its bars fill."""


def draw_plots(results: Sequence[Result], folder: Path) -> list[Path]:
    """Draw a bar chart of each main column, grouped by load and with a bar per policy.

    :returns: Paths of the images.
    """
    # Imported here because Matplotlib takes a second to import and most tests do not need it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    loads = list(dict.fromkeys(r.load for r in results))
    policies = list(dict.fromkeys(f"{r.policy}, {r.routers} routers" for r in results))
    paths = []
    for field, title in PLOT_TITLES.items():
        figure, axes = pyplot.subplots(figsize=(max(6.0, 1.4 * len(loads)), 4.0))
        width = BAR_GROUP_WIDTH / len(policies)
        for index, policy in enumerate(policies):
            value_by_load = {
                r.load: getattr(r, field)
                for r in results
                if f"{r.policy}, {r.routers} routers" == policy
            }
            positions = [number + index * width for number in range(len(loads))]
            heights = [value_by_load.get(load, 0.0) for load in loads]
            axes.bar(positions, heights, width, label=policy)
        axes.set_xticks([n + BAR_GROUP_WIDTH / 2 - width / 2 for n in range(len(loads))], loads)
        axes.set_title(title)
        axes.legend(fontsize="small")
        figure.tight_layout()
        path = folder / f"{field}.png"
        figure.savefig(path, dpi=120)
        pyplot.close(figure)
        paths.append(path)
    figure, axes = pyplot.subplots(figsize=(8.0, 5.0))
    for r in results:
        lengths = list(r.first_token_by_length)
        label = f"{r.load}, {r.policy}, {r.routers} routers"
        axes.plot(lengths, list(r.first_token_by_length.values()), marker="o", label=label)
    axes.set_xscale("log", base=2)
    axes.set_yscale("log")
    axes.set_xlabel("Tokens of the prompt, rounded down to a power of two")
    axes.set_title(PLOT_TITLES["first_token_p95_ms"])
    axes.legend(fontsize="xx-small", ncols=2)
    path = folder / "first_token_by_length.png"
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
    return [*paths, path]
