"""The directives of a parsed nginx configuration."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from onyxhead.fronts.nginx.words import unescape_word

SyntaxNode = dict[str, Any]
"""A directive or a file, in the form that crossplane's parser returns."""
MAX_SUMMARY_WORDS = 4


class Directive(NamedTuple):
    """One directive with its position and the unread syntax nodes of its block.

    `file_number` is the index of its file among the parsed files. `include_chain` holds the indexes of the files whose
    `include` directives lead to this file, the main file first."""

    name: str
    arguments: list[str]
    file: str
    line: int
    block: Sequence[SyntaxNode]
    file_number: int
    include_chain: tuple[int, ...]

    def summary(self) -> str:
        """Return the first words of the directive, which identify it in the report."""
        return " ".join([self.name, *self.arguments][:MAX_SUMMARY_WORDS])


def directive_from_node(node: SyntaxNode, file: str, file_number: int, include_chain: tuple[int, ...]) -> Directive:
    """Return the directive for a syntax node, with the escapes in its words resolved as nginx does."""
    return Directive(
        name=unescape_word(node["directive"]),
        arguments=[unescape_word(argument) for argument in node["args"]],
        file=file,
        line=node["line"],
        block=node.get("block", ()),
        file_number=file_number,
        include_chain=include_chain,
    )
