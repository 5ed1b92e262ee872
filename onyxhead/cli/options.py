"""Options and parameter types that several commands share."""

from __future__ import annotations

from pathlib import Path

import click

PATH = click.Path(path_type=Path)
"""The type of a parameter that is the path of a file or folder, which need not exist."""

json_option = click.option("--json", "as_json", is_flag=True)
full_json_option = click.option("--json", "as_json", is_flag=True, help="Print the full state as JSON.")
identity_option = click.option("--as", "identity", type=PATH, help="FOLDER/NAME of the client certificate.")
fleet_option = click.option(
    "--fleet", "fleet_file", type=PATH, help="A file of records that lists controllers and agents by name."
)
address_option = click.option(
    "--at", "addresses", multiple=True, metavar="ADDRESS", help="Address of a controller; any number of them."
)
