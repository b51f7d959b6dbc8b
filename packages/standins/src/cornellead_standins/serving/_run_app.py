"""Reads the settings of a stand-in and serves its application until a signal stops it."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
import uvicorn
import yaml

if TYPE_CHECKING:
    from collections.abc import Sequence

    from litestar import Litestar

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)

SHUTDOWN_TIMEOUT_S = 1
"""Time limit for open connections at shutdown; a stand-in may cut off its clients."""
KEEP_ALIVE_TIMEOUT_S = 75
BACKLOG = 4096


def read_settings(argv: Sequence[str], settings_type: type[SettingsT]) -> SettingsT:
    """Read the settings from the YAML file named by ``--settings=FILE``.

    :raises SystemExit: when the file cannot be read or does not match the settings.
    """
    parser = argparse.ArgumentParser(prog=argv[0])
    parser.add_argument("--settings", required=True, help="YAML file with settings")
    path = Path(parser.parse_args(argv[1:]).settings)
    try:
        return msgspec.convert(yaml.safe_load(path.read_text()), settings_type)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as exc:
        raise SystemExit(f"{path}: {exc}; correct the settings file") from exc


def run_app(app: Litestar, *, listen: str) -> None:
    """Serve an application until SIGTERM or SIGINT.

    :param listen: ``ip:port`` to listen on.
    """
    host, _, port = listen.rpartition(":")
    uvicorn.run(
        app,
        host=host,
        port=int(port),
        loop="asyncio",
        http="httptools",
        ws="none",
        access_log=False,
        log_level="error",
        backlog=BACKLOG,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
    )
