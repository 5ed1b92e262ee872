"""The controller: assigns backends to the proxies that join it and keeps their tables up to date.

`core` is the state machine without I/O; `server` assembles a running controller. The other modules report events to the
core and carry out its effects: proxy streams, discovery, health checks, load reports, the fleet and operator requests.
"""
