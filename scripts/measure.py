"""Measures fleets against the targets of the requirements; writes ``build/measurements.json``.

Run all measurements or some: ``python -m scripts.measure [--only NAME ...]``.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from typing import TYPE_CHECKING
from typing import Any

from scripts.fleet import BUILD_DIRECTORY
from scripts.fleet import interrupt_on_sigterm
from scripts.measurements import measure_data_centre_removal
from scripts.measurements import measure_gateway_slopes
from scripts.measurements import measure_reuse
from scripts.measurements import measure_router
from scripts.measurements import measure_skew_and_control
from scripts.measurements import measure_slopes

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

MEASUREMENTS: dict[str, Callable[[], Awaitable[dict[str, Any]]]] = {
    "reuse": measure_reuse,
    "skew_and_control": measure_skew_and_control,
    "data_centre_out_and_back": measure_data_centre_removal,
    "one_router": measure_router,
    "slopes": measure_slopes,
    "gateway_slopes": measure_gateway_slopes,
}


async def _run(names: list[str]) -> int:
    path = BUILD_DIRECTORY / "measurements.json"
    results: dict[str, Any] = json.loads(path.read_text()) if path.exists() else {}
    missed = 0
    for name in names:
        sys.stdout.write(f"measure {name}\n")
        sys.stdout.flush()
        result = await MEASUREMENTS[name]()
        results[name] = result
        missed += not result["met"]
        sys.stdout.write(json.dumps(result, indent=2) + "\n")
        path.write_text(json.dumps(results, indent=2) + "\n")
    sys.stdout.write(f"{len(names) - missed} of {len(names)} met; see build/{path.name}\n")
    return 0


def main() -> int:
    """Run the measurements; returns 0 also when a target is missed, which is only reported."""
    interrupt_on_sigterm()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", nargs="*", choices=sorted(MEASUREMENTS))
    return asyncio.run(_run(parser.parse_args().only or list(MEASUREMENTS)))


if __name__ == "__main__":
    sys.exit(main())
