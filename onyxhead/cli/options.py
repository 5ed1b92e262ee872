"""Parameters that several commands share."""

from __future__ import annotations

from pathlib import Path

import click

PATH = click.Path(path_type=Path)
"""A path of a file or folder, which need not exist."""

json_option = click.option("--json", "as_json", is_flag=True)
full_json_option = click.option("--json", "as_json", is_flag=True, help="All that is known, as JSON.")
identity_option = click.option("--as", "identity", type=PATH, help="FOLDER/NAME of the certificate to show.")
fleet_option = click.option("--fleet", "fleet_file", type=PATH, help="Records: controllers and agents by name.")
address_option = click.option(
    "--at", "addresses", multiple=True, metavar="ADDRESS", help="A controller; any number of them."
)
