"""Import of nginx configurations into the routing configuration, and its export as nginx blocks."""
