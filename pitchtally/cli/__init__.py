"""The command line: the platform's entry, and the commands for people."""
