"""Updates to agents, and the files that they write for proxies."""
