"""Configuration of the fleet: its objects, the replicated state and the resolved configuration."""

from __future__ import annotations

from cornellead_core.config._config_state import ChangeDecision
from cornellead_core.config._config_state import ConfigObject
from cornellead_core.config._config_state import ConfigState
from cornellead_core.config._config_state import decode_state
from cornellead_core.config._config_state import digest_state
from cornellead_core.config._config_state import encode_state
from cornellead_core.config._documents import Document
from cornellead_core.config._documents import check_documents
from cornellead_core.config._documents import load_documents
from cornellead_core.config._documents import read_files
from cornellead_core.config._file_check import check_files
from cornellead_core.config._finding import CheckReport
from cornellead_core.config._finding import Finding
from cornellead_core.config._finding import FindingKind
from cornellead_core.config._fleet_config import EMPTY_CONFIG
from cornellead_core.config._fleet_config import FleetConfig
from cornellead_core.config._fleet_config import Priority
from cornellead_core.config._fleet_config import ServerConfig
from cornellead_core.config._fleet_config import ServicePolicy
from cornellead_core.config._fleet_config import TeamPolicy
from cornellead_core.config._object_name import ObjectKind
from cornellead_core.config._object_name import split_name
from cornellead_core.config._problem import Problem
from cornellead_core.config._records import CHANGE
from cornellead_core.config._records import SNAPSHOT
from cornellead_core.config._records import STREAM
from cornellead_core.config._records import AuditRecord
from cornellead_core.config._records import ChangeRecord
from cornellead_core.config._records import make_snapshot
from cornellead_core.config._records import parse_change
from cornellead_core.config._records import parse_snapshot
from cornellead_core.config._records import verified_digest
from cornellead_core.config._reducer import MAX_RECENT_CHANGES
from cornellead_core.config._reducer import apply_change
from cornellead_core.config._reducer import reduce_record
from cornellead_core.config._resolver import Resolver
from cornellead_core.config._resolver import resolve_spec
from cornellead_core.config._validation import check_state
from cornellead_core.config._validation import find_object_problems
from cornellead_core.config._validation import find_problems

__all__ = [
    "CHANGE",
    "EMPTY_CONFIG",
    "MAX_RECENT_CHANGES",
    "SNAPSHOT",
    "STREAM",
    "AuditRecord",
    "ChangeDecision",
    "ChangeRecord",
    "CheckReport",
    "ConfigObject",
    "ConfigState",
    "Document",
    "Finding",
    "FindingKind",
    "FleetConfig",
    "ObjectKind",
    "Priority",
    "Problem",
    "Resolver",
    "ServerConfig",
    "ServicePolicy",
    "TeamPolicy",
    "apply_change",
    "check_documents",
    "check_files",
    "check_state",
    "decode_state",
    "digest_state",
    "encode_state",
    "find_object_problems",
    "find_problems",
    "load_documents",
    "make_snapshot",
    "parse_change",
    "parse_snapshot",
    "read_files",
    "reduce_record",
    "resolve_spec",
    "split_name",
    "verified_digest",
]
