"""`python -m onyxhead.node`: one controller on the platform, configured by its environment."""

from __future__ import annotations

import os
import sys

from onyxhead.node.serve import main

if __name__ == "__main__":
    sys.exit(main(dict(os.environ), lambda text: print(text, file=sys.stderr)))
