"""The users' API: submission, status and cancellation of jobs over HTTP.

Duty: validate requests, admit as many submissions as the state store can write, commit them in
groups, and answer from the replica only behind a read barrier.

State owned here: the admission queue, the submissions waiting for a group commit, and the
requests waiting at the read barrier. Only this package changes it. All of it is soft state: a
restarted controller starts without it, and users retry.

Invariant: a response that reports a job accepted, cancelled or unknown is based on a commit, or
on a read that was dispatched to the state store after the request arrived.
"""
