"""Admission control and engine selection on the blackboards of simulated processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.guarantees.fake_fleet import MODEL

from cornellead.fleet import engines_for
from cornellead_agent.admission import AdmissionController
from cornellead_agent.admission import ColdLimit
from cornellead_agent.chats import ChatIndex
from cornellead_agent.facts import ANNOUNCED
from cornellead_agent.facts import SERVER
from cornellead_agent.facts import ServerView
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.load import LoadTable
from cornellead_core.settings import AgentSettings
from cornellead_core.settings import ProcessSettings
from cornellead_core.settings import ServerSettings

if TYPE_CHECKING:
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.platform import HostEntry

CAPACITY = 16


def choose_engines(board: Blackboard) -> dict[str, HostEntry]:
    """Return the engines to which a router with this blackboard sends new chats, by name."""
    hosts = board.read(HOSTS)
    return engines_for(MODEL, hosts=hosts, config=board.read(CONFIG))


def make_admission_controller(
    board: Blackboard, *, name: str, dc: str, table: LoadTable | None = None, cold_limit: int = 2
) -> AdmissionController:
    """Make the admission controller of an agent whose server is up and announced.

    :param cold_limit: Limit that the server has reached during its warm-up, in requests.
    """
    process = ProcessSettings(name, "region", dc, "127.0.0.1:1", "127.0.0.1:2", "", "k" * 16)
    board.write(SERVER, ServerView(up=True))
    board.write(ANNOUNCED, True)
    return AdmissionController(
        settings=AgentSettings(process, ServerSettings("http://127.0.0.1:3", capacity=CAPACITY)),
        board=board,
        table=table or LoadTable(),
        cold_limit=ColdLimit(start=cold_limit, capacity=CAPACITY, ceiling_s=0.63),
        chats=ChatIndex(),
        incarnation=1,
        started_at=0.0,
    )
