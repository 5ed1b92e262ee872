"""The command line: one module for each group of commands, output and requests in modules of their own."""
