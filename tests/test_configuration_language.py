"""Tools of the language: an even layout that changes no meaning, changes of meaning told, JSON Schema, and faulty files."""

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

GOOD = """
name: "c1", zone: "north", zones: ["north", "south"], listen: "127.0.0.1:7000", state: "state"
groups: {
    read: {prefix: "/r", latency_budget: 500ms, expiry: 1s, repeats: "retriable"}
    write: {prefix: "/w", latency_budget: 700ms, expiry: 2s, repeats: "deduped", dedup_window: 3s}
}
channel: {pace: 900/s, most_waiting: 2000}
guards: {drain_grace: 2s, cold_time: 15s}
discovery: {file: "list.json"}
"""


def written(folder: Path, text: str, name: str = "a.rec") -> Path:
    path = folder / name
    path.write_text(text, encoding="utf-8")
    return path


def run(*args: object) -> tuple[int, str]:
    done = CliRunner().invoke(main, [str(each) for each in args])
    return done.exit_code, done.output


# Layout


def test_a_file_is_laid_out_with_its_comments(tmp_path: Path) -> None:
    path = written(
        tmp_path,
        '// top\n\n\nname : "c1" ,zone:"n"   // beside\ngroups:{\n a:{x:1,y:>=2&<=3}\n\n\n\n  // inside\n b  : *1|int\n   row:[ 1,2 ,...string ]\n}\n',
    )
    assert run("fmt", path) == (0, f"{path}: laid out\n")
    assert path.read_text() == (
        '// top\n\nname: "c1", zone: "n"  // beside\ngroups: {\n    a: {x: 1, y: >=2 & <=3}\n\n    // inside\n    b: *1 | int\n    row: [1, 2, ...string]\n}\n'
    )
    assert run("fmt", path) == (0, "") and run("fmt", "--check", path)[0] == 0
    bad = written(tmp_path, "a: {", "bad.rec")
    code, told = run("fmt", bad, path)
    assert code == 2 and "bad.rec:1:" in told and bad.read_text() == "a: {"
    assert run("fmt", "--check", written(tmp_path, "a:1", "odd.rec"))[0] == 1


