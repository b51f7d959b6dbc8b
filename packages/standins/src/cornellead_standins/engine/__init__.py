"""Stand-in for a model engine with continuous batching and a prefix cache."""

from __future__ import annotations

from cornellead_standins.engine._app import build_app
from cornellead_standins.engine._batch import Batch
from cornellead_standins.engine._cache_feed import CacheFeed
from cornellead_standins.engine._engine import Engine
from cornellead_standins.engine._prefix_cache import PrefixCache
from cornellead_standins.engine._sequence import ChatBody
from cornellead_standins.engine._sequence import Sequence
from cornellead_standins.engine._settings import EngineFaults
from cornellead_standins.engine._settings import EngineSettings
from cornellead_standins.engine._text import answer_text
from cornellead_standins.engine._text import generate_token
from cornellead_standins.engine._text import tokenize

__all__ = [
    "Batch",
    "CacheFeed",
    "ChatBody",
    "Engine",
    "EngineFaults",
    "EngineSettings",
    "PrefixCache",
    "Sequence",
    "answer_text",
    "build_app",
    "generate_token",
    "tokenize",
]
