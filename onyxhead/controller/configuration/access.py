"""Who may do what: groups, rules in order, and a default deny for writes (RFC 8341, in part). No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from onyxhead.controller.configuration.tree import RpcError, Tree, tree_changes
from onyxhead.settings.model import AccessRule, NetconfUser

DENIED_BY_DEFAULT = frozenset({"kill-session", "delete-config"})
"""Operations that a rule must permit by name (RFC 8341, section 3.1.2; nacm:default-deny-all)."""


class Access:
    """The users and rules of the settings; `denied` counts what was denied since the start."""

    def __init__(self, users: Mapping[str, NetconfUser], rules: tuple[AccessRule, ...]) -> None:
        self.users, self.rules = users, rules
        self.denied = {"operations": 0, "writes": 0}

    def authorize_operation(self, user: str, rpc: str) -> None:
        """Raises RpcError access-denied for an operation that the user may not run."""
        if rpc == "close-session":
            return
        for rule in self._rules(user):
            if rule.path is None and rule.rpc in (None, "*", rpc) and _covers(rule, "exec"):
                if rule.permit:
                    return
                break
        else:
            if rpc not in DENIED_BY_DEFAULT:
                return
        self.denied["operations"] += 1
        raise RpcError("access-denied", f"{user} may not run {rpc}", kind="protocol")

    def authorize_write(self, user: str, before: Tree, after: Tree, root: str) -> None:
        """Raises RpcError access-denied for the first change that no rule permits."""
        for operation, path in tree_changes(before, after, root):
            if not self._permits(user, path, operation):
                self.denied["writes"] += 1
                raise RpcError("access-denied", f"{user} may not {operation} {path}", path)

    def may_read(self, user: str, path: str) -> bool:
        """Whether the user may read the data at a path."""
        for rule in self._rules(user):
            if rule.rpc is None and _covers(rule, "read") and _below(path, rule.path):
                return rule.permit
        return True

    def _permits(self, user: str, path: str, operation: str) -> bool:
        for rule in self._rules(user):
            if rule.rpc is None and _covers(rule, operation) and _below(path, rule.path):
                return rule.permit
        return False

    def _rules(self, user: str) -> list[AccessRule]:
        groups = set(self.users[user].groups) if user in self.users else set()
        return [rule for rule in self.rules if "*" in rule.groups or groups & set(rule.groups)]


def _covers(rule: AccessRule, operation: str) -> bool:
    return "*" in rule.operations or operation in rule.operations


def _below(path: str, root: str | None) -> bool:
    return root is None or path == root or path.startswith(root.rstrip("/") + "/")
