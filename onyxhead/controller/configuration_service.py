"""Puts the configuration core to work in a running controller: its facts, its disk, its effects."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from onyxhead.controller.configuration.access import Access
from onyxhead.controller.configuration.commit_plan import CommitPlan
from onyxhead.controller.configuration.datastores import Commit, Datastores
from onyxhead.controller.configuration.service import ConfigurationCallbacks, ConfigurationService
from onyxhead.controller.configuration.tree import RpcError, Tree
from onyxhead.controller.configuration.views import deployment, tree_of
from onyxhead.controller.controller_status import controller_status
from onyxhead.fronts.netconf import schema
from onyxhead.store.records import CommitRecord
from onyxhead.store.value_names import SETTINGS_TREE, STARTUP_DATASTORE

if TYPE_CHECKING:
    from onyxhead.controller.server import ControllerServer

log = structlog.get_logger()


def open_desk(daemon: ControllerServer) -> ConfigurationService:
    """The desk with the commits of earlier lives; what was in effect when the last one ended is again.

    The settings file counts as a commit whenever it says something else than at the last start. Raises OSError."""
    store, settings = daemon.store, daemon.settings
    commits = [Commit(*row) for row in store.load_commits()]
    given = tree_of(settings)
    if not commits or store.get(SETTINGS_TREE) != given:
        number = commits[-1].number + 1 if commits else 1
        made = Commit(number, given, "(settings)", "settings")
        store.save_commit(CommitRecord(*made))
        store.put(SETTINGS_TREE, given)
        commits.append(made)
    stores = Datastores(schema.config(), commits, lambda tree: _check(daemon, tree), store.get(STARTUP_DATASTORE))
    netconf = settings.netconf
    access = Access(netconf.users if netconf else {}, netconf.rules if netconf else ())
    hands = ConfigurationCallbacks(
        facts=daemon.facts,
        write_commit=lambda commit: store.save_commit(CommitRecord(*commit)),
        save_startup=lambda tree: store.put(STARTUP_DATASTORE, tree),
        apply=lambda tree, plan: act(daemon, tree, plan),
        state=lambda: state(daemon),
        wall_time=time.time,
        audit=lambda user, session, what, result: _audit(daemon, user, session, what, result),
    )
    return ConfigurationService(stores, access, hands)


def _check(daemon: ControllerServer, tree: Tree) -> None:
    schema.check(tree)
    try:
        deployment(tree, daemon.settings)
    except ValueError as error:
        raise RpcError("invalid-value", str(error), "/fleet/group") from None


def _audit(daemon: ControllerServer, user: str, session: int, what: str, result: str) -> None:
    log.info("audit", user=user, session=session, what=what, result=result)
    daemon.store.append_audit_entry(user, session, what, result)


def act(daemon: ControllerServer, tree: Tree, plan: CommitPlan) -> None:
    """Puts a tree into effect: by the list where that is enough, else by a new start of the module."""
    log.info("configuration", drains=plan.drains, restores=plan.restores, rebuild=plan.rebuild, about_s=plan.seconds)
    daemon.tree = tree
    if plan.rebuild:
        daemon.rebuild(deployment(tree, daemon.settings))
    daemon.list_again()


def state(daemon: ControllerServer) -> Tree:
    known = controller_status(daemon.core, daemon.clock.now())
    proxies = [
        {"name": name, "zone": own["zone"], "bound": own["bound"], "turn": own["turn"]}
        for name, own in sorted(known["proxies"].items())
    ]
    backends = [
        {
            "id": name,
            "address": own["address"],
            "zone": own["zone"],
            "ready": own["ready"],
            "withdrawn": own["withdrawn"],
        }
        for name, own in known["backends"].items()
    ]
    channel = {"waiting": round(known["channel"]["waiting"]), "peak": round(known["channel"]["peak"])}
    made: Tree = {"epoch": known["epoch"], "channel": channel}
    return made | ({"proxy": proxies} if proxies else {}) | ({"backend": backends} if backends else {})
