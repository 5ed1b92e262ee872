"""The command line: its verbs, help texts and exit codes."""

from __future__ import annotations

from pathlib import Path

import click
import pytest
from click.testing import CliRunner

from onyxhead.cli.main import main
from onyxhead.testbed.ports import free_ports

VERBS = set(
    "agent check compare config console cordon diff drain export fleet fmt handover import incident keys load load-view "
    "node restore route schema serve show tables trial uncordon wait".split()
)
SUBVERBS = {
    "export": {"nginx"},
    "fleet": {"members", "move", "status", "who"},
    "import": {"nginx"},
    "keys": {"forget", "init", "issue", "renew", "revoke", "show"},
    "tables": {"blame", "diff", "label", "log", "pin", "release", "rollback", "show", "try"},
    "trial": {"list", "run"},
}


def test_the_verbs_are_complete() -> None:
    assert set(main.commands) == VERBS
    groups = {
        name: set(command.commands) for name, command in main.commands.items() if isinstance(command, click.Group)
    }
    assert groups == SUBVERBS


@pytest.mark.parametrize("verb", sorted(VERBS))
def test_each_verb_has_a_help_text(verb: str) -> None:
    result = CliRunner().invoke(main, [verb, "--help"])
    assert result.exit_code == 0 and result.output.startswith(f"Usage: main {verb}")
    assert main.commands[verb].help


@pytest.mark.parametrize(
    ("arguments", "exit_code", "text"),
    [
        (["check", "{folder}/missing.rec"], 2, "cannot read"),
        (["serve", "{folder}/missing.rec"], 2, "cannot read"),
        (["show", "nowhere"], 2, "'nowhere' is not host:port"),
        (["drain", "b1"], 2, "nobody to ask: --at or --fleet is wanted"),
        (["show", "127.0.0.1:{port}"], 3, "no answer"),
        (["fleet", "members", "127.0.0.1:{port}"], 2, "one of --add and --remove is wanted"),
        (["keys", "issue", "{folder}", "c1", "--role", "agent"], 1, "no authority here"),
        (["keys", "issue", "{folder}", "c1", "--role", "king"], 2, "Invalid value"),
        (["export", "nginx", "{folder}/missing.rec"], 2, "cannot read"),
        (["show", "127.0.0.1:{port}", "--as", "{folder}/ann"], 2, "ann.crt"),
    ],
)
def test_a_failed_command_ends_with_its_exit_code_and_reason(
    tmp_path: Path, arguments: list[str], exit_code: int, text: str
) -> None:
    (port,) = free_ports(1)
    words = [word.format(folder=tmp_path, port=port) for word in arguments]
    result = CliRunner().invoke(main, words)
    assert (result.exit_code, text in result.output) == (exit_code, True), result.output
