"""Command line of the experiments."""

from __future__ import annotations

import sys
from pathlib import Path

from absl import app
from absl import flags
from returns.result import Failure

from cornellead_emulator._settings import read_settings
from cornellead_emulator.experiments import LOADS
from cornellead_emulator.experiments import Result
from cornellead_emulator.experiments import draw_plots
from cornellead_emulator.experiments import run_load
from cornellead_emulator.experiments import write_table
from cornellead_emulator.routing import ORDER_FACTORIES

EXIT_USAGE = 2

_loads = flags.DEFINE_multi_enum("load", list(LOADS), list(LOADS), "load to run; repeatable")
_policies = flags.DEFINE_multi_enum(
    "policy",
    list(ORDER_FACTORIES),
    list(ORDER_FACTORIES),
    "placement policy to run each load with; repeatable",
)
_routers = flags.DEFINE_multi_integer("routers", None, "number of routers; repeatable")
_seconds = flags.DEFINE_float("seconds", 40.0, "simulated time during which requests arrive", 1.0)
_seed = flags.DEFINE_integer("seed", 1, "seed of the random number generators")
_settings = flags.DEFINE_string("settings", None, "YAML settings file of the fleet and the traffic")
_out = flags.DEFINE_string("out", "build/experiment", "output directory of tables and plots")


def _run(argv: list[str]) -> int:
    if len(argv) > 1:
        print(f"unknown argument {argv[1]!r}; see --help", file=sys.stderr)
        return EXIT_USAGE
    loaded = read_settings(Path(_settings.value) if _settings.value else None)
    if isinstance(loaded, Failure):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_USAGE
    settings = loaded.unwrap()
    results: list[Result] = []
    for routers in _routers.value or [settings.fleet.routers]:
        for name in dict.fromkeys(_loads.value):
            for policy in dict.fromkeys(_policies.value):
                result = run_load(
                    name,
                    LOADS[name],
                    policy=policy,
                    settings=settings.fleet.with_routers(routers),
                    classes=settings.classes,
                    seconds=_seconds.value,
                    seed=_seed.value,
                )
                results.append(result)
                print(
                    f"{name} {policy} routers={routers} in_aim={result.in_aim:.3f} "
                    f"reread={result.reread_per_request:.0f} over_bound={result.over_bound:.3f}",
                    flush=True,
                )
    out_dir = Path(_out.value)
    table = write_table(results, out_dir)
    draw_plots(results, out_dir)
    print(f"wrote {table} and plots beside it")
    return 0


def main() -> None:
    """Run the command line."""
    app.run(_run)


if __name__ == "__main__":
    main()
