"""Names of the values that a store keeps by name (`Store.put`, `Store.get`), as earlier versions wrote them."""

from __future__ import annotations

SETTINGS_TREE = "settings tree"
"""The configuration that the settings file had at the last start."""
STARTUP_DATASTORE = "startup"
"""The NETCONF startup datastore."""
TABLE_LABELS = "table labels"
"""Version numbers of the tables by label."""
OPERATOR_STATE = "operators' orders"
"""Drains, cordons and the commands that operators gave."""
FLEET_MEMBERS = "fleet members"
"""Members put in or removed by command; null for one that was removed."""
BUDGET_GRANTS = "fleet loans"
"""Slow-start budget that this controller granted to others."""
