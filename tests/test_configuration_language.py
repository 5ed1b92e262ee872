"""Tools for the configuration language: formatter, differences, JSON Schema, and the diagnostics of invalid files."""

from __future__ import annotations

import json
import random
import re
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxhead.cli.main import main
from onyxhead.configuration_language.evaluator import PlainRecord
from onyxhead.configuration_language.formatter import format_text, tokens
from onyxhead.configuration_language.json_schema import json_schema as json_schema
from onyxhead.configuration_language.loader import evaluate_files, load_files
from onyxhead.configuration_language.parser import parse
from onyxhead.configuration_language.terms import InvalidConfigurationError
from onyxhead.settings import load

VALID = """
name: "c1", zone: "north", zones: ["north", "south"], listen: "127.0.0.1:7000", state: "state"
groups: {
    read: {prefix: "/r", latency_budget: 500ms, expiry: 1s, repeats: "retriable"}
    write: {prefix: "/w", latency_budget: 700ms, expiry: 2s, repeats: "deduped", dedup_window: 3s}
}
channel: {pace: 900/s, most_waiting: 2000}
guards: {drain_grace: 2s, cold_time: 15s}
discovery: {file: "list.json"}
"""


def write_file(directory: Path, text: str, name: str = "a.rec") -> Path:
    path = directory / name
    path.write_text(text, encoding="utf-8")
    return path


def run_command(*args: object) -> tuple[int, str]:
    result = CliRunner().invoke(main, [str(argument) for argument in args])
    return result.exit_code, result.output


# Formatter


def test_fmt_formats_a_file_and_keeps_its_comments(tmp_path: Path) -> None:
    path = write_file(
        tmp_path,
        '// top\n\n\nname : "c1" ,zone:"n"   // beside\ngroups:{\n a:{x:1,y:>=2&<=3}\n\n\n\n  // inside\n b  : *1|int\n   row:[ 1,2 ,...string ]\n}\n',
    )
    assert run_command("fmt", path) == (0, f"{path}: laid out\n")
    assert path.read_text() == (
        '// top\n\nname: "c1", zone: "n"  // beside\ngroups: {\n    a: {x: 1, y: >=2 & <=3}\n\n    // inside\n    b: *1 | int\n    row: [1, 2, ...string]\n}\n'
    )
    assert run_command("fmt", path) == (0, "") and run_command("fmt", "--check", path)[0] == 0
    invalid = write_file(tmp_path, "a: {", "bad.rec")
    exit_code, output = run_command("fmt", invalid, path)
    assert exit_code == 2 and "bad.rec:1:" in output and invalid.read_text() == "a: {"
    assert run_command("fmt", "--check", write_file(tmp_path, "a:1", "odd.rec"))[0] == 1


names = st.from_regex(r"[a-z][a-z0-9_]{0,5}", fullmatch=True).filter(
    lambda name: not name.startswith(("true", "false", "include"))
)
scalars = st.sampled_from(
    [
        "1",
        "-5",
        "1.5",
        "2e3",
        "500ms",
        "900/s",
        "4KiB",
        "true",
        '"a // b"',
        '"q\\"{"',
        '">="',
        "string",
        "#D",
        "x.y",
        ">=1 & <=5",
        '=~"^a[:]"',
    ]
)
values = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3).map(lambda items: "[" + " , ".join(items) + "]"),
        st.dictionaries(names, inner, max_size=3).map(
            lambda members: "{" + "\n".join(f"{name}:{value}" for name, value in members.items()) + "}"
        ),
        st.tuples(inner, inner).map(lambda choices: f"*{choices[0]}|({choices[1]})"),
    ),
    max_leaves=8,
)
spaces = st.sampled_from([" ", "\n", "\n\n\n", "\t", "  // note\n", "\r\n"])


