"""Commands to agents: which ones, and the calls that carry stops at once.

Starts travel in responses to heartbeats alone: an agent drops a late response, whereas a
command held up on its way could run minutes later. Stops and acknowledgements name an attempt,
so a late one is harmless; stops also go in calls of our own (`sender`).
"""
