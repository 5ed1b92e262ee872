"""The simulator's wire: replies to batches, and errors that name the cause of malformed input."""

from __future__ import annotations

import io
import json
import subprocess
import sys

import pytest

from onyxhead.wirehost.codec import WireError
from onyxhead.wirehost.host import WireHost

SETTINGS = {
    "balancers": 1,
    "zone": 0,
    "zones": ["a", "b"],
    "discovery": "automatic",
    "unheard": {"of": 1},
    "bounds": {"probes": False},
    "extra": {
        "agents": 2,
        "classOwnZone": [False],
        "egressPerS": 900.0,
        "perMessage": 6.0,
        "mostWaiting": 1800.0,
        "pushDelayNs": 264000000,
        "lateMostNs": 660000000,
        "unservedMaxNs": 3100000000,
        "throttleBy": "ratio",
        "baseMode": 1,
        "tryFactor": 1.2,
        "cycleNs": 1000000000,
        "updateCap": 0,
        "messagesOverNs": 10000000000,
    },
    "guarantees": {
        "drainGraceNs": 2900000000,
        "coldFrom": 0.2,
        "coldNs": 15000000000,
        "overloadFactor": 3.0,
        "fallNs": 1500000000,
    },
    "report": {"fields": [], "via": "off"},
    "services": [{"aimNs": 75000000, "credit": 1.0, "deadlineNs": 250000000, "effect": "pure", "name": "s"}],
}
BEGIN_LINES = f"""SELECT 0
BEGIN 7 {json.dumps(SETTINGS)}
DEFINE_LIST 0 2
ROW backend_a 0 0 0 ready 1 -
ROW backend_b 1 0 0 ready 1.5 6100000000
PEERS_KNOWN remembered 41 0
"""


def batch(*lines: str, now: int = 8412250000) -> str:
    """Return the text of one batch; `now` is in nanoseconds."""
    return "\n".join([f"FRAME {now}", *lines, "OVER_TO_YOU", ""])


def replies(text: str) -> list[str]:
    """Return the reply to each batch of the text, without the line that ends it."""
    output = io.StringIO()
    WireHost(io.StringIO(text), output).run()
    return output.getvalue().split("END\n")[:-1]


def test_a_joining_proxy_is_assigned_a_table_and_asked_for_an_acknowledgement() -> None:
    started, joined = replies(batch(BEGIN_LINES.strip()) + batch("SELECT 0", "ATTACHED 41 0 6.5 1", now=8416250000))
    assert "PUT_LINE 0 backend_a 1\n" in started and "SET_TIMER 1 250000000\n" in started
    assert joined == "FROM 0\nPIN 41 0 0\nNONCE 0 1\n"


def test_a_rejected_discovery_request_needs_no_endpoint_list() -> None:
    assert len(replies(batch(BEGIN_LINES.strip(), "PEERS_KNOWN refused - -"))) == 1


def test_empty_batches_get_empty_replies() -> None:
    assert replies(batch() + batch()) == ["", ""]


def test_instances_are_independent_and_a_stopped_one_ignores_later_messages() -> None:
    both_started = BEGIN_LINES + BEGIN_LINES.replace("SELECT 0", "SELECT 1")
    later = batch("SELECT 1", "STOP", "FIRED 1", "SELECT 0", "FIRED 1", now=9412250000)
    answers = replies(batch(both_started.strip()) + later)
    assert answers[0].count("PUT_LINE") == 4 and answers[1].startswith("FROM 1\nFROM 0\n")


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        (["SELECT 0", "NEWS 1"], "unknown message"),
        (["SELECT"], "not a whole number"),
        ([BEGIN_LINES.strip(), "FIRED 1 2"], "takes 1 values"),
        ([BEGIN_LINES.strip(), "FIRED -"], "not a whole number"),
        ([BEGIN_LINES.strip(), "PEERS_KNOWN all 2 9"], "never defined"),
        ([BEGIN_LINES.strip(), "ATTACHED 1 0 nan 1"], "not a finite number"),
        ([BEGIN_LINES.strip(), "PEERS_KNOWN all 2 -"], "never defined"),
        (["SELECT 3", "FIRED 1"], "never begun"),
        (["DEFINE_LIST 0 1", "FIRED 1"], "expected ROW"),
        (["SELECT 0", "BEGIN 7 {}"], "settings: KeyError"),
        (["SELECT 0", "BEGIN 7 []"], "not an object"),
    ],
)
def test_malformed_input_is_rejected_with_its_cause(lines: list[str], cause: str) -> None:
    with pytest.raises(WireError, match=cause):
        replies(batch(*lines))


def test_malformed_input_ends_the_program_with_an_error_that_names_the_input_line() -> None:
    result = subprocess.run(
        [sys.executable, "-m", "onyxhead.wirehost"], input="FRAME x\n", capture_output=True, text=True
    )
    assert result.returncode == 2 and result.stdout == ""
    assert result.stderr == "line 1: 'x' is not a whole number\n"


def test_an_exception_in_the_policy_is_reported_in_the_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("onyxhead.policy.balancer.BalancingPolicy.on_proxy_left", lambda *_: 1 / 0)
    answers = replies(batch(BEGIN_LINES.strip(), "STREAM_DOWN 3"))
    assert "BUG ZeroDivisionError: division by zero" in answers[0]
