"""Small stand-ins for all that is not this project's: clients, proxies, backends, discovery, the network between.

Each runs as a process of its own (`python -m onyxhead.standins.run KIND`, its parameters as one line of JSON on
standard input, then faults as further lines) and records what its sockets carried."""
