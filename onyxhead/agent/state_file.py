"""Codec of the agent's state file: its table view, and the highest fencing token that it has accepted."""

from __future__ import annotations

import json

from onyxhead.agent.errors import CorruptStateError
from onyxhead.tables.view import View

STATE_FILE_NAME = "view.json"

# Members of the stored JSON object.
ETAG = "tag"
TOKEN = "token"
VIEW = "view"


def encode_state(view: View, token: int = 0) -> bytes:
    """Return the content of the state file."""
    state = {ETAG: view.etag, TOKEN: token, VIEW: view.to_document()}
    return json.dumps(state, separators=(",", ":")).encode() + b"\n"


def decode_state(body: bytes) -> tuple[View, int]:
    """Return the view and the fencing token in a state file.

    Raise CorruptStateError for an incomplete or inconsistent file, which is never used in part.
    """
    try:
        state = json.loads(body)
        view, token = View.from_document(state[VIEW]), state.get(TOKEN, 0)
        consistent = state[ETAG] == view.etag
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise CorruptStateError(str(error)) from error
    if not consistent or type(token) is not int or token < 0:
        raise CorruptStateError("the entity tag does not match the view, or the token is not a natural number")
    return view, token
