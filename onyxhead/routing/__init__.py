"""Request routing: virtual hosts, locations, and the pool that a request is forwarded to."""
