"""Result tables of the experiments."""

from __future__ import annotations

import csv
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from cornellead_emulator.experiments._run import Result


def write_table(results: Sequence[Result], folder: Path) -> Path:
    """Write all results as CSV and the main ones as a Markdown table.

    :returns: Path of the Markdown table.
    """
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / "results.csv").open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(results[0]._fields)
        writer.writerows(results)
    lines = [
        "| Load | Policy | Routers | In aim | Finished | Refused | First token p50 / p95 ms "
        "| Pause p95 ms | Reread / request | Copied / request | Over bound | Retries |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {r.load} | {r.policy} | {r.routers} | {r.in_aim:.3f} | {r.finished:.3f} "
        f"| {r.refused:.3f} | {r.first_token_p50_ms:.0f} / {r.first_token_p95_ms:.0f} "
        f"| {r.pause_p95_ms:.0f} | {r.reread_per_request:.0f} | {r.fetched_per_request:.0f} "
        f"| {r.over_bound:.3f} | {r.retries} |"
        for r in results
    ]
    path = folder / "results.md"
    path.write_text("\n".join(lines) + "\n")
    return path
