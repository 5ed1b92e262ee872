"""Pytest hooks that let a run succeed although the tests listed in KNOWN-RED.txt fail.

Each line of the file is `TEST | CAUSE | ISSUE`, where TEST is the pytest node ID (`tests/test_x.py::test_y`). Listed
tests are still run, and the terminal summary shows the result of each. The list is for tests that fail because of a
real fault that is not fixed yet. It must not hide anything else, so any invalid line aborts the run.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

MAX_KNOWN_FAILURES = 3
RESULTS = pytest.StashKey[dict[str, str]]()
"""The result of each collected test that is listed, by node ID."""


class KnownFailure(NamedTuple):
    """A line of KNOWN-RED.txt: a test's node ID, why the test fails, and the issue about the fault."""

    test: str
    cause: str
    issue: str


def read_known_failures(root: Path) -> dict[str, KnownFailure]:
    """Return the entries of KNOWN-RED.txt by node ID; without the file there are none.

    Raise pytest.UsageError for an invalid line or too many entries.
    """
    path, failures = root / "KNOWN-RED.txt", dict[str, KnownFailure]()
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines() if path.exists() else (), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise pytest.UsageError(f"{path.name}, line {number}: expected TEST | CAUSE | ISSUE")
        failure = KnownFailure(*fields)
        file, separator, name = failure.test.partition("::")
        if not separator or not name or not (root / file).is_file():
            raise pytest.UsageError(
                f"{path.name}, line {number}: {failure.test!r} does not name a test in an existing file"
            )
        if failure.test in failures:
            raise pytest.UsageError(f"{path.name}, line {number}: {failure.test} is listed twice")
        failures[failure.test] = failure
    if len(failures) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(
            f"{path.name}: lists {len(failures)} tests, but at most {MAX_KNOWN_FAILURES} are allowed"
        )
    return failures


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected to fail; raise pytest.UsageError if a listed test does not exist."""
    known_failures = read_known_failures(config.rootpath)
    config.stash[RESULTS] = {}
    collected = {item.nodeid.partition("[")[0] for item in items} | {item.nodeid for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    selects_tests = any("::" in argument for argument in config.args) or config.option.keyword or config.option.markexpr
    for failure in known_failures.values():
        # If the command line selects single tests, a listed test may be missing because it was not selected.
        if failure.test not in collected and failure.test.partition("::")[0] in files and not selects_tests:
            raise pytest.UsageError(f"KNOWN-RED.txt: {failure.test} does not exist")
    for item in items:
        listed = known_failures.get(item.nodeid) or known_failures.get(item.nodeid.partition("[")[0])
        if listed is not None:
            config.stash[RESULTS][item.nodeid] = "was not run"
            item.add_marker(pytest.mark.xfail(reason=f"{listed.cause} ({listed.issue})", strict=False))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> object:
    """Record the result of a listed test."""
    report = yield
    results = item.config.stash.get(RESULTS, {})
    if item.nodeid in results and (report.when == "call" or report.outcome == "failed"):
        passes = report.when == "call" and report.outcome == "passed"
        results[item.nodeid] = "PASSES AGAIN: remove its line" if passes else "fails, as known"
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the result of each listed test."""
    for test, result in config.stash.get(RESULTS, {}).items():
        terminalreporter.write_line(f"known red: {test}: {result}")
