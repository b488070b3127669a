"""Commands to agents: choosing them, and calling agents to send stops without delay.

Starts are sent only in heartbeat responses: an agent drops a late response, whereas a delayed
command call could start a task minutes later. Stops and acknowledgements name an attempt, so a
late one is harmless; stops are also sent in calls to the agent (`sender`).
"""
