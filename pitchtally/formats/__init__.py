"""Layouts of records in the state store, and the gate for writing a new layout.

`gate` decides whether every member reads the current format. `finished_tasks`, `text_chunks`,
`machine_layout` and `quota_shares` are the layouts of the current format. `format_1` is that of
0.5.1, read and written until no deployment needs it any more.

State: the format in force and the quota shares, both from the replica; only records that the
store has committed change either. Invariant: a layout is written only once every member is known
to read it, and what was written under any layout and any limits stays readable.
"""
