"""Scaling out and in: machines launched and terminated at the cloud provider."""
