"""G7: a server that is leaving receives no new requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from tests.guarantees.admission import choose_engines
from tests.guarantees.admission import make_admission_controller
from tests.guarantees.fake_fleet import MODEL
from tests.guarantees.fake_fleet import FakeFleet
from tests.guarantees.fake_fleet import VirtualLoop

from cornellead.fleet import ServerView
from cornellead_agent.admission import AdmissionRequest
from cornellead_agent.process._drainer import Drainer
from cornellead_agent.relay import ActiveConnections
from cornellead_core.blackboard import Blackboard
from cornellead_core.distribution import HostDistributor
from cornellead_core.facts import HOSTS
from cornellead_core.outcomes import RefusalReason
from cornellead_core.placement import rank_members
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.platform import HostState
from cornellead_core.platform import PlatformError
from cornellead_core.settings import ProcessSettings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cornellead_agent.admission import AdmissionController
    from cornellead_core.wire import Message

PROPAGATION_LIMIT_S = 3.0
SETTLE_TIME_S = 5.0


class FakeHostList:
    """Host list with a configurable delay and outage."""

    def __init__(self, hosts: list[HostEntry]) -> None:
        self.hosts = hosts
        self.down = False
        self.delay_s = 0.01

    async def fetch(self) -> Result[list[HostEntry], PlatformError]:
        """Return the hosts at the time of the call, after the delay."""
        hosts = list(self.hosts)
        await asyncio.sleep(self.delay_s)
        return Failure(PlatformError("outage")) if self.down else Success(hosts)


class UnreachablePeers:
    """Control client whose requests all fail."""

    async def request(self, address: str, message: Message) -> Result[Message, str]:
        """Return a failure."""
        return Failure("cut off")


def _make_distributor(
    loop: VirtualLoop, board: Blackboard, host_list: FakeHostList, name: str
) -> HostDistributor:
    address = f"{name}:1"
    settings = ProcessSettings(name, "r", "a", address, address, "http://platform", "k" * 16)
    return HostDistributor(
        board=board,
        host_list=host_list,
        client=UnreachablePeers(),
        settings=settings,
        clock=loop.time,
    )


def _entry(name: str, *, state: HostState = HostState.LIVE) -> HostEntry:
    address = f"{name}:1"
    return HostEntry(name, HostKind.AGENT, "r", "a", address, address, state, models=(MODEL,))


def _refuses_as_draining(admission: AdmissionController) -> bool:
    refusal = admission.admit(AdmissionRequest(fallback=True), chat=None, now=0.0)
    return refusal is not None and refusal.reason is RefusalReason.DRAINING


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    """Return an event loop in virtual time."""
    loop = VirtualLoop()
    yield loop
    loop.close()


@pytest.mark.parametrize("hosts", [3, 1330])
@pytest.mark.parametrize("delay_s", [0.01, 0.8])
def test_host_listed_as_leaving_gets_no_new_requests(
    loop: VirtualLoop, hosts: int, delay_s: float
) -> None:
    """Guards against new requests to a host that the platform is about to remove."""
    host_list = FakeHostList([_entry(f"s-{index}") for index in range(hosts)])
    host_list.delay_s = delay_s
    board = Blackboard()
    # The process that ranks first reads the list; tests of the distributor cover the others.
    name, other = rank_members("hosts/a", [host.name for host in host_list.hosts])[:2]
    admission = make_admission_controller(board, name=name, dc="a")
    distributor_task = loop.create_task(_make_distributor(loop, board, host_list, name).run())
    loop.run_until_complete(asyncio.sleep(SETTLE_TIME_S))
    assert not _refuses_as_draining(admission)
    index = [host.name for host in host_list.hosts].index(name)
    host_list.hosts[index] = _entry(name, state=HostState.LEAVING)
    loop.run_until_complete(asyncio.sleep(PROPAGATION_LIMIT_S))
    chosen = choose_engines(board)
    assert name not in chosen and other in chosen
    assert _refuses_as_draining(admission)
    distributor_task.cancel()


def test_last_host_list_is_kept_during_an_outage(loop: VirtualLoop) -> None:
    """Guards against an outage or an empty list that removes servers or their leaving state."""
    leaving = _entry("s-1", state=HostState.LEAVING)
    host_list = FakeHostList([_entry("s-0"), leaving])
    board = Blackboard()
    distributor_task = loop.create_task(_make_distributor(loop, board, host_list, "s-0").run())
    loop.run_until_complete(asyncio.sleep(SETTLE_TIME_S))
    before = board.read(HOSTS)
    host_list.down = True
    loop.run_until_complete(asyncio.sleep(SETTLE_TIME_S))
    host_list.down, host_list.hosts = False, []
    loop.run_until_complete(asyncio.sleep(SETTLE_TIME_S))
    assert board.read(HOSTS) == before
    distributor_task.cancel()


@pytest.mark.parametrize("seed", range(4))
def test_server_configured_as_draining_gets_no_new_requests(seed: int) -> None:
    """Guards against new requests to a draining server while half the processes lack the log."""
    fleet = FakeFleet({"a": 4, "b": 4, "c": 4}, seed=seed)
    fleet.publish({f"model/{MODEL}": {}})
    fleet.run(SETTLE_TIME_S)
    admission = make_admission_controller(fleet.nodes["b-1"].board, name="b-1", dc="b")
    assert not _refuses_as_draining(admission)
    for name in fleet.rng.sample(sorted(fleet.nodes), len(fleet.nodes) // 2):
        fleet.nodes[name].log.disconnected = True
    fleet.publish({"server/b-1": {"state": "draining"}})
    fleet.run(PROPAGATION_LIMIT_S)
    assert _refuses_as_draining(admission)
    for node in fleet.nodes.values():
        chosen = choose_engines(node.board)
        assert "b-1" not in chosen and "b-0" in chosen
    fleet.close()


def test_agent_refuses_requests_during_its_shutdown(loop: VirtualLoop) -> None:
    """Guards against an agent that admits requests or appears available while it shuts down."""
    board = Blackboard()
    admission = make_admission_controller(board, name="s-1", dc="a")
    view = ServerView()
    assert admission.admit(AdmissionRequest(), chat=None, now=0.0) is None
    view.merge(admission.digest(now=0.0), now=0.0)
    assert view.is_available("s-1", now=0.0)
    drainer = Drainer(
        board=board,
        admission=admission,
        service_handler=None,
        active=ActiveConnections(),
        timeout_s=30.0,
    )
    drain_task = loop.create_task(drainer.drain())
    loop.run_until_complete(asyncio.sleep(0.01))
    assert _refuses_as_draining(admission)
    view.merge(admission.digest(now=0.1), now=0.1)
    assert not view.is_available("s-1", now=0.1)
    assert not drain_task.done()
    admission.finish(duration_s=0.0)
    loop.run_until_complete(asyncio.sleep(PROPAGATION_LIMIT_S))
    assert drain_task.done()
