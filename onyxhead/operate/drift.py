"""Where the members of a fleet differ: between controllers, between books and proxies, between views and files. No
I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any, NamedTuple

State = Mapping[str, Any]


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
    """What differs, by the members' own states; None stands for one that gave none."""
    found = [
        Difference("silent", name, "gave no state", False)
        for name, state in {**controllers, **agents}.items()
        if state is None
    ]
    known = {name: state for name, state in controllers.items() if state is not None}
    spoke = {name: state for name, state in agents.items() if state is not None}
    found += _lists(known)
    found += _backends(known)
    found += _proxies(known, spoke)
    return sorted(found)


def _lists(known: Mapping[str, State]) -> list[Difference]:
    versions = {name: state["list"]["version"] for name, state in known.items()}
    if len(set(versions.values())) <= 1:
        return []
    newest = max((version for version in versions.values() if version is not None), default=None)
    return [
        Difference("list", name, f"follows list {version}, the newest is {newest}", True)
        for name, version in versions.items()
        if version != newest
    ]


def _backends(known: Mapping[str, State]) -> list[Difference]:
    found = []
    names = sorted({backend for state in known.values() for backend in state["backends"]})
    for backend in names:
        said = {name: state["backends"].get(backend) for name, state in known.items()}
        for key in ("address", "ready", "draining", "withdrawn"):
            values = {name: own[key] for name, own in said.items() if own is not None}
            if len({str(value) for value in values.values()}) > 1:
                usual = Counter(map(str, values.values())).most_common(1)[0][0]
                odd = {name: value for name, value in values.items() if str(value) != usual}
                told = ", ".join(f"{name}: {value}" for name, value in sorted(odd.items()))
                found.append(Difference("backend", backend, f"{key} is {usual}, but {told}", key != "address"))
        missing = [name for name, own in said.items() if own is None]
        if missing and any(own is not None and own["ready"] for own in said.values()):
            found.append(Difference("backend", backend, f"not known to {', '.join(missing)}", True))
    return found


def _proxies(known: Mapping[str, State], spoke: Mapping[str, State]) -> list[Difference]:
    found = []
    leads: dict[str, list[str]] = {}
    for name, state in known.items():
        for proxy in state["proxies"]:
            leads.setdefault(proxy, []).append(name)
    for proxy, names in sorted(leads.items()):
        if len(names) > 1:
            found.append(Difference("proxy", proxy, f"counted by {' and '.join(sorted(names))}", True))
        if proxy not in spoke:
            continue
        agent = spoke[proxy]
        books = [known[name]["proxies"][proxy]["tag"] for name in names]
        if agent["tag"] not in books and any(books):
            found.append(Difference("proxy", proxy, f"holds {agent['tag'][:13]}, the books say {books[0][:13]}", True))
        if agent.get("files") not in (None, agent["tag"]):
            found.append(
                Difference(
                    "files",
                    proxy,
                    f"its files are of {str(agent['files'])[:13]}, its view is {agent['tag'][:13]}",
                    True,
                )
            )
    for proxy in sorted(spoke.keys() - leads.keys()):
        if known:
            found.append(Difference("proxy", proxy, "no controller that answered counts it", True))
    return found


def lasting_differences(first: list[Difference], second: list[Difference]) -> list[Difference]:
    """Of two looks a moment apart: what is in both, and what does not settle by itself."""
    before = {(each.kind, each.subject) for each in first}
    return [each for each in second if not each.transient or (each.kind, each.subject) in before]
