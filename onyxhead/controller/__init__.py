"""The daemon: hosts the module, paces the channel, keeps the books and carries out what is decided."""
