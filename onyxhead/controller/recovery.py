"""Restores the state of an earlier incarnation from the store: table versions, endpoint list and withdrawals."""

from __future__ import annotations

import time

import structlog

from onyxhead.controller import log_events
from onyxhead.controller.core_host import CoreHost
from onyxhead.controller.discovery_watch import DiscoveryWatch
from onyxhead.controller.errors import InvalidEndpointListError
from onyxhead.settings.model import ControllerSettings
from onyxhead.store.store import Store
from onyxhead.store.value_names import TABLE_LABELS
from onyxhead.tables.history import History
from onyxhead.time_units import TICKS_PER_SECOND

MIN_RESTORED_AGE_S = 60.0
"""Withdrawals up to this age are always restored."""
RESTORED_DRAIN_GRACES = 10
"""Older withdrawals are restored up to an age of this many drain graces. After that, no proxy holds the backend."""

log = structlog.get_logger()


def recover_history(store: Store) -> History:
    """Return the stored table versions with their labels."""
    history = History()
    history.restore(store.load_versions())
    labels = store.get(TABLE_LABELS) or {}
    history.labels = {label: number for label, number in labels.items() if number in history.versions}
    return history


def restore_endpoints(settings: ControllerSettings, store: Store, host: CoreHost, watch: DiscoveryWatch) -> None:
    """Start from the stored endpoint list, if it is recent, and withdraw again the backends withdrawn recently."""
    recovered = store.recovered
    for warning in store.warnings:
        log.warning(log_events.STORE_WARNING, warning=warning)
    if recovered.endpoint_list is None:
        log.info(log_events.NO_STORED_ENDPOINT_LIST, epoch=recovered.epoch)
        return
    age_s = time.time() - recovered.list_received_at
    if not 0 <= age_s <= settings.endpoint_list_max_age:
        # A wall clock that was set back makes a stored list look younger than it is, or as if from the future. With a
        # negative age its real age is unknown, so the list is ignored like one that is too old.
        log.warning(
            log_events.STORED_ENDPOINT_LIST_IGNORED, age_s=round(age_s), good_for_s=settings.endpoint_list_max_age
        )
        return
    try:
        update = watch.restore(recovered.endpoint_list, recovered.list_received_at)
    except InvalidEndpointListError as error:
        log.warning(log_events.STORED_ENDPOINT_LIST_IGNORED, error=str(error))
        return
    max_age_s = max(
        MIN_RESTORED_AGE_S, RESTORED_DRAIN_GRACES * settings.deployment.safety.drain_grace / TICKS_PER_SECOND
    )
    withdrawn = sorted(
        name for name, withdrawn_at in recovered.withdrawn_at.items() if time.time() - withdrawn_at < max_age_s
    )
    host.core.restore_withdrawals(host.now(), withdrawn)
    log.info(
        log_events.ENDPOINT_LIST_RESTORED,
        epoch=recovered.epoch,
        endpoints=len(update.endpoints),
        age_s=round(age_s, 1),
        withdrawn=len(withdrawn),
    )
