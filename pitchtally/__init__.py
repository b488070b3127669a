"""pitchtally: a fair, decentralised cluster scheduler."""

VERSION = "0.5.1"
