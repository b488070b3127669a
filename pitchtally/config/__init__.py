"""The platform's settings and the operators' policy, both checked as they are read."""
