"""Opens the configuration service of a running controller with its stored commits and the server's callbacks."""

from __future__ import annotations

import time
from collections.abc import Callable

import structlog

from onyxhead.controller import log_events
from onyxhead.controller.configuration.access import Access
from onyxhead.controller.configuration.commit_plan import CommitPlan, FleetFacts
from onyxhead.controller.configuration.datastores import Commit, Datastores
from onyxhead.controller.configuration.service import ConfigurationCallbacks, ConfigurationService
from onyxhead.controller.configuration.tree import RpcError, Tree
from onyxhead.controller.configuration.views import deployment_from_tree, settings_tree
from onyxhead.controller.controller_status import controller_status
from onyxhead.controller.core import ControllerCore
from onyxhead.fronts.netconf import schema
from onyxhead.settings.model import ControllerSettings
from onyxhead.store.records import CommitRecord
from onyxhead.store.store import Store
from onyxhead.store.value_names import SETTINGS_TREE, STARTUP_DATASTORE

SETTINGS_USER, SETTINGS_COMMIT = "(settings)", "settings"

log = structlog.get_logger()


def open_configuration_service(
    settings: ControllerSettings,
    store: Store,
    facts: Callable[[], FleetFacts],
    apply: Callable[[Tree, CommitPlan], None],
    state: Callable[[], Tree],
) -> ConfigurationService:
    """Return the service with the stored commits. The configuration of the last commit is in effect again.

    If the settings file has changed since the last start, it is added as a commit. Raise OSError if the commit can't be
    stored.
    """

    def check(tree: Tree) -> None:
        schema.validate_tree(tree)
        try:
            deployment_from_tree(tree, settings)
        except ValueError as error:
            raise RpcError("invalid-value", str(error), "/fleet/group") from None

    def audit(user: str, session: int, action: str, result: str) -> None:
        log.info(log_events.CONFIGURATION_AUDIT, user=user, session=session, action=action, result=result)
        store.append_audit_entry(user, session, action, result)

    datastores = Datastores(schema.config_schema(), _load_commits(settings, store), check, store.get(STARTUP_DATASTORE))
    netconf = settings.netconf
    access = Access(netconf.users if netconf else {}, netconf.rules if netconf else ())
    callbacks = ConfigurationCallbacks(
        facts=facts,
        write_commit=lambda commit: store.save_commit(CommitRecord(*commit)),
        save_startup=lambda tree: store.put(STARTUP_DATASTORE, tree),
        apply=apply,
        state=state,
        wall_time=time.time,
        audit=audit,
    )
    return ConfigurationService(datastores, access, callbacks)


def _load_commits(settings: ControllerSettings, store: Store) -> list[Commit]:
    """Return the stored commits, after adding one if the settings file has changed since the last start."""
    commits = [Commit(*record) for record in store.load_commits()]
    tree = settings_tree(settings)
    if not commits or store.get(SETTINGS_TREE) != tree:
        number = commits[-1].number + 1 if commits else 1
        commit = Commit(number, tree, SETTINGS_USER, SETTINGS_COMMIT)
        store.save_commit(CommitRecord(*commit))
        store.put(SETTINGS_TREE, tree)
        commits.append(commit)
    return commits


def state_tree(core: ControllerCore, now: int) -> Tree:
    """Return the state of a controller as the data tree that NETCONF clients read."""
    status = controller_status(core, now)
    proxies = [
        {"name": name, "zone": proxy["zone"], "bound": proxy["bound"], "turn": proxy["turn"]}
        for name, proxy in sorted(status["proxies"].items())
    ]
    shown_fields = ("address", "zone", "ready", "withdrawn")
    backends = [
        {"id": name} | {key: backend[key] for key in shown_fields} for name, backend in status["backends"].items()
    ]
    channel = {"waiting": round(status["channel"]["waiting"]), "peak": round(status["channel"]["peak"])}
    tree: Tree = {"epoch": status["epoch"], "channel": channel}
    return tree | ({"proxy": proxies} if proxies else {}) | ({"backend": backends} if backends else {})
