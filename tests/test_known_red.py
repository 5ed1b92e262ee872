"""The list of tests that are known to fail: what it passes over, and that it passes over nothing else."""

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


def run(path: Path, known: str | None, tests: str = TESTS) -> tuple[int, str]:
    shutil.copy(ROOT / "conftest.py", path)
    (path / "pytest.ini").write_text("[pytest]\n")
    (path / "test_it.py").write_text(tests)
    if known is not None:
        (path / "KNOWN-RED.txt").write_text(known)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    done = subprocess.run(command, cwd=path, capture_output=True, text=True, check=False)
    return done.returncode, done.stdout + done.stderr


def test_it_passes_over_the_tests_it_names_and_tells_them(tmp_path: Path) -> None:
    code, told = run(
        tmp_path, "test_it.py::test_red | one is not two | issue 5\n\ntest_it.py::test_each[2] | two | issue 6\n"
    )
    assert code == 0
    assert "known red: test_it.py::test_red: fails, as known" in told
    assert "known red: test_it.py::test_each[2]: fails, as known" in told


def test_a_failure_that_it_does_not_name_fails_the_run(tmp_path: Path) -> None:
    assert run(tmp_path, "test_it.py::test_red | one is not two | issue 5\n")[0] == 1


def test_one_that_passes_again_is_told(tmp_path: Path) -> None:
    code, told = run(tmp_path, "test_it.py::test_green | was red | issue 5\n", "def test_green(): pass\n")
    assert code == 0 and "test_it.py::test_green: PASSES AGAIN" in told


@pytest.mark.parametrize("known", [None, "", "\n \n"])
def test_an_empty_or_missing_list_changes_nothing(known: str | None, tmp_path: Path) -> None:
    code, told = run(tmp_path, known)
    assert code == 1 and "2 failed, 2 passed" in told and "known red" not in told


@pytest.mark.parametrize(
    ("known", "word"),
    [
        ("test_it.py::test_red | a cause\n", "line 1: wants"),
        ("\ntest_it.py::test_red | | issue 5\n", "line 2: wants"),
        ("test_it.py | a cause | issue 5\n", "is no test"),
        ("test_no.py::test_red | a cause | issue 5\n", "is no test"),
        ("test_it.py::test_none | a cause | issue 5\n", "does not exist"),
        ("test_it.py::test_red | a | 5\ntest_it.py::test_red | a | 5\n", "listed twice"),
        ("".join(f"test_it.py::test_{n} | a cause | issue 5\n" for n in range(4)), "3 are the most"),
    ],
)
def test_whatever_is_odd_in_it_ends_the_run(known: str, word: str, tmp_path: Path) -> None:
    code, told = run(tmp_path, known)
    assert code not in (0, 1) and word in told and "passed" not in told
