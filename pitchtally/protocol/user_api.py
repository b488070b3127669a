"""The users' API: jobs and their states.

Only this module maps the names on the wire (`vintage`, `crew`, ...) to the attribute names used in
the code.
"""

from __future__ import annotations

from msgspec import Struct, field

# Values of `JobSpec.kind`.
ARRAY = "sweep"  # independent tasks
GANG = "gang"  # tasks that start together or not at all
SERVICE = "standing"  # tasks that run until their user cancels the job

# Values of `JobSpec.rank`, a job's priority, from highest to lowest.
RANKS = ("production", "urgent", "standard", "idle")

# Values of `JobView.state`; the others are `agent_api.RUNNING` and `jobs.job_record.DONE`.
PENDING = "pending"  # no task is running
WITHDRAWN = "withdrawn"  # cancelled


class JobSpec(Struct, frozen=True, omit_defaults=True):
    """A job as submitted; `cpus`, `gpus` and `memory` are per task."""

    id: str = field(name="ref")
    job_class: str = field(name="vintage")  # jobs with the same objectives and similar runtimes
    team: str = field(name="crew")
    kind: str = field(name="cut")
    rank: str = field(name="rank")
    tasks: int = field(name="rows")
    cpus: float = field(name="vcpus")
    gpus: float = field(name="cards")
    memory: float = field(name="memGb")  # GiB
    image: str = field(name="cask", default="")
    image_gb: float = field(name="pullGb", default=0.0)
    types: tuple[str, ...] | None = field(name="presses", default=None)  # None: any machine type
    zone: str | None = field(name="parcel", default=None)  # None: any zone
    one_zone: bool = field(name="oneZone", default=False)  # all tasks in the same zone
    # At most half of the tasks, rounded up, may run in the same zone.
    spread: bool = field(name="spread", default=False)
    spot: bool = field(name="gleaning", default=False)  # whether tasks may run on spot instances
    estimate: float = field(name="ripenS", default=1.0)  # expected runtime of a task, in seconds
    checkpoint_interval: float = field(name="rackS", default=0.0)  # seconds; 0: no checkpoints
    checkpoint_grace: float = field(name="bottleS", default=0.0)  # seconds to write a checkpoint
    deadline: float | None = field(name="harvestS", default=None)  # seconds after acceptance

    @property
    def is_service(self) -> bool:
        """Whether the job's tasks run until its user cancels it."""
        return self.kind == SERVICE


class JobView(Struct, omit_defaults=True):
    """A job's state as returned to users."""

    id: str = field(name="ref")
    state: str = field(name="stage")
    done: int | None = None  # number of finished tasks
    running: int | None = None  # number of running tasks
