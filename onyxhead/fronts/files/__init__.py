"""The update stream from a controller to an agent, and the formats of the files that agents write for proxies."""
