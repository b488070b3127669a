"""pitchtally: a fair, decentralised cluster scheduler."""

VERSION = "0.6.0"
