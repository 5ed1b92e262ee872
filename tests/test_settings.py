"""Evaluation of settings files, the positions and texts of diagnostics, includes, and the `check` command."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from onyxhead.cli.main import main
from onyxhead.configuration_language.loader import evaluate_files, load_files
from onyxhead.configuration_language.parser import parse
from onyxhead.configuration_language.terms import InvalidConfigurationError
from onyxhead.settings import load, model

SCHEMA = """
#Wait: duration & >=10ms & <=1m
#T: {
    name: string & =~"^[a-z]+$"
    wait: *2s | #Wait
    pace?: rate
    mode: *"soft" | "hard"
    parts: {[string]: {count: *1 | int & >0, big?: size}}
    zones: ["a" | "b", ...string]
    either: *{file: string} | {server: string, port: *80 | int}
    share: *0.5 | number & >0 & <1
}
"""


def evaluate(text: str) -> dict[str, Any]:
    return evaluate_files([parse(text, "f")], SCHEMA, "#T")


def diagnostics_of(text: str) -> list[str]:
    with pytest.raises(InvalidConfigurationError) as raised:
        evaluate(text)
    return [str(diagnostic) for diagnostic in raised.value.diagnostics]


VALID = 'name: "x", parts: {}, zones: ["a"], either: {file: "f"}\n'


def test_defaults_are_applied_and_units_are_converted() -> None:
    assert evaluate(VALID) == {
        "name": "x",
        "parts": {},
        "zones": ["a"],
        "either": {"file": "f"},
        "wait": 20_000,
        "mode": "soft",
        "share": 0.5,
    }
    for text, ticks in (("1500ms", 15_000), ("0.5s", 5000), ("1m", 600_000), ("100000us", 1000)):
        assert evaluate(f"{VALID} wait: {text}")["wait"] == ticks
    assert [evaluate(f"{VALID} pace: {text}")["pace"] for text in ("90/s", "120/min", "2/ms")] == [90.0, 2.0, 2000.0]


def test_references_are_resolved_and_repeated_fields_are_unified() -> None:
    text = f"""{VALID} // a comment
    #Big: {{big: 2MiB}}
    usual: 3s"""
    with pytest.raises(InvalidConfigurationError, match="unknown field 'usual'"):
        evaluate(text)
    values = evaluate(
        f'{VALID} #Big: {{big: 2MiB, ...}}, parts: {{one: #Big}}, parts: {{one: {{count: 3}}, "t-2": {{}}}}'
    )
    assert values["parts"] == {"one": {"big": 2097152, "count": 3}, "t-2": {"count": 1}}
    assert evaluate('#n: "x", name: #n, parts: {}, zones: ["b", "z"], either: {server: "s"}')["either"] == {
        "server": "s",
        "port": 80,
    }


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (f"{VALID}wait: 2", "f:2:7: wait: 2 is not 2s or a time such as 1500ms"),
        (f"{VALID}wait: 2h", "wait"),
        (f"{VALID}wait: 5ms", "wait"),
        (f"{VALID}pace: 3s", "f:2:7: pace: 3s where a rate such as 900/s is expected"),
        (f'{VALID}mode: "sott"', "did you mean 'soft'?"),
        (f"{VALID}moed: 1", "did you mean 'mode'?"),
        (f"{VALID}share: 1.5", "f:2:8: share"),
        (f'{VALID}name: "y"', 'name: "y" conflicts with "x" at f:1:7'),
        (f"{VALID}parts: 3", "cannot be combined with a record"),
        (f"{VALID}parts: {{a: {{count: 0}}}}", "count"),
        (f"{VALID}parts: {{a: {{coutn: 1}}}}", "unknown field 'coutn'; did you mean 'count'?"),
        (f"{VALID}mode: hard", "unknown name 'hard'"),
        (f"{VALID}a.b: 1", "unexpected '.'"),
        (VALID.replace('name: "x"', 'name: "X"'), "does not match"),
        (VALID.replace('name: "x", ', ""), "'name' is missing"),
        (VALID.replace('["a"]', "[]"), "zones"),
        (VALID.replace('["a"]', '["c"]'), 'zones: "c" is not'),
        (f'{VALID}name: "unended', "string is not closed on its line"),
        (f"{VALID}parts: {{", "unexpected end of file"),
        (f"{VALID}wait: 0.00001s", "not a whole number of tenths"),
        ("\x00", "unexpected '\\x00'"),
        (f"{VALID}#a: #b, #b: #a, wait: #a", "the value refers to itself"),
        ("a: " + "[" * 500, "nested more than"),
        (f'{VALID}mode: *"soft" | *"hard"', "more than one default"),
        (f'{VALID}name: =~"("', "invalid regular expression"),
    ],
)
def test_diagnostics_state_the_position_and_what_was_expected(text: str, expected: str) -> None:
    diagnostics = diagnostics_of(text)
    assert any(expected in diagnostic for diagnostic in diagnostics), diagnostics
    assert all(diagnostic.startswith("f:") for diagnostic in diagnostics)


def test_all_errors_of_a_file_are_reported_at_once() -> None:
    assert len(diagnostics_of(f"{VALID}wait: 2\nshare: 7\nmoed: 1\nparts: {{a: {{count: -1}}}}")) == 4


def test_includes_are_read_once_and_circular_or_unreadable_ones_are_reported(tmp_path: Path) -> None:
    (tmp_path / "a.rec").write_text('include "b.rec"\ninclude "c.rec"\nname: "x"\n')
    (tmp_path / "b.rec").write_text('include "c.rec"\nparts: {}\n')
    (tmp_path / "c.rec").write_text('zones: ["a"], either: {file: "f"}\n')
    assert evaluate_files(load_files(tmp_path / "a.rec"), SCHEMA, "#T")["zones"] == ["a"]
    (tmp_path / "c.rec").write_text('include "a.rec"\n')
    with pytest.raises(
        InvalidConfigurationError, match=r"c.rec:1:9: circular include: a.rec -> b.rec -> c.rec -> a.rec"
    ):
        load_files(tmp_path / "a.rec")
    (tmp_path / "c.rec").write_text('include "none.rec"\n')
    with pytest.raises(InvalidConfigurationError, match=r"c.rec:1:9: cannot read"):
        load_files(tmp_path / "a.rec")
    (tmp_path / "c.rec").write_bytes(b"a: 1\n\xff")
    with pytest.raises(InvalidConfigurationError, match=r"c.rec:2:1: not UTF-8"):
        load_files(tmp_path / "a.rec")


CONTROLLER = """name: "c1", zone: "n", zones: ["n", "s"], listen: "127.0.0.1:70", state: "s"
groups: {r: {prefix: "/r", latency_budget: 1s, expiry: 2s, repeats: "retriable"}}
discovery: {file: "l"}
"""


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('zone: "n"', 'zone: "x"', ":1:13: zone 'x' is not one of zones"),
        ("expiry: 2s", "expiry: 0.5s", ":2:28: latency_budget of r is longer than its expiry"),
        ('"retriable"', '"deduped"', "needs a dedup_window"),
        ('"127.0.0.1:70"', '"127.0.0.1:99999"', ":1:43: "),
        ("expiry: 2s", 'expiry: 2s, zones: ["q"]', "zone 'q' of r"),
        ("groups: {r: {", "groups: {}, #g: {r: {", "no traffic"),
        ('{file: "l"}', '{fiel: "l"}', "unknown field 'fiel'"),
        ("discovery", "channel: {head: 900, most_waiting: 99}\ndiscovery", "most_waiting is too small"),
    ],
)
def test_contradictory_settings_are_rejected(tmp_path: Path, old: str, new: str, expected: str) -> None:
    path = tmp_path / "c.rec"
    path.write_text(CONTROLLER)
    assert isinstance(load.read_settings(path), model.ControllerSettings)
    path.write_text(CONTROLLER.replace(old, new))
    with pytest.raises(InvalidConfigurationError, match=expected.replace("(", r"\(")):
        load.read_settings(path)


def test_check_reports_the_errors_of_all_files_and_exits_with_2(tmp_path: Path) -> None:
    valid, invalid = tmp_path / "good.rec", tmp_path / "bad.rec"
    valid.write_text(CONTROLLER)
    invalid.write_text(CONTROLLER.replace("state", "sate"))
    result = CliRunner().invoke(main, ["check", str(valid)])
    assert (result.exit_code, result.output) == (0, "1 sound\n")
    result = CliRunner().invoke(main, ["check", str(valid), str(invalid), str(tmp_path / "none")])
    assert result.exit_code == 2 and "did you mean 'state'" in result.output and "cannot read" in result.output
    assert CliRunner().invoke(main, ["serve", str(invalid)]).exit_code == 2