@given(
    st.dictionaries(names, values, max_size=4),
    st.lists(spaces, min_size=40, max_size=40),
    st.randoms(use_true_random=False),
)
@settings(max_examples=300, deadline=None)
def test_formatting_keeps_the_meaning_and_is_idempotent(
    members: dict[str, str], separators: list[str], rng: random.Random
) -> None:
    text = "".join(
        f"{name} :{value}{rng.choice(separators) if rng.random() < 0.9 else ','}\n" for name, value in members.items()
    )
    text = re.sub(r"(?<=[{\[,])(?![^\n]*\")", lambda _: rng.choice(["", " ", "\n"]), text)
    try:
        before = parse(text, "a")
    except InvalidConfigurationError:
        return
    formatted = format_text(text)
    assert without_positions(parse(formatted, "a")) == without_positions(before) and format_text(formatted) == formatted
    assert [token for token in tokens(formatted) if token.startswith("//")] == [
        token for token in tokens(text) if token.startswith("//")
    ]


def without_positions(term: Any) -> Any:
    """Return the representation of a tree without source positions."""
    return re.sub(r"SourcePosition\(file='a', line=\d+, column=\d+\)", "", repr(term))


def test_formatting_the_schema_and_valid_settings_keeps_their_meaning() -> None:
    for text in (load.schema(), VALID):
        assert without_positions(parse(format_text(text), "a")) == without_positions(parse(text, "a"))


# Differences


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("drain_grace: 2s", "drain_grace: 1500ms", "guards drain grace: 2 s -> 1.5 s  (rule 3)"),
        ("drain_grace: 2s", "drain_grace: 2000ms", ""),
        ("pace: 900/s", "pace: 54000/m", ""),
        ("pace: 900/s", "pace: 800/s", "channel pace: 900/s -> 800/s  (rule 3, 5)"),
        (
            'repeats: "retriable"',
            'repeats: "non-retriable"',
            "groups read repeats: retriable -> non-retriable  (rule 2)",
        ),
        ('["north", "south"]', '["north", "south", "east"]', "zones gains east  (rule 1)"),
        ("cold_time: 15s", "", ""),
        ("cold_time: 15s", "cold_time: 20s", "guards cold time: 15 s -> 20 s  (rule 4)"),
        ("most_waiting: 2000", "most_waiting: 1999", "channel most waiting: 2000 -> 1999  (rule 5)"),
        ("latency_budget: 500ms", "latency_budget: 400ms", "groups read latency budget: 500 ms -> 400 ms"),
        (
            '    write: {prefix: "/w", latency_budget: 700ms, expiry: 2s, repeats: "deduped", dedup_window: 3s}',
            "",
            "groups loses write",
        ),
    ],
)
def test_diff_reports_differences_with_the_rules_they_affect(tmp_path: Path, old: str, new: str, expected: str) -> None:
    assert old in VALID
    before, after = (
        write_file(tmp_path, VALID),
        write_file(tmp_path, "// a comment\n" + VALID.replace(old, new), "b.rec"),
    )
    assert run_command("diff", before, after) == ((1, expected + "\n") if expected else (0, ""))


def test_diff_of_routing_files_and_of_files_of_different_kinds(tmp_path: Path) -> None:
    text = 'pools: {reads: {servers: [{address: "a:1"}, {address: "b:2", weight: 3}]}}\nhosts: [{names: ["x"], locations: [{pattern: "/", target: {pool: "reads"}}]}]'
    before = write_file(tmp_path, text)
    after = write_file(
        tmp_path,
        text.replace(', {address: "b:2", weight: 3}', "").replace('address: "a:1"', 'address: "a:1", slow_start: 30s'),
        "b.rec",
    )
    exit_code, output = run_command("diff", before, after)
    assert (
        exit_code == 1
        and "pools reads servers loses b:2  (rule 1)" in output
        and "pools reads servers a:1 slow start: 0 ms -> 30 s  (rule 1, 4)" in output
    )
    reordered = write_file(
        tmp_path,
        text.replace('{address: "a:1"}, {address: "b:2", weight: 3}', '{address: "b:2", weight: 3}, {address: "a:1"}'),
        "c.rec",
    )
    assert "in another order" in run_command("diff", before, reordered)[1]
    assert (
        run_command("diff", before, write_file(tmp_path, VALID, "d.rec"))[0] == 2
        and run_command("diff", before, write_file(tmp_path, "a: [", "e.rec"))[0] == 2
    )
    assert json.loads(run_command("diff", before, after, "--json")[1])


