"""Filters for `get` and `get-config`: subtree (RFC 6241, section 6) and XPath (section 8.9)."""

from __future__ import annotations

from lxml import etree

from onyxhead.controller.configuration.tree import RpcError
from onyxhead.fronts.netconf.xml_elements import (
    FLEET_NAMESPACE,
    Element,
    copy_element,
    find_child,
    local_name,
    namespace_of,
    new_element,
    text_of,
)

DEFAULT_XPATH_NAMESPACES = {"oh": FLEET_NAMESPACE}
"""Prefixes for the XPath expression of a filter that declares none itself."""
LIST_KEY_TAGS = {f"{{{FLEET_NAMESPACE}}}{key}" for key in ("name", "id")}


def filtered_data(request: Element, roots: list[Element]) -> Element:
    """Return a `data` element with the parts of `roots` that the request's filter selects, or all without a filter."""
    data = new_element("data")
    data.extend(_select(find_child(request, "filter"), roots))
    return data


def _select(filter_element: Element | None, roots: list[Element]) -> list[Element]:
    if filter_element is None:
        return roots
    match filter_element.get("type", "subtree"):
        case "xpath":
            return _select_by_xpath(filter_element, roots)
        case "subtree":
            return _select_by_subtrees(filter_element, roots)
        case filter_type:
            raise RpcError(
                "bad-attribute", f"unsupported filter type {filter_type!r}", kind="protocol", bad_attribute="type"
            )


def _select_by_subtrees(filter_element: Element, roots: list[Element]) -> list[Element]:
    """Return the selected part of each root. The first subtree of the filter that selects anything there decides."""
    selected = []
    for root in roots:
        matches = (filter_subtree(root, subtree) for subtree in filter_element)
        match = next((match for match in matches if match is not None), None)
        if match is not None:
            selected.append(match)
    return selected


def filter_subtree(data: Element, subtree: Element) -> Element | None:
    """Return the part of a data element that one subtree of a filter selects, or None if it selects nothing."""
    if local_name(subtree) != local_name(data):
        return None
    if namespace_of(subtree) and namespace_of(subtree) != namespace_of(data):
        return None
    content_matches = [child for child in subtree if not len(child) and text_of(child)]
    if not all(_contains(data, content_match) for content_match in content_matches):
        return None
    selections = [child for child in subtree if child not in content_matches]
    if not selections:
        return data
    selected = etree.Element(data.tag, nsmap=data.nsmap)
    for child in data:
        if any(local_name(child) == local_name(content_match) for content_match in content_matches):
            selected.append(copy_element(child))
            continue
        matches = (filter_subtree(child, selection) for selection in selections)
        match = next((match for match in matches if match is not None), None)
        if match is not None:
            selected.append(copy_element(match))
    return selected if len(selected) else None


def _contains(data: Element, content_match: Element) -> bool:
    return any(
        local_name(child) == local_name(content_match) and text_of(child) == text_of(content_match) for child in data
    )


def _select_by_xpath(filter_element: Element, roots: list[Element]) -> list[Element]:
    """Return the selected elements with their descendants, their ancestors, and the keys of enclosing list entries."""
    document = new_element("root", "")
    document.extend(roots)
    selected = _evaluate_xpath(filter_element, document)
    kept = set(selected)
    for element in selected:
        kept |= set(element.iter()) | set(element.iterancestors())
    for element in list(document.iter()):
        parent = element.getparent()
        is_key = parent in kept and element.tag in LIST_KEY_TAGS
        if element not in kept and parent is not None and not is_key:
            parent.remove(element)
    return list(document)


def _evaluate_xpath(filter_element: Element, document: Element) -> list[Element]:
    namespaces = {prefix: uri for prefix, uri in (filter_element.nsmap or {}).items() if prefix}
    try:
        selected = document.xpath(filter_element.get("select", ""), namespaces=namespaces or DEFAULT_XPATH_NAMESPACES)
    except etree.XPathError as error:
        raise RpcError("invalid-value", f"invalid XPath expression: {error}", kind="protocol") from error
    if not isinstance(selected, list) or not all(etree.iselement(item) for item in selected):
        raise RpcError("invalid-value", "the result of the XPath expression is not a set of elements", kind="protocol")
    return selected
