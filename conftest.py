"""Passes over the tests of KNOWN-RED.txt, and over no others: they are run, and told at the end of the run.

A line is `TEST | CAUSE | ISSUE`, with TEST as pytest names it (`tests/test_x.py::test_y`). Whoever can't mend a real
fault in this sitting lists its test there; it must not hide anything else, so whatever is odd ends the run."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

MOST = 3
RESULTS = pytest.StashKey[dict[str, str]]()


class Red(NamedTuple):
    test: str
    cause: str
    issue: str


def known_red(root: Path) -> dict[str, Red]:
    """The lines of the file, if there is one. Raises pytest.UsageError, which names the line."""
    path, found = root / "KNOWN-RED.txt", dict[str, Red]()
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines() if path.exists() else (), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise pytest.UsageError(f"{path.name}, line {number}: wants TEST | CAUSE | ISSUE")
        red = Red(*fields)
        file, parted, name = red.test.partition("::")
        if not parted or not name or not (root / file).is_file():
            raise pytest.UsageError(f"{path.name}, line {number}: {red.test!r} is no test")
        if red.test in found:
            raise pytest.UsageError(f"{path.name}, line {number}: {red.test} is listed twice")
        found[red.test] = red
    if len(found) > MOST:
        raise pytest.UsageError(f"{path.name}: {len(found)} tests, and {MOST} are the most")
    return found


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = known_red(config.rootpath)
    config.stash[RESULTS] = {}
    collected = {item.nodeid.partition("[")[0] for item in items} | {item.nodeid for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    named = any("::" in word for word in config.args) or config.option.keyword or config.option.markexpr
    for red in known.values():
        # Where only some tests were asked for, others are missing for that reason.
        if red.test not in collected and red.test.partition("::")[0] in files and not named:
            raise pytest.UsageError(f"KNOWN-RED.txt: {red.test} does not exist")
    for item in items:
        red = known.get(item.nodeid) or known.get(item.nodeid.partition("[")[0])
        if red is not None:
            config.stash[RESULTS][item.nodeid] = "was not run"
            item.add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=False))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> object:
    report = yield
    results = item.config.stash.get(RESULTS, {})
    if item.nodeid in results and (report.when == "call" or report.outcome == "failed"):
        passes = report.when == "call" and report.outcome == "passed"
        results[item.nodeid] = "PASSES AGAIN: take its line out" if passes else "fails, as known"
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for test, result in config.stash.get(RESULTS, {}).items():
        terminalreporter.write_line(f"known red: {test}: {result}")
