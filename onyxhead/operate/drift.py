"""Where the members of a fleet differ: between controllers, between controllers and proxies, between a proxy's table
and its files. No I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any, NamedTuple

State = Mapping[str, Any]
"""A member's answer to `/v1/state`."""

COMPARED_FIELDS = ("address", "ready", "draining", "withdrawn")
"""What controllers should agree on for each backend."""
SHORT_TAG_LENGTH = 13


class Difference(NamedTuple):
    """One place where members differ.

    `transient` differences may be gone by themselves in a moment, as members hear of changes one after another.
    """

    kind: str
    subject: str
    description: str
    transient: bool

    def to_json(self) -> dict[str, Any]:
        """Return the difference under its names in the command's JSON output."""
        return {"what": self.kind, "where": self.subject, "told": self.description, "settles": self.transient}


def find_differences(controllers: Mapping[str, State | None], agents: Mapping[str, State | None]) -> list[Difference]:
    """Return what differs by the members' own states, in order; None stands for a member that gave none."""
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
        Difference("list", name, f"follows list {version}, the newest is {newest}", True)
        for name, version in versions.items()
        if version != newest
    ]


def _compare_backends(controllers: Mapping[str, State]) -> list[Difference]:
    differences = []
    for backend in sorted({backend for state in controllers.values() for backend in state["backends"]}):
        views = {name: state["backends"].get(backend) for name, state in controllers.items()}
        known = {name: view for name, view in views.items() if view is not None}
        differences += [
            Difference("backend", backend, description, field != "address")
            for field in COMPARED_FIELDS
            if (description := _describe_minority(field, known)) is not None
        ]
        missing = [name for name, view in views.items() if view is None]
        if missing and any(view["ready"] for view in known.values()):
            differences.append(Difference("backend", backend, f"not known to {', '.join(missing)}", True))
    return differences


def _describe_minority(field: str, views: Mapping[str, State]) -> str | None:
    """Return which controllers have another value than most, None if all have the same."""
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
            differences.append(Difference("proxy", proxy, f"counted by {' and '.join(sorted(names))}", True))
        if proxy in agents:
            recorded_tags = [controllers[name]["proxies"][proxy]["tag"] for name in names]
            differences += _compare_tags(proxy, agents[proxy], recorded_tags)
    if controllers:
        differences += [
            Difference("proxy", proxy, "no controller that answered counts it", True)
            for proxy in sorted(agents.keys() - owners.keys())
        ]
    return differences


def _compare_tags(proxy: str, agent: State, recorded_tags: list[str]) -> list[Difference]:
    """Compare the tag of a proxy's table with those that controllers recorded, and with that of its files."""
    differences = []
    tag, files_tag = agent["tag"], agent.get("files")
    if tag not in recorded_tags and any(recorded_tags):
        description = f"holds {tag[:SHORT_TAG_LENGTH]}, the books say {recorded_tags[0][:SHORT_TAG_LENGTH]}"
        differences.append(Difference("proxy", proxy, description, True))
    if files_tag not in (None, tag):
        description = f"its files are of {str(files_tag)[:SHORT_TAG_LENGTH]}, its view is {tag[:SHORT_TAG_LENGTH]}"
        differences.append(Difference("files", proxy, description, True))
    return differences


def lasting_differences(first: list[Difference], second: list[Difference]) -> list[Difference]:
    """Of two comparisons a moment apart, return those in both, and those that are not transient."""
    before = {(each.kind, each.subject) for each in first}
    return [each for each in second if not each.transient or (each.kind, each.subject) in before]
