"""Tools for measurements at sizes that no recorded deployment has."""
