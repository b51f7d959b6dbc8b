"""Synchronizes the router's view of the fleet with the platform's store."""

from __future__ import annotations

from cornellead.gateway.sync._announcer import Announcer
from cornellead.gateway.sync._contained_sink import ContainedSink
from cornellead.gateway.sync._operator_sink import OperatorSink
from cornellead.gateway.sync._quarantine_publisher import QuarantinePublisher
from cornellead.gateway.sync._reporting_sink import ReportingSink
from cornellead.gateway.sync._rollout_controller import RolloutController
from cornellead.gateway.sync._router_sink import RouterSink
from cornellead.gateway.sync._server_sink import ServerSink
from cornellead.gateway.sync._topic_reader import NoticeSink
from cornellead.gateway.sync._topic_reader import TopicReader

__all__ = [
    "Announcer",
    "ContainedSink",
    "NoticeSink",
    "OperatorSink",
    "QuarantinePublisher",
    "ReportingSink",
    "RolloutController",
    "RouterSink",
    "ServerSink",
    "TopicReader",
]
