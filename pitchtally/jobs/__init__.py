"""Jobs: their records, the index of all of them, and the writer of progress."""
