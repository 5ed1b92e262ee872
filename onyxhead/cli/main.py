"""The `onyxhead` command.

Exit codes:
0: success
1: the checked condition does not hold, or the request was refused
2: the command was used wrongly, or a file is faulty
3: the outcome is not known, because a controller or an agent did not answer

A module that only some commands need is imported when they run, so that the other commands start quickly.
"""

from __future__ import annotations

import click

from onyxhead.cli import (
    backends,
    compare,
    console,
    daemons,
    fleet,
    incident,
    keys,
    routing,
    settings_files,
    state,
    tables,
    trial,
)


@click.group()
@click.version_option(package_name="onyxhead")
def main() -> None:
    """Assign backends to plain proxies."""


COMMANDS: tuple[click.Command, ...] = (
    daemons.serve,
    daemons.agent,
    daemons.node,
    settings_files.check,
    settings_files.fmt,
    settings_files.diff,
    settings_files.json_schema,
    state.show,
    state.config,
    state.show_load,
    tables.tables,
    fleet.fleet,
    fleet.handover,
    keys.keys,
    *(backends.verb_command(verb) for verb in backends.VERB_HELP),
    backends.wait,
    compare.compare,
    console.console,
    incident.incident,
    routing.import_group,
    routing.export_group,
    routing.route,
    trial.trial,
)

for command in COMMANDS:
    main.add_command(command)
# The former name of `load`, kept for scripts that use it.
main.add_command(state.show_load, "load-view")


if __name__ == "__main__":
    main()