# JSON Schema


def test_json_schema_expresses_the_definitions() -> None:
    schema = json_schema(load.schema(), "#Controller")
    controller, guards, channel = schema["$defs"]["Controller"], schema["$defs"]["Guards"], schema["$defs"]["Channel"]
    assert controller["additionalProperties"] is False and {"name", "zone", "zones", "listen", "state"} <= set(
        controller["required"]
    )
    assert controller["properties"]["controllers"] == {"type": "integer", "minimum": 1, "maximum": 64, "default": 1}
    assert controller["properties"]["throttle"] == {"enum": ["share", "rate", "off"], "default": "share"}
    assert guards["properties"]["drain_grace"]["default"] == "2s" and re.fullmatch(
        guards["properties"]["drain_grace"]["pattern"], "1500ms"
    )
    assert (
        re.fullmatch(channel["properties"]["pace"]["pattern"], "900/s")
        and len(schema["$defs"]["Discovery"]["anyOf"]) == 2
    )
    assert controller["properties"]["zones"]["minItems"] == 1 and controller["properties"]["groups"][
        "additionalProperties"
    ] == {"$ref": "#/$defs/Group"}
    referenced = set(re.findall(r'"#/\$defs/(\w+)"', json.dumps(schema)))
    assert referenced <= set(schema["$defs"])
    for kind in ("controller", "agent", "operators", "routing"):
        exit_code, output = run_command("schema", kind)
        assert exit_code == 0 and json.loads(output)["$ref"].endswith(kind.capitalize())


# Invalid files


def as_plain_dict(value: Any) -> Any:
    return {name: as_plain_dict(item) for name, item in value.items()} if isinstance(value, dict) else value


def evaluate_controller(directory: Path, text: str) -> PlainRecord:
    return evaluate_files(load_files(write_file(directory, text, "m.rec")), load.schema(), "#Controller")


INVALID_EDITS = [
    ('name: "c1"', 'nam: "c1"', "unknown field 'nam'; did you mean 'name'?"),
    ('zone: "north"', "zone: 5", "zone"),
    ("500ms", "500", "latency_budget"),
    ("500ms", "500/s", "latency_budget"),
    ("900/s", "900ms", "pace"),
    ("900/s", '"900"', "pace"),
    ("2000", "2000.5", "most_waiting"),
    ("2000", "5", "most_waiting"),
    ('"retriable"', '"retryable"', "did you mean 'retriable'?"),
    ('prefix: "/r"', 'prefix: "r"', "prefix"),
    ("drain_grace: 2s", "drain_grace: 1ms", "drain_grace"),
    ("groups: {", "groups: [", "unexpected"),
    ("}\nchannel", "\nchannel", "unexpected"),
    ('"127.0.0.1:7000"', '"127.0.0.1"', "listen"),
    ("cold_time: 15s", "cold_time: 15s, cold_time: 16s", "cold_time"),
    (", expiry: 1s", "", "expiry"),
    ('zones: ["north", "south"]', "zones: []", "zones"),
    ("latency_budget", "latency_buget", "latency_budget"),
    ("15s}", "15s, wat: true}", "unknown field 'wat'"),
    ('state: "state"', "state: state", "refers to itself"),
    ("file:", "fil:", "fil"),
    ('{file: "list.json"}', "{}", "discovery"),
    ("2s, cold", "2 s, cold", "unexpected"),
    ('"north", zones', '"north\n, zones', "not closed on its line"),
    ('"c1"', "'c1'", "unexpected"),
    ("guards:", "guards.x:", "unexpected"),
    ("expiry: 2s", "expiry: 2h", "expiry"),
    ("most_waiting: 2000", "most_waiting: two", "two"),
    ("pace: 900/s", "pace: -1/s", "pace"),
    ('"north", "south"', '"north", 7', "zones"),
]


