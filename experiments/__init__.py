"""Tools for experiments with deployments larger or smaller than the recorded ones."""
