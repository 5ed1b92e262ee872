"""Fencing tokens: controllers that each believe that they own an agent's proxy."""

from __future__ import annotations

from typing import Any, NamedTuple

import pytest

from onyxhead.fleet.errors import StaleTokenError
from onyxhead.fleet.fencing import MAX_TOKEN, FencingTokenGuard, next_token


class SystemState(NamedTuple):
    """The state of some controllers and one agent.

    `current` is the agent's token and `stream` the controller that it follows. `offers` holds the joins whose answer is
    in flight, and `in_flight` the updates, each as (controller, token). `believed` gives the token under which each
    controller believes that it owns the proxy, 0 for none. `joins` and `updates` say how many may still be sent.
    """

    current: int
    stream: int
    offers: tuple[tuple[int, int], ...]
    believed: tuple[int, ...]
    in_flight: tuple[tuple[int, int], ...]
    joins: int
    updates: int


def transitions(
    state: SystemState, check: Any = FencingTokenGuard.check
) -> list[tuple[SystemState, tuple[int, int] | None]]:
    """Return all next states, each with the (controller, token) whose update took effect, if one did."""
    successors: list[tuple[SystemState, tuple[int, int] | None]] = []
    for controller in range(len(state.believed)):
        if state.joins:
            # The agent joins, and the controller offers a token above the agent's. The answer may be lost or late.
            offer = (controller, next_token(state.current))
            successors.append((state._replace(offers=(*state.offers, offer), joins=state.joins - 1), None))
        if state.believed[controller] and state.updates:
            successors.append(
                (
                    state._replace(
                        in_flight=(*state.in_flight, (controller, state.believed[controller])),
                        updates=state.updates - 1,
                    ),
                    None,
                )
            )
    for index, (controller, token) in enumerate(state.offers):
        rest = state.offers[:index] + state.offers[index + 1 :]
        believed = tuple(token if n == controller else held for n, held in enumerate(state.believed))
        guard = FencingTokenGuard(state.current)
        # The answer is lost: only the controller believes that the join succeeded.
        successors.append((state._replace(offers=rest, believed=believed), None))
        try:
            guard.advance(token)
        except StaleTokenError:
            continue
        successors.append(
            (state._replace(offers=rest, believed=believed, current=guard.current, stream=controller), None)
        )
    for index, (controller, token) in enumerate(state.in_flight):
        rest = state.in_flight[:index] + state.in_flight[index + 1 :]
        successors.append((state._replace(in_flight=rest), None))
        guard = FencingTokenGuard(state.current)
        try:
            check(guard, token)
            # Two controllers may offer the same token; the name of the stream distinguishes them, as on the wire.
            if controller == state.stream:
                successors.append((state._replace(in_flight=rest), (controller, token)))
        except StaleTokenError:
            pass
    return successors


def explore(check: Any = FencingTokenGuard.check) -> tuple[int, list[str]]:
    """Visit every reachable state of two controllers and an agent with three joins and three updates.

    Return the number of states, and a description of each violated invariant.
    """
    initial = SystemState(0, -1, (), (0, 0), (), 3, 3)
    seen, stack, violations = {initial}, [initial], list[str]()
    while stack:
        state = stack.pop()
        for after, effect in transitions(state, check):
            if effect is not None and effect != (state.stream, state.current):
                violations.append(f"{effect} took effect while {(state.stream, state.current)} was current")
            if after.current < state.current:
                violations.append("the token decreased")
            if after not in seen:
                seen.add(after)
                stack.append(after)
    return len(seen), violations


def test_in_every_reachable_state_only_updates_of_the_newest_controller_take_effect() -> None:
    count, violations = explore()
    assert count > 3_000 and not violations


def test_the_exploration_detects_a_guard_that_accepts_older_tokens() -> None:
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
        with pytest.raises(StaleTokenError) as error:
            guard.advance(token)
        assert error.value.current == 5