@pytest.mark.parametrize(("old", "new", "expected"), INVALID_EDITS, ids=range(len(INVALID_EDITS)))
def test_check_reports_an_error_with_its_position_and_a_suggestion(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    assert old in VALID
    path = write_file(tmp_path, VALID.replace(old, new, 1))
    exit_code, output = run_command("check", path)
    lines = [line for line in output.splitlines() if expected in line]
    assert exit_code == 2 and lines and re.match(rf"{re.escape(str(path))}:\d+:\d+: ", lines[0]), output


def test_check_reports_all_errors_of_a_file_at_once(tmp_path: Path) -> None:
    invalid = (
        VALID.replace('name: "c1"', 'nam: "c1"')
        .replace("900/s", "900ms")
        .replace('"retriable"', '"retryable"')
        .replace("15s", "15")
    )
    exit_code, output = run_command("check", write_file(tmp_path, invalid))
    assert exit_code == 2 and len({line.split(": ")[0] for line in output.splitlines()}) >= 4


@pytest.mark.parametrize("seed", range(170))
def test_a_mutated_file_is_valid_or_reported_with_a_position(tmp_path: Path, seed: int) -> None:
    rng = random.Random(seed)
    text = VALID
    for _ in range(rng.randint(1, 3)):
        index = rng.randrange(len(text))
        match rng.randrange(4):
            case 0:
                text = text[:index] + text[index + rng.randint(1, 6) :]
            case 1:
                text = text[:index] + rng.choice('{}[]:,"|&*<>=~.?#/ \n5ax') + text[index:]
            case 2:
                copied = rng.randrange(len(text))
                text = text[:index] + text[copied : copied + 8] + text[index:]
            case 3:
                lines = text.splitlines()
                rng.shuffle(lines)
                text = "\n".join(lines)
    try:
        record = evaluate_controller(tmp_path, text)
    except InvalidConfigurationError as error:
        assert error.diagnostics and all(
            diagnostic.position.line >= 1 and diagnostic.text and "Traceback" not in diagnostic.text
            for diagnostic in error.diagnostics
        )
        assert all(diagnostic.position.file.endswith("m.rec") for diagnostic in error.diagnostics), error.diagnostics
    else:
        assert as_plain_dict(evaluate_controller(tmp_path, format_text(text))) == as_plain_dict(record)


def test_a_conflict_across_includes_is_reported_with_both_positions(tmp_path: Path) -> None:
    write_file(tmp_path, "guards: {drain_grace: 3s}", "c.rec")
    write_file(tmp_path, 'include "c.rec"\nguards: {cold_time: 15s}', "b.rec")
    write_file(tmp_path, 'include "b.rec"', "a.rec")
    exit_code, output = run_command("check", write_file(tmp_path, 'include "a.rec"' + VALID, "top.rec"))
    assert exit_code == 2 and "top.rec:" in output and "c.rec:1:" in output


@pytest.mark.parametrize("change", ["rewritten", "replaced", "removed"])
def test_a_file_that_changes_while_its_includes_are_read_is_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, change: str
) -> None:
    import onyxhead.configuration_language.loader as loader_module

    write_file(tmp_path, "guards: {cold_time: 16s}", "in.rec")
    top = write_file(tmp_path, 'include "in.rec"' + VALID.replace(", cold_time: 15s", ""))
    assert run_command("check", top)[0] == 0
    real_parse = loader_module.parse

    def change_top_then_parse(text: str, file: str) -> Any:
        if file.endswith("in.rec"):
            if change == "rewritten":
                top.write_text(VALID + "// more\n")
            elif change == "replaced":
                write_file(tmp_path, top.read_text(), "b.rec").replace(top)
            else:
                top.unlink()
        return real_parse(text, file)

    monkeypatch.setattr(loader_module, "parse", change_top_then_parse)
    exit_code, output = run_command("check", top)
    assert exit_code == 2 and f"{top}:1:1: changed while it was read" in output
