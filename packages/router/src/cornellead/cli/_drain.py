"""``cornellead drain``: take a data centre, server or router host out of service."""

from __future__ import annotations

from cornellead.cli._service_state import TARGET_HELP
from cornellead.cli._service_state import run_service_state
from cornellead.cli._verb_flags import VerbFlags


def run(argv: list[str]) -> int:
    """Publish the change that stops new work at the targets."""
    verb = VerbFlags(
        "drain",
        usage="[flags] TARGET...",
        summary=f"Takes targets out of service: {TARGET_HELP}.\n"
        "They receive no new work; requests in progress go on to their end.",
        examples=["drain --wait data_centre/kigali-2", "drain server/gpu-3 router/entry-1"],
    )
    return run_service_state(argv, verb, data_centre_state="out", server_state="draining")
