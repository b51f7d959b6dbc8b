"""``cornellead restore``: put a data centre, server or router host back into service."""

from __future__ import annotations

from cornellead.cli._service_state import TARGET_HELP
from cornellead.cli._service_state import run_service_state
from cornellead.cli._verb_flags import VerbFlags


def run(argv: list[str]) -> int:
    """Publish a change after which the targets get new requests again.

    :param argv: The verb, its flags and the targets.
    :returns: Exit code.
    """
    verb = VerbFlags(
        "restore",
        usage="[flags] TARGET...",
        summary=f"Puts targets back into service: {TARGET_HELP}.\n"
        "The load bound and the cold limit apply, so work returns step by step.",
        examples=["restore data_centre/kigali-2", "restore server/gpu-3"],
    )
    return run_service_state(argv, verb, data_centre_state="in", server_state="serving")
