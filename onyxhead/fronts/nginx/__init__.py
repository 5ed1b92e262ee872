"""nginx blocks: carried over into records, and written from them."""
