"""Access control for configuration clients (a part of RFC 8341). No I/O.

Rules apply to groups of users, and the first rule that matches decides. Where none matches, writes and a few operations
are denied, and everything else is permitted.
"""

from __future__ import annotations

from collections.abc import Mapping

from onyxhead.controller.configuration.tree import RpcError, Tree, tree_changes
from onyxhead.settings.model import AccessRule, NetconfUser

DENIED_BY_DEFAULT = frozenset({"kill-session", "delete-config"})
"""Operations that are denied unless a rule permits them (RFC 8341, section 3.1.2; nacm:default-deny-all)."""


class Access:
    """Checks requests against the users and rules of the settings. `denied` counts the denials since the start."""

    def __init__(self, users: Mapping[str, NetconfUser], rules: tuple[AccessRule, ...]) -> None:
        self.users, self.rules = users, rules
        self.denied = {"operations": 0, "writes": 0}

    def authorize_operation(self, user: str, rpc: str) -> None:
        """Raise RpcError access-denied if the user may not run the operation."""
        if rpc == "close-session":
            return
        for rule in self._rules_for(user):
            if rule.path is None and rule.rpc in (None, "*", rpc) and _applies_to(rule, "exec"):
                if rule.permit:
                    return
                break
        else:
            if rpc not in DENIED_BY_DEFAULT:
                return
        self.denied["operations"] += 1
        raise RpcError("access-denied", f"{user} may not run {rpc}", kind="protocol")

    def authorize_write(self, user: str, before: Tree, after: Tree, root: str) -> None:
        """Raise RpcError access-denied for the first change between the two trees that no rule permits."""
        for operation, path in tree_changes(before, after, root):
            if not self._may_change(user, path, operation):
                self.denied["writes"] += 1
                raise RpcError("access-denied", f"{user} may not {operation} {path}", path)

    def may_read(self, user: str, path: str) -> bool:
        """Return whether the user may read the data at a path."""
        for rule in self._rules_for(user):
            if rule.rpc is None and _applies_to(rule, "read") and _is_at_or_below(path, rule.path):
                return rule.permit
        return True

    def _may_change(self, user: str, path: str, operation: str) -> bool:
        for rule in self._rules_for(user):
            if rule.rpc is None and _applies_to(rule, operation) and _is_at_or_below(path, rule.path):
                return rule.permit
        return False

    def _rules_for(self, user: str) -> list[AccessRule]:
        groups = set(self.users[user].groups) if user in self.users else set()
        return [rule for rule in self.rules if "*" in rule.groups or groups & set(rule.groups)]


def _applies_to(rule: AccessRule, operation: str) -> bool:
    return "*" in rule.operations or operation in rule.operations


def _is_at_or_below(path: str, root: str | None) -> bool:
    return root is None or path == root or path.startswith(root.rstrip("/") + "/")
