"""Small stand-ins for what is around a controller: state store, cloud, agents.

Built from the protocol's pages for tests and for trying the service out. They can
delay, drop, repeat and refuse, and `Rules` watches what a task may never do.
"""
