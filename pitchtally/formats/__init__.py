"""How records are laid out in the state store, and when a new layout may be written.

`gate` tells whether every member reads the present format; `finished` and `pieces` lay out
what one value may not hold; `legacy` is the form of 0.5.1, needed until no deployment runs
it any more.
"""
