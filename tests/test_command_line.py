"""The command line: the complete set of verbs, their help texts, and exit codes of failed commands."""

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
SUBVERBS_BY_GROUP = {
    "export": {"nginx"},
    "fleet": {"members", "move", "status", "who"},
    "import": {"nginx"},
    "keys": {"forget", "init", "issue", "renew", "revoke", "show"},
    "tables": {"blame", "diff", "label", "log", "pin", "release", "rollback", "show", "try"},
    "trial": {"list", "run"},
}


def test_the_command_line_has_exactly_these_verbs() -> None:
    assert set(main.commands) == VERBS
    groups = {
        name: set(command.commands) for name, command in main.commands.items() if isinstance(command, click.Group)
    }
    assert groups == SUBVERBS_BY_GROUP


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
        (["drain", "b1"], 2, "no controller to query: --at or --fleet must name one"),
        (["show", "127.0.0.1:{port}"], 3, "no answer"),
        (["fleet", "members", "127.0.0.1:{port}"], 2, "one of --add and --remove is required"),
        (["keys", "issue", "{folder}", "c1", "--role", "agent"], 1, "no authority here"),
        (["keys", "issue", "{folder}", "c1", "--role", "king"], 2, "Invalid value"),
        (["export", "nginx", "{folder}/missing.rec"], 2, "cannot read"),
        (["show", "127.0.0.1:{port}", "--as", "{folder}/ann"], 2, "ann.crt"),
    ],
)
def test_a_failed_command_exits_with_its_code_and_prints_the_reason(
    tmp_path: Path, arguments: list[str], exit_code: int, text: str
) -> None:
    (port,) = free_ports(1)
    resolved = [argument.format(folder=tmp_path, port=port) for argument in arguments]
    result = CliRunner().invoke(main, resolved)
    assert (result.exit_code, text in result.output) == (exit_code, True), result.output
