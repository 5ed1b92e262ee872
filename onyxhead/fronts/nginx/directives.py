"""Directives of a parsed nginx configuration."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from onyxhead.fronts.nginx.words import unescape_word

SyntaxNode = dict[str, Any]
"""A directive, or a file, as crossplane's parser returns it."""
MAX_SUMMARY_WORDS = 4


class Directive(NamedTuple):
    """One directive, where it stands, and the unread nodes of its block.

    `file_number` and `include_chain` are the numbers of its file and of the files that lead to it by `include`."""

    name: str
    arguments: list[str]
    file: str
    line: int
    block: Sequence[SyntaxNode]
    file_number: int
    include_chain: tuple[int, ...]

    def summary(self) -> str:
        """Return the first words of the directive."""
        return " ".join([self.name, *self.arguments][:MAX_SUMMARY_WORDS])


def directive_from_node(node: SyntaxNode, file: str, file_number: int, include_chain: tuple[int, ...]) -> Directive:
    """Return the directive of a parser's node, with its words as nginx reads them."""
    return Directive(
        name=unescape_word(node["directive"]),
        arguments=[unescape_word(argument) for argument in node["args"]],
        file=file,
        line=node["line"],
        block=node.get("block", ()),
        file_number=file_number,
        include_chain=include_chain,
    )