names = st.from_regex(r"[a-z][a-z0-9_]{0,5}", fullmatch=True).filter(
    lambda each: not each.startswith(("true", "false", "include"))
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
        st.lists(inner, max_size=3).map(lambda each: "[" + " , ".join(each) + "]"),
        st.dictionaries(names, inner, max_size=3).map(
            lambda each: "{" + "\n".join(f"{k}:{v}" for k, v in each.items()) + "}"
        ),
        st.tuples(inner, inner).map(lambda each: f"*{each[0]}|({each[1]})"),
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
def test_laying_out_changes_no_meaning_and_is_done_once(
    members: dict[str, str], gaps: list[str], chance: random.Random
) -> None:
    text = "".join(
        f"{name} :{value}{chance.choice(gaps) if chance.random() < 0.9 else ','}\n" for name, value in members.items()
    )
    text = re.sub(r"(?<=[{\[,])(?![^\n]*\")", lambda _: chance.choice(["", " ", "\n"]), text)
    try:
        before = parse(text, "a")
    except InvalidConfigurationError:
        return
    made = format_text(text)
    assert stripped(parse(made, "a")) == stripped(before) and format_text(made) == made
    assert [word for word in tokens(made) if word.startswith("//")] == [
        word for word in tokens(text) if word.startswith("//")
    ]


def stripped(term: Any) -> Any:
    """A tree without its places."""
    return re.sub(r"SourcePosition\(file='a', line=\d+, column=\d+\)", "", repr(term))


def test_the_built_in_definitions_and_real_settings_keep_their_meaning() -> None:
    for text in (load.schema(), GOOD):
        assert stripped(parse(format_text(text), "a")) == stripped(parse(text, "a"))


# Changes of meaning


@pytest.mark.parametrize(
    ("old", "new", "told"),
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
def test_changes_of_meaning_are_told_with_the_rules_they_press_on(
    tmp_path: Path, old: str, new: str, told: str
) -> None:
    assert old in GOOD
    one, two = written(tmp_path, GOOD), written(tmp_path, "// moved about\n" + GOOD.replace(old, new), "b.rec")
    assert run("diff", one, two) == ((1, told + "\n") if told else (0, ""))


def test_pools_that_lose_a_backend_and_files_of_two_kinds(tmp_path: Path) -> None:
    text = 'pools: {reads: {servers: [{address: "a:1"}, {address: "b:2", weight: 3}]}}\nhosts: [{names: ["x"], locations: [{pattern: "/", target: {pool: "reads"}}]}]'
    one = written(tmp_path, text)
    two = written(
        tmp_path,
        text.replace(', {address: "b:2", weight: 3}', "").replace('address: "a:1"', 'address: "a:1", slow_start: 30s'),
        "b.rec",
    )
    code, told = run("diff", one, two)
    assert (
        code == 1
        and "pools reads servers loses b:2  (rule 1)" in told
        and "pools reads servers a:1 slow start: 0 ms -> 30 s  (rule 1, 4)" in told
    )
    swapped = written(
        tmp_path,
        text.replace('{address: "a:1"}, {address: "b:2", weight: 3}', '{address: "b:2", weight: 3}, {address: "a:1"}'),
        "c.rec",
    )
    assert "in another order" in run("diff", one, swapped)[1]
    assert (
        run("diff", one, written(tmp_path, GOOD, "d.rec"))[0] == 2
        and run("diff", one, written(tmp_path, "a: [", "e.rec"))[0] == 2
    )
    assert json.loads(run("diff", one, two, "--json")[1])


# JSON Schema


def test_the_schema_says_what_the_definitions_say() -> None:
    made = json_schema(load.schema(), "#Controller")
    controller, guards, channel = made["$defs"]["Controller"], made["$defs"]["Guards"], made["$defs"]["Channel"]
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
        and len(made["$defs"]["Discovery"]["anyOf"]) == 2
    )
    assert controller["properties"]["zones"]["minItems"] == 1 and controller["properties"]["groups"][
        "additionalProperties"
    ] == {"$ref": "#/$defs/Group"}
    names = set(re.findall(r'"#/\$defs/(\w+)"', json.dumps(made)))
    assert names <= set(made["$defs"])
    for kind in ("controller", "agent", "operators", "routing"):
        code, told = run("schema", kind)
        assert code == 0 and json.loads(told)["$ref"].endswith(kind.capitalize())


# InvalidConfigurationError files


def plain(value: Any) -> Any:
    return {name: plain(each) for name, each in value.items()} if isinstance(value, dict) else value


def sound(folder: Path, text: str) -> PlainRecord:
    return evaluate_files(load_files(written(folder, text, "m.rec")), load.schema(), "#Controller")


BY_HAND = [
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


@pytest.mark.parametrize(("old", "new", "told"), BY_HAND, ids=range(len(BY_HAND)))
def test_a_fault_is_told_with_its_place_and_what_was_meant(tmp_path: Path, old: str, new: str, told: str) -> None:
    assert old in GOOD
    path = written(tmp_path, GOOD.replace(old, new, 1))
    code, said = run("check", path)
    lines = [line for line in said.splitlines() if told in line]
    assert code == 2 and lines and re.match(rf"{re.escape(str(path))}:\d+:\d+: ", lines[0]), said


def test_all_faults_of_a_file_are_told_in_one_pass(tmp_path: Path) -> None:
    bad = (
        GOOD.replace('name: "c1"', 'nam: "c1"')
        .replace("900/s", "900ms")
        .replace('"retriable"', '"retryable"')
        .replace("15s", "15")
    )
    code, told = run("check", written(tmp_path, bad))
    assert code == 2 and len({line.split(": ")[0] for line in told.splitlines()}) >= 4


@pytest.mark.parametrize("seed", range(170))
def test_a_mutated_file_is_sound_or_told_with_a_place(tmp_path: Path, seed: int) -> None:
    chance = random.Random(seed)
    text = GOOD
    for _ in range(chance.randint(1, 3)):
        at = chance.randrange(len(text))
        match chance.randrange(4):
            case 0:
                text = text[:at] + text[at + chance.randint(1, 6) :]
            case 1:
                text = text[:at] + chance.choice('{}[]:,"|&*<>=~.?#/ \n5ax') + text[at:]
            case 2:
                other = chance.randrange(len(text))
                text = text[:at] + text[other : other + 8] + text[at:]
            case 3:
                lines = text.splitlines()
                chance.shuffle(lines)
                text = "\n".join(lines)
    try:
        found = sound(tmp_path, text)
    except InvalidConfigurationError as error:
        assert error.diagnostics and all(
            fault.position.line >= 1 and fault.text and "Traceback" not in fault.text for fault in error.diagnostics
        )
        assert all(fault.position.file.endswith("m.rec") for fault in error.diagnostics), error.diagnostics
    else:
        assert plain(sound(tmp_path, format_text(text))) == plain(found)


def test_a_definition_in_conflict_through_three_includes_names_both_places(tmp_path: Path) -> None:
    written(tmp_path, "guards: {drain_grace: 3s}", "c.rec")
    written(tmp_path, 'include "c.rec"\nguards: {cold_time: 15s}', "b.rec")
    written(tmp_path, 'include "b.rec"', "a.rec")
    code, told = run("check", written(tmp_path, 'include "a.rec"' + GOOD, "top.rec"))
    assert code == 2 and "top.rec:" in told and "c.rec:1:" in told


@pytest.mark.parametrize("how", ["rewritten", "swapped", "gone"])
def test_a_file_that_changes_while_it_is_read_is_told(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    import onyxhead.configuration_language.loader as module

    written(tmp_path, "guards: {cold_time: 16s}", "in.rec")
    top = written(tmp_path, 'include "in.rec"' + GOOD.replace(", cold_time: 15s", ""))
    assert run("check", top)[0] == 0
    real = module.parse

    def late(text: str, file: str) -> Any:
        if file.endswith("in.rec"):
            if how == "rewritten":
                top.write_text(GOOD + "// more\n")
            elif how == "swapped":
                written(tmp_path, top.read_text(), "b.rec").replace(top)
            else:
                top.unlink()
        return real(text, file)

    monkeypatch.setattr(module, "parse", late)
    code, told = run("check", top)
    assert code == 2 and f"{top}:1:1: changed while it was read" in told
