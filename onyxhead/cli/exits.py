"""Exit codes of commands, and an error class for each code other than 0."""

from __future__ import annotations

from enum import IntEnum
from typing import IO, Any

import click


class ExitCode(IntEnum):
    """Exit codes of commands that did not succeed; success is 0."""

    REFUSED = 1
    """The checked condition does not hold, or the request was refused."""
    FAULTY = 2
    """The command was used wrongly, or a file is faulty."""
    UNKNOWN = 3
    """The outcome is not known, because a controller or an agent did not answer."""


class CommandFailedError(click.ClickException):
    """Ends a command with the class's exit code, after printing its lines to standard error."""

    def __init__(self, *lines: object) -> None:
        super().__init__("\n".join(map(str, lines)))
        self.lines = lines

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the lines."""
        for line in self.lines:
            click.echo(str(line), file=file, err=True)


class RefusedError(CommandFailedError):
    """The checked condition does not hold, or the request was refused."""

    exit_code = ExitCode.REFUSED


class FaultyInputError(CommandFailedError):
    """The command was used wrongly, or a file is faulty."""

    exit_code = ExitCode.FAULTY


class NoAnswerError(CommandFailedError):
    """A controller or an agent did not answer, so the outcome is not known."""

    exit_code = ExitCode.UNKNOWN
