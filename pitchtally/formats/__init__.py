"""How records are laid out in the state store, and when a new layout may be written.

`gate` tells whether every member reads the present format. `finished_tasks`, `text_chunks`,
`machine_layout` and `quota_shares` are its layouts; `format_1` is that of 0.5.1, read and
written until no deployment needs it any more.

State: the format in force and the quota shares, as the replica shows them; only records that
the store has committed change either. Invariant: a layout is written only once every member is
known to read it, and what was written under any layout and any limits stays readable.
"""
