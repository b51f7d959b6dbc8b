"""Placement policies on named loads: what callers get."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
import pytest

from cornellead.gateway.forwarding import _server_picker
from cornellead_emulator.experiments import LOADS
from cornellead_emulator.experiments import Result
from cornellead_emulator.experiments import draw_plots
from cornellead_emulator.experiments import run_load
from cornellead_emulator.experiments import write_table
from cornellead_emulator.routing import FleetSettings
from cornellead_emulator.traffic import USERS_CLASSES

if TYPE_CHECKING:
    from pathlib import Path

SECONDS = 30.0


def _play(load: str, policy: str, *, routers: int = 5, seed: int = 1) -> Result:
    return run_load(
        load,
        LOADS[load],
        policy=policy,
        settings=FleetSettings().with_routers(routers),
        classes=USERS_CLASSES,
        seconds=SECONDS,
        seed=seed,
    )


def test_same_seed_gives_the_same_result() -> None:
    """Guards against experiments that cannot be repeated."""
    assert _play("release", "gateway") == _play("release", "gateway")
    assert _play("release", "gateway") != _play("release", "gateway", seed=2)


@pytest.mark.parametrize("load", ["calm", "surge", "hot_chat", "crash", "release", "return"])
def test_returning_chats_find_their_prompts(load: str) -> None:
    """Guards against placement that has most prompts read again, or misses the latency target."""
    gateway, random = _play(load, "gateway"), _play(load, "random")
    assert gateway.reread_per_request < 0.3 * random.reread_per_request
    assert gateway.first_token_p95_ms < random.first_token_p95_ms
    assert gateway.first_token_p95_ms <= 630.0
    assert gateway.in_aim >= 0.99


@pytest.mark.parametrize("load", ["calm", "hot_chat", "overload", "unheard"])
def test_servers_stay_within_the_allowed_load(load: str) -> None:
    """Guards against a bound that popular chats break: rules allow 3 in 100 requests above it."""
    assert _play(load, "gateway").over_bound <= 0.03


def _play_popular_chat(
    *, routers: int, servers: int, rates_per_s: tuple[float, ...], sessions: int
) -> Result:
    return run_load(
        "hot_chat",
        LOADS["hot_chat"],
        policy="gateway",
        settings=msgspec.structs.replace(FleetSettings(), servers=servers, routers=routers),
        classes=[
            msgspec.structs.replace(kind, per_s=rate, sessions=sessions * kind.sessions)
            for kind, rate in zip(USERS_CLASSES, rates_per_s, strict=True)
        ],
        seconds=26.0,
        seed=1,
    )


@pytest.mark.parametrize("routers", [5, 20])
def test_popular_chat_before_many_servers_keeps_the_bound(routers: int) -> None:
    """Load: 260 requests a second of one chat, more than a router hears of between two reports.
    Guards against servers that are above the allowed load in over 3 of 100 requests."""
    rates = (30.5, 40.0, 130.0)
    result = _play_popular_chat(routers=routers, servers=20, rates_per_s=rates, sessions=3)
    assert result.over_bound <= 0.03


def test_popular_chat_before_hundreds_of_routers_keeps_the_bound() -> None:
    """Load: the same with 300 routers, of which each hears eight. Guards against a bound that only
    holds in small fleets."""
    rates = (91.5, 119.0, 129.0)
    result = _play_popular_chat(routers=300, servers=60, rates_per_s=rates, sessions=10)
    assert result.over_bound <= 0.03


@pytest.mark.parametrize("load", ["overload", "impatient"])
def test_fewer_callers_wait_in_vain_in_an_overload(
    load: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that wait for a place until their deadline has passed."""
    bounded = _play(load, "gateway")
    monkeypatch.setattr(_server_picker, "MAX_WAIT_SHARE", math.inf)
    patient = _play(load, "gateway")
    assert _in_vain(bounded) < 0.8 * _in_vain(patient)
    assert bounded.finished >= patient.finished
    assert bounded.in_aim >= patient.in_aim


def _in_vain(result: Result) -> float:
    return 1.0 - result.finished - result.refused


@pytest.mark.parametrize("routers", [1, 20, 60])
def test_more_routers_serve_as_well(routers: int) -> None:
    """Guards against placement that gets worse as routers see less of each other."""
    result = _play("hot_chat", "gateway", routers=routers)
    assert result.in_aim >= 0.99
    assert result.over_bound <= 0.03


def test_report_has_every_run(tmp_path: Path) -> None:
    """Guards against tables and plots that leave results out."""
    results = [_play("calm", policy) for policy in ("random", "gateway")]
    table = write_table(results, tmp_path)
    assert table.read_text().count("| calm |") == 2
    assert (tmp_path / "results.csv").read_text().count("calm") == 2
    assert all(path.stat().st_size > 1000 for path in draw_plots(results, tmp_path))
