"""Entry point of `python -m onyxhead.node`, which runs one node as its environment variables configure it."""

from __future__ import annotations

import os
import sys

from onyxhead.node.serve import main

if __name__ == "__main__":
    sys.exit(main(dict(os.environ), lambda text: print(text, file=sys.stderr)))
