"""Plots of results."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    from pathlib import Path

    from cornellead_emulator.experiments._run import Result

PLOTS: Mapping[str, str] = {
    "in_aim": "Share of requests with a first token in time",
    "first_token_p95_ms": "Time to the first token, 95 in 100, ms",
    "reread_per_request": "Shared tokens read again, a request",
    "over_bound": "Share of requests that reached a server above the allowed load",
}
BAR_WIDTH = 0.8
"""Part of the space of a load that its bars fill."""


def draw_plots(results: Sequence[Result], folder: Path) -> list[Path]:
    """Draw a bar chart of each main figure, by load and policy.

    :returns: Paths of the images.
    """
    # Matplotlib takes a second to load, and tests of the runs do not need it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    loads = list(dict.fromkeys(r.load for r in results))
    policies = list(dict.fromkeys(f"{r.policy}, {r.routers} routers" for r in results))
    paths = []
    for field, title in PLOTS.items():
        figure, axes = pyplot.subplots(figsize=(max(6.0, 1.4 * len(loads)), 4.0))
        width = BAR_WIDTH / len(policies)
        for index, policy in enumerate(policies):
            of_policy = {
                r.load: getattr(r, field)
                for r in results
                if f"{r.policy}, {r.routers} routers" == policy
            }
            places = [number + index * width for number in range(len(loads))]
            heights = [of_policy.get(load, 0.0) for load in loads]
            axes.bar(places, heights, width, label=policy)
        axes.set_xticks([n + BAR_WIDTH / 2 - width / 2 for n in range(len(loads))], loads)
        axes.set_title(title)
        axes.legend(fontsize="small")
        figure.tight_layout()
        path = folder / f"{field}.png"
        figure.savefig(path, dpi=120)
        pyplot.close(figure)
        paths.append(path)
    return paths
