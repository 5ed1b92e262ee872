"""Exit codes, and the errors that end a command with one."""

from __future__ import annotations

from enum import IntEnum
from typing import IO, Any

import click


class ExitCode(IntEnum):
    """What a command's exit code says; 0 stands for done."""

    REFUSED = 1
    """What was asked for does not hold, or was refused."""
    FAULTY = 2
    """Wrong use, or faulty files."""
    UNKNOWN = 3
    """Not known, since someone did not answer."""


class CommandFailedError(click.ClickException):
    """Ends a command with its exit code, after its lines on standard error."""

    def __init__(self, *lines: object) -> None:
        super().__init__("\n".join(map(str, lines)))
        self.lines = lines

    def show(self, file: IO[Any] | None = None) -> None:
        """Write the lines."""
        for line in self.lines:
            click.echo(str(line), file=file, err=True)


class RefusedError(CommandFailedError):
    """What was asked for does not hold, or was refused."""

    exit_code = ExitCode.REFUSED


class FaultyInputError(CommandFailedError):
    """Wrong use, or faulty files."""

    exit_code = ExitCode.FAULTY


class NoAnswerError(CommandFailedError):
    """Someone did not answer, so the outcome is not known."""

    exit_code = ExitCode.UNKNOWN
