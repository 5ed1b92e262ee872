"""Selection of the controller that an agent connects to next."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from onyxhead.fleet.controller_selector import ControllerSelector


def test_an_agent_follows_redirections_and_insists_when_all_redirect_it() -> None:
    selector = ControllerSelector(3)
    assert selector.next_attempt() == (0, False, 0.0)
    selector.on_redirected("c0", "c2")
    assert selector.next_attempt().position == 1
    selector.on_redirected("c1", "c0")
    assert selector.next_attempt().position == 0
    selector.on_redirected("c0", "c1")
    assert selector.next_attempt().insist
    selector.on_accepted("c0")
    selector.on_disconnected()
    assert selector.next_attempt() == (0, False, 0.0)


@pytest.mark.parametrize("answers", list(itertools.product(("failed", "redirected"), repeat=4)))
def test_an_agent_tries_every_controller_before_it_insists_and_always_insists_eventually(answers: Any) -> None:
    selector, tried = ControllerSelector(4), list[int]()
    for step in range(40):
        attempt = selector.next_attempt()
        if attempt.insist:
            break
        tried.append(attempt.position)
        if answers[step % 4] == "failed":
            selector.on_failed()
        else:
            selector.on_redirected(f"c{attempt.position}", f"c{(attempt.position + 1) % 4}")
    assert selector.next_attempt().insist and set(tried) == {0, 1, 2, 3}
