"""Routes, server entries, node settings, and interfaces to the platform's store and headers."""

from __future__ import annotations

from cornellead_core.routing._address import Address
from cornellead_core.routing._address import parse_address
from cornellead_core.routing._http_client import HttpClient
from cornellead_core.routing._http_client import HttpResponse
from cornellead_core.routing._node_settings import Bounds
from cornellead_core.routing._node_settings import CallerSettings
from cornellead_core.routing._node_settings import NodeSettings
from cornellead_core.routing._node_settings import StoreSettings
from cornellead_core.routing._position import UNKNOWN_ERA
from cornellead_core.routing._position import Position
from cornellead_core.routing._position import are_different
from cornellead_core.routing._position import parse_era
from cornellead_core.routing._rollout import RolloutNotice
from cornellead_core.routing._rollout import RolloutOrder
from cornellead_core.routing._rollout import RolloutOrderNotice
from cornellead_core.routing._rollout import RolloutPhase
from cornellead_core.routing._rollout import RolloutRecord
from cornellead_core.routing._route import CallerLimits
from cornellead_core.routing._route import RequestKind
from cornellead_core.routing._route import Route
from cornellead_core.routing._route import Service
from cornellead_core.routing._route import Team
from cornellead_core.routing._route import WeightedService
from cornellead_core.routing._routing_config import RoutingConfig
from cornellead_core.routing._routing_config import RoutingData
from cornellead_core.routing._routing_config import TeamKeys
from cornellead_core.routing._server_entry import EntryCount
from cornellead_core.routing._server_entry import ReportedLoad
from cornellead_core.routing._server_entry import ServerEntry
from cornellead_core.routing._store import STORE_SOURCE
from cornellead_core.routing._store import DataCentreNotice
from cornellead_core.routing._store import FleetStore
from cornellead_core.routing._store import GatewayStore
from cornellead_core.routing._store import Notice
from cornellead_core.routing._store import NoticeBatch
from cornellead_core.routing._store import OffsetExpired
from cornellead_core.routing._store import QuarantineMark
from cornellead_core.routing._store import QuarantineNotice
from cornellead_core.routing._store import ReadStats
from cornellead_core.routing._store import RolloutStore
from cornellead_core.routing._store import RouterLocation
from cornellead_core.routing._store import RouterNotice
from cornellead_core.routing._store import RoutingNotice
from cornellead_core.routing._store import ServerNotice
from cornellead_core.routing._store import StoreError
from cornellead_core.routing._store import Topic
from cornellead_core.routing._store import UnreadableRecord
from cornellead_core.routing._wire_format import CallerHeaders
from cornellead_core.routing._wire_format import ForwardTarget
from cornellead_core.routing._wire_format import HeaderList
from cornellead_core.routing._wire_format import PromptPart
from cornellead_core.routing._wire_format import ServerReply
from cornellead_core.routing._wire_format import WireFormat

__all__ = [
    "STORE_SOURCE",
    "UNKNOWN_ERA",
    "Address",
    "Bounds",
    "CallerHeaders",
    "CallerLimits",
    "CallerSettings",
    "DataCentreNotice",
    "EntryCount",
    "FleetStore",
    "ForwardTarget",
    "GatewayStore",
    "HeaderList",
    "HttpClient",
    "HttpResponse",
    "NodeSettings",
    "Notice",
    "NoticeBatch",
    "OffsetExpired",
    "Position",
    "PromptPart",
    "QuarantineMark",
    "QuarantineNotice",
    "ReadStats",
    "ReportedLoad",
    "RequestKind",
    "RolloutNotice",
    "RolloutOrder",
    "RolloutOrderNotice",
    "RolloutPhase",
    "RolloutRecord",
    "RolloutStore",
    "Route",
    "RouterLocation",
    "RouterNotice",
    "RoutingConfig",
    "RoutingData",
    "RoutingNotice",
    "ServerEntry",
    "ServerNotice",
    "ServerReply",
    "Service",
    "StoreError",
    "StoreSettings",
    "Team",
    "TeamKeys",
    "Topic",
    "UnreadableRecord",
    "WeightedService",
    "WireFormat",
    "are_different",
    "parse_address",
    "parse_era",
]
