"""A controller: assigns backends to the proxies that join it, and keeps their tables up to date.

`core` is the state machine without I/O, `server` puts a running controller together. The modules around the core carry
its effects out and report to it: proxy streams, discovery, health checks, load reports, the fleet, operators' requests.
"""
