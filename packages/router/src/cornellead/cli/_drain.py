"""``cornellead drain``: take a data centre, server or router host out of service."""

from __future__ import annotations

from cornellead.cli._service_state import TARGET_HELP
from cornellead.cli._service_state import run_service_state
from cornellead.cli._verb_flags import VerbFlags


def run(argv: list[str]) -> int:
    """Publish a change after which the targets get no new requests.

    :param argv: The verb, its flags and the targets.
    :returns: Exit code.
    """
    verb = VerbFlags(
        "drain",
        usage="[flags] TARGET...",
        summary=f"Takes targets out of service: {TARGET_HELP}.\n"
        "They receive no new work; requests in progress are completed.",
        examples=["drain --wait data_centre/kigali-2", "drain server/gpu-3 router/entry-1"],
    )
    return run_service_state(argv, verb, data_centre_state="out", server_state="draining")
