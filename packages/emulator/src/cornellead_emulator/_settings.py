"""Settings file of the experiments."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_emulator.routing import FleetSettings
from cornellead_emulator.traffic import USERS_CLASSES
from cornellead_emulator.traffic import RequestClass

if TYPE_CHECKING:
    from pathlib import Path


class ExperimentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fleet and traffic; the defaults describe one deployment of the users."""

    fleet: FleetSettings = FleetSettings()
    classes: tuple[RequestClass, ...] = USERS_CLASSES


def read_settings(path: Path | None) -> Result[ExperimentSettings, str]:
    """Read and validate a YAML file.

    :param path: Path of the file; ``None`` for the defaults.
    :returns: The settings, or an error message that names the file and the invalid field.
    """
    if path is None:
        return Success(ExperimentSettings())
    try:
        return Success(msgspec.yaml.decode(path.read_bytes(), type=ExperimentSettings))
    except (OSError, msgspec.MsgspecError) as exc:
        return Failure(f"{path}: {exc}")
