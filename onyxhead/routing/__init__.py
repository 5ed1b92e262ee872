"""Request routing: virtual hosts, locations, and the pool to which a request is forwarded."""
