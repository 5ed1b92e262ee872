"""Differences between the states of a fleet's members. No I/O.

Controllers are compared with each other and with the proxies that joined at them; each proxy's view is compared with
the files that its agent wrote.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any, NamedTuple

State = Mapping[str, Any]
"""A member's answer to `/v1/state`."""

COMPARED_FIELDS = ("address", "ready", "draining", "withdrawn")
"""Fields of a backend that should have the same value at all controllers."""
SHORT_TAG_LENGTH = 13


class Difference(NamedTuple):
    """A difference between members about one subject: a member, a backend or a proxy.

    Members receive changes one after another, so a `transient` difference may vanish within moments without any action.
    """

    kind: str
    subject: str
    description: str
    transient: bool

    def to_json(self) -> dict[str, Any]:
        """Return the difference with the field names of the `compare` command's JSON output."""
        return {"what": self.kind, "where": self.subject, "told": self.description, "settles": self.transient}


def find_differences(controllers: Mapping[str, State | None], agents: Mapping[str, State | None]) -> list[Difference]:
    """Return the differences between the members' states, sorted. A state is None if the member did not answer."""
    differences = [
        Difference("silent", name, "gave no state", False)
        for name, state in {**controllers, **agents}.items()
        if state is None
    ]
    known_controllers = {name: state for name, state in controllers.items() if state is not None}
    known_agents = {name: state for name, state in agents.items() if state is not None}
    differences += _compare_endpoint_lists(known_controllers)
    differences += _compare_backends(known_controllers)
    differences += _compare_proxies(known_controllers, known_agents)
    return sorted(differences)


def _compare_endpoint_lists(controllers: Mapping[str, State]) -> list[Difference]:
    versions = {name: state["list"]["version"] for name, state in controllers.items()}
    if len(set(versions.values())) <= 1:
        return []
    newest = max((version for version in versions.values() if version is not None), default=None)
    return [
        Difference("list", name, f"uses endpoint list {version}, the newest is {newest}", True)
        for name, version in versions.items()
        if version != newest
    ]


def _compare_backends(controllers: Mapping[str, State]) -> list[Difference]:
    differences = []
    for backend in sorted({backend for state in controllers.values() for backend in state["backends"]}):
        views = {name: state["backends"].get(backend) for name, state in controllers.items()}
        known_views = {name: view for name, view in views.items() if view is not None}
        differences += [
            Difference("backend", backend, description, field != "address")
            for field in COMPARED_FIELDS
            if (description := _describe_minority(field, known_views)) is not None
        ]
        missing = [name for name, view in views.items() if view is None]
        if missing and any(view["ready"] for view in known_views.values()):
            differences.append(Difference("backend", backend, f"not known to {', '.join(missing)}", True))
    return differences


def _describe_minority(field: str, views: Mapping[str, State]) -> str | None:
    """Describe the controllers whose value differs from the most common one; return None if all values are equal."""
    values = {name: str(view[field]) for name, view in views.items()}
    if len(set(values.values())) <= 1:
        return None
    majority = Counter(values.values()).most_common(1)[0][0]
    others = ", ".join(f"{name}: {value}" for name, value in sorted(values.items()) if value != majority)
    return f"{field} is {majority}, but {others}"


def _compare_proxies(controllers: Mapping[str, State], agents: Mapping[str, State]) -> list[Difference]:
    differences = []
    owners: dict[str, list[str]] = {}
    for name, state in controllers.items():
        for proxy in state["proxies"]:
            owners.setdefault(proxy, []).append(name)
    for proxy, names in sorted(owners.items()):
        if len(names) > 1:
            differences.append(
                Difference("proxy", proxy, f"joined at several controllers: {' and '.join(sorted(names))}", True)
            )
        if proxy in agents:
            recorded_tags = [controllers[name]["proxies"][proxy]["tag"] for name in names]
            differences += _compare_tags(proxy, agents[proxy], recorded_tags)
    if controllers:
        differences += [
            Difference("proxy", proxy, "not joined at any controller that answered", True)
            for proxy in sorted(agents.keys() - owners.keys())
        ]
    return differences


def _compare_tags(proxy: str, agent: State, recorded_tags: list[str]) -> list[Difference]:
    """Compare the tag of a proxy's view with the tags that controllers recorded and with that of its files."""
    differences = []
    tag, files_tag = agent["tag"], agent.get("files")
    if tag not in recorded_tags and any(recorded_tags):
        description = (
            f"holds view {tag[:SHORT_TAG_LENGTH]}, its controller recorded {recorded_tags[0][:SHORT_TAG_LENGTH]}"
        )
        differences.append(Difference("proxy", proxy, description, True))
    if files_tag not in (None, tag):
        description = f"its files hold view {str(files_tag)[:SHORT_TAG_LENGTH]}, it uses view {tag[:SHORT_TAG_LENGTH]}"
        differences.append(Difference("files", proxy, description, True))
    return differences


def lasting_differences(first: list[Difference], second: list[Difference]) -> list[Difference]:
    """Return the second comparison's differences, without those that are likely to vanish.

    A transient difference is kept only if the first comparison shows one of the same kind and subject.
    """
    seen_before = {(difference.kind, difference.subject) for difference in first}
    return [
        difference
        for difference in second
        if not difference.transient or (difference.kind, difference.subject) in seen_before
    ]
