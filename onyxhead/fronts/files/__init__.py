"""The file front: pushes of whole and changed files to agents, and the files that proxies read."""
