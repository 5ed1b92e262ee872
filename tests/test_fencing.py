"""Fencing tokens: an agent between controllers that each believe they lead it."""

from __future__ import annotations

from typing import Any, NamedTuple

import pytest

from onyxhead.fleet.errors import StaleTokenError
from onyxhead.fleet.fencing import MAX_TOKEN, FencingTokenGuard, next_token


class World(NamedTuple):
    """The state of a small configuration of controllers and one agent."""

    current: int
    stream: int
    offers: tuple[tuple[int, int], ...]
    believed: tuple[int, ...]
    in_flight: tuple[tuple[int, int], ...]
    joins: int
    updates: int


def transitions(world: World, check: Any = FencingTokenGuard.check) -> list[tuple[World, tuple[int, int] | None]]:
    """What may happen next, and the (controller, token) whose update took effect, if one did."""
    found: list[tuple[World, tuple[int, int] | None]] = []
    for who in range(len(world.believed)):
        if world.joins:
            # The agent asks; the controller offers a token above the one told. The answer may be lost or late.
            offer = (who, next_token(world.current))
            found.append((world._replace(offers=(*world.offers, offer), joins=world.joins - 1), None))
        if world.believed[who] and world.updates:
            found.append(
                (
                    world._replace(in_flight=(*world.in_flight, (who, world.believed[who])), updates=world.updates - 1),
                    None,
                )
            )
    for place, (who, token) in enumerate(world.offers):
        rest = world.offers[:place] + world.offers[place + 1 :]
        believed = tuple(token if n == who else t for n, t in enumerate(world.believed))
        guard = FencingTokenGuard(world.current)
        found.append(
            (world._replace(offers=rest, believed=believed), None)
        )  # the answer is lost: only the controller believes it
        try:
            guard.advance(token)
        except StaleTokenError:
            continue
        found.append((world._replace(offers=rest, believed=believed, current=guard.current, stream=who), None))
    for place, (who, token) in enumerate(world.in_flight):
        rest = world.in_flight[:place] + world.in_flight[place + 1 :]
        found.append((world._replace(in_flight=rest), None))
        guard = FencingTokenGuard(world.current)
        try:
            check(guard, token)
            # Two offers of one token may be out; the stream's own name tells them apart, as on the wire.
            if who == world.stream:
                found.append((world._replace(in_flight=rest), (who, token)))
        except StaleTokenError:
            pass
    return found


def explore(check: Any = FencingTokenGuard.check) -> tuple[int, list[str]]:
    """Every reachable state of two controllers and an agent with three joins and three updates in flight."""
    first = World(0, -1, (), (0, 0), (), 3, 3)
    seen, stack, broken = {first}, [first], list[str]()
    while stack:
        world = stack.pop()
        for after, effect in transitions(world, check):
            if effect is not None and effect != (world.stream, world.current):
                broken.append(f"{effect} took effect while {(world.stream, world.current)} current")
            if after.current < world.current:
                broken.append("the token fell")
            if after not in seen:
                seen.add(after)
                stack.append(after)
    return len(seen), broken


def test_in_every_reachable_state_only_updates_of_the_newest_controller_take_effect() -> None:
    count, broken = explore()
    assert count > 3_000 and not broken


def test_a_guard_that_lets_older_updates_through_is_found() -> None:
    def weak_check(guard: FencingTokenGuard, token: int) -> None:
        if token < guard.current - 1:
            raise StaleTokenError("", guard.current)

    assert explore(weak_check)[1]


def test_no_token_follows_the_last_one() -> None:
    assert next_token(MAX_TOKEN - 1) == MAX_TOKEN
    with pytest.raises(StaleTokenError, match="used up"):
        next_token(MAX_TOKEN)
    guard = FencingTokenGuard(5)
    for token in (5, 4, MAX_TOKEN + 1):
        with pytest.raises(StaleTokenError) as caught:
            guard.advance(token)
        assert caught.value.current == 5
