"""Wire structs, by counterpart."""
