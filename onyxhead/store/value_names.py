"""Names of the values in the table `meta` (`Store.put`, `Store.get`); they are part of the stored format."""

from __future__ import annotations

SETTINGS_TREE = "settings tree"
"""The configuration tree of the settings file at the last start."""
STARTUP_DATASTORE = "startup"
"""The NETCONF startup datastore."""
TABLE_LABELS = "table labels"
"""Numbers of labelled table versions, by label."""
OPERATOR_STATE = "operators' orders"
"""Drained and cordoned backends, and the operator commands with their first answers."""
FLEET_MEMBERS = "fleet members"
"""Fleet members that were added or removed by command; null for a removed one."""
BUDGET_GRANTS = "fleet loans"
"""Slow-start budget that this controller granted to other members."""
