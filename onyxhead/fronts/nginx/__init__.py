"""Import and export of nginx configurations: blocks carried over into routing records, and written from them."""
