"""What operators see: logfmt lines, the decision log, counters, supervised loops."""
