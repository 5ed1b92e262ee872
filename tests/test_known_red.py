"""Tests of KNOWN-RED.txt: a run tolerates the failures listed there and no others."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
import pytest
def test_red(): assert 1 == 2
def test_green(): pass
@pytest.mark.parametrize("n", [1, 2])
def test_each(n): assert n == 1
"""


def run_pytest(folder: Path, known_failures: str | None, tests: str = TESTS) -> tuple[int, str]:
    """Run pytest on a file of tests with this KNOWN-RED.txt (None: no file); return its exit code and output."""
    shutil.copy(ROOT / "conftest.py", folder)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_it.py").write_text(tests)
    if known_failures is not None:
        (folder / "KNOWN-RED.txt").write_text(known_failures)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    process = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    return process.returncode, process.stdout + process.stderr


def test_listed_failures_are_tolerated_and_reported(tmp_path: Path) -> None:
    code, output = run_pytest(
        tmp_path, "test_it.py::test_red | one is not two | issue 5\n\ntest_it.py::test_each[2] | two | issue 6\n"
    )
    assert code == 0
    assert "known red: test_it.py::test_red: fails, as known" in output
    assert "known red: test_it.py::test_each[2]: fails, as known" in output


def test_a_failure_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    assert run_pytest(tmp_path, "test_it.py::test_red | one is not two | issue 5\n")[0] == 1


def test_a_listed_test_that_passes_again_is_reported(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, "test_it.py::test_green | was red | issue 5\n", "def test_green(): pass\n")
    assert code == 0 and "test_it.py::test_green: PASSES AGAIN" in output


@pytest.mark.parametrize("known_failures", [None, "", "\n \n"])
def test_an_empty_or_missing_list_changes_nothing(known_failures: str | None, tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, known_failures)
    assert code == 1 and "2 failed, 2 passed" in output and "known red" not in output


@pytest.mark.parametrize(
    ("known_failures", "message"),
    [
        ("test_it.py::test_red | a cause\n", "line 1: expected TEST | CAUSE | ISSUE"),
        ("\ntest_it.py::test_red | | issue 5\n", "line 2: expected TEST | CAUSE | ISSUE"),
        ("test_it.py | a cause | issue 5\n", "does not name a test"),
        ("test_no.py::test_red | a cause | issue 5\n", "does not name a test"),
        ("test_it.py::test_none | a cause | issue 5\n", "does not exist"),
        ("test_it.py::test_red | a | 5\ntest_it.py::test_red | a | 5\n", "listed twice"),
        ("".join(f"test_it.py::test_{n} | a cause | issue 5\n" for n in range(4)), "at most 3 are allowed"),
    ],
)
def test_an_invalid_list_aborts_the_run(known_failures: str, message: str, tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, known_failures)
    assert code not in (0, 1) and message in output and "passed" not in output
