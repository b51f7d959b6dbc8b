"""Guards against control messages that are lost, mixed up or accepted without the fleet's key."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure

from cornellead_core.auth import FleetKey
from cornellead_core.wire import Ack
from cornellead_core.wire import ConfigOffset
from cornellead_core.wire import ControlClient
from cornellead_core.wire import ControlServer
from cornellead_core.wire import Message
from cornellead_core.wire import Traffic

if TYPE_CHECKING:
    from collections.abc import Callable

KEY = FleetKey(secret=b"0123456789abcdef")
OTHER = FleetKey(secret=b"fedcba9876543210")


async def _echo(message: Message) -> Message:
    return message


async def test_answers_belong_to_their_own_requests(free_address: Callable[[], str]) -> None:
    address = free_address()
    served, used = Traffic(), Traffic()
    server = asyncio.create_task(
        ControlServer(address=address, key=KEY, traffic=served, handler=_echo).run()
    )
    client = ControlClient(key=KEY, traffic=used)
    answers = await asyncio.gather(
        *(client.request(address, ConfigOffset(offset)) for offset in range(50))
    )
    assert [answer.unwrap() for answer in answers] == [ConfigOffset(n) for n in range(50)]
    assert served.total_bytes == used.total_bytes
    client.close()
    server.cancel()


async def test_a_peer_without_the_key_gets_no_answer_and_disturbs_nobody(
    free_address: Callable[[], str],
) -> None:
    address = free_address()
    traffic = Traffic()
    server = asyncio.create_task(
        ControlServer(address=address, key=KEY, traffic=traffic, handler=_echo).run()
    )
    stranger = ControlClient(key=OTHER, traffic=Traffic())
    member = ControlClient(key=KEY, traffic=Traffic())
    refused, answered = await asyncio.gather(
        stranger.request(address, Ack()), member.request(address, Ack())
    )
    assert isinstance(refused, Failure)
    assert answered.unwrap() == Ack()
    assert traffic.messages_rejected == 1
    stranger.close()
    member.close()
    server.cancel()


async def test_an_unreachable_peer_is_an_outcome(free_address: Callable[[], str]) -> None:
    client = ControlClient(key=KEY, traffic=Traffic())
    assert isinstance(await client.request(free_address(), Ack()), Failure)
    client.close()
