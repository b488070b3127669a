"""The users' interface: submissions, states of jobs, cancellations."""
