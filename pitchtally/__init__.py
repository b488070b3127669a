"""pitchtally: a fair, decentralised cluster scheduler."""

VERSION = "0.4.0"
