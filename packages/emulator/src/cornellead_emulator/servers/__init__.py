"""Emulated model servers with prompt caches."""

from __future__ import annotations

from cornellead_emulator.servers._generation import Generation
from cornellead_emulator.servers._model_server import ModelServer
from cornellead_emulator.servers._prompt_cache import PromptCache
from cornellead_emulator.servers._server_settings import ModelServerSettings

__all__ = [
    "Generation",
    "ModelServer",
    "ModelServerSettings",
    "PromptCache",
]
