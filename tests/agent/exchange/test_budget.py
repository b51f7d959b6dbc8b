"""Byte budget of the load exchange."""

from __future__ import annotations

import pytest

from cornellead_agent.exchange import Member
from cornellead_agent.exchange import plan_round
from cornellead_agent.exchange import round_interval_s
from cornellead_agent.exchange._interval import LOAD_BUDGET_BYTES_PER_S
from cornellead_agent.exchange._interval import MESH_EXCHANGE_BYTES
from cornellead_agent.exchange._interval import REPORT_EXCHANGE_BYTES
from cornellead_core.auth import FleetKey
from cornellead_core.load import DcSummary
from cornellead_core.load import LoadReport
from cornellead_core.load import ServerState
from cornellead_core.load import single_server_group
from cornellead_core.wire import LoadExchange
from cornellead_core.wire import LoadReportMessage
from cornellead_core.wire import Message
from cornellead_core.wire import Traffic
from cornellead_core.wire import encode_message

KEY = FleetKey(secret=b"k" * 16)
SEQ = 1_000_000_000
SINGLE_SERVER_SUMMARY = DcSummary("kigali-1", single_server_group("model-07"), SEQ, 120, 99, 64, 1)
TOTAL = DcSummary("kigali-1", -1, SEQ, 1200, 1999, 640.0, 71)
REPORT = LoadReport("model-0007", 1_767_225_600_000, SEQ, 0, 99, 64.0, 64, ServerState.SERVING)


def count_bytes(*messages: Message) -> int:
    """Return the encoded size of messages, as counted against the byte budget."""
    traffic = Traffic()
    for message in messages:
        traffic.count_sent(encode_message(message, key=KEY))
    return traffic.total_bytes


def test_size_constants_cover_the_encoded_messages() -> None:
    """Guards against a round interval that follows from too small message sizes."""
    assert (
        count_bytes(LoadExchange([SINGLE_SERVER_SUMMARY]), LoadExchange([SINGLE_SERVER_SUMMARY]))
        <= MESH_EXCHANGE_BYTES
    )
    assert (
        count_bytes(LoadReportMessage("kigali-1", REPORT), LoadExchange([TOTAL, TOTAL]))
        <= REPORT_EXCHANGE_BYTES
    )


@pytest.mark.parametrize(("servers", "data_centres"), [(2, 1), (6, 3), (16, 3), (60, 3), (994, 14)])
def test_no_agent_exceeds_the_budget(servers: int, data_centres: int) -> None:
    """Guards against reporters that reply to more reports than the byte budget allows."""
    members = [Member(f"s{n:04}", f"dc{n % data_centres:02}") for n in range(servers)]
    bytes_per_s = dict.fromkeys((member.name for member in members), 0.0)
    for member in members:
        plan = plan_round(name=member.name, dc=member.dc, members=members)
        size = MESH_EXCHANGE_BYTES if plan.mesh else REPORT_EXCHANGE_BYTES
        receivers = plan.peers
        if not plan.mesh and plan.reporter != member.name:
            receivers = (plan.reporter,)
        elif not plan.mesh and plan.head != member.name:
            receivers = (plan.head,)
        rate = size / round_interval_s(exchanges=plan.exchanges, exchange_bytes=size)
        for name in (*receivers, *(member.name for _ in receivers)):
            bytes_per_s[name] += rate
    assert max(bytes_per_s.values()) <= LOAD_BUDGET_BYTES_PER_S * 1.001
