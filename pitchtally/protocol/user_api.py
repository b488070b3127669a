"""What users send and receive: jobs and their states.

Names on the wire (`vintage`, `crew`, ...) are mapped to the field's terms here, and nowhere else.
"""

from __future__ import annotations

from msgspec import Struct, field

# Kinds of jobs, `JobSpec.kind`.
ARRAY = "sweep"  # independent tasks
GANG = "gang"  # tasks that start together or not at all
SERVICE = "standing"  # tasks that run until their user cancels the job

# Values of `JobSpec.rank`, highest priority first.
RANKS = ("production", "urgent", "standard", "idle")

# Values of `JobView.state` beside "running" (`agent_api.RUNNING`) and "done" (`jobs.job_record`).
PENDING = "pending"  # no task is running
WITHDRAWN = "withdrawn"  # cancelled


class JobSpec(Struct, frozen=True, omit_defaults=True):
    """A job as its user submits it; `cpus`, `gpus` and `memory` are for each task."""

    id: str = field(name="ref")
    job_class: str = field(name="vintage")  # jobs with the same objectives, alike in length
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
    zone: str | None = field(name="parcel", default=None)  # None: any
    one_zone: bool = field(name="oneZone", default=False)  # all tasks in the same zone
    spread: bool = field(name="spread", default=False)  # at most half of the tasks in a zone
    spot: bool = field(name="gleaning", default=False)  # spot instances are allowed
    estimate: float = field(name="ripenS", default=1.0)  # seconds that a task runs
    checkpoint_interval: float = field(
        name="rackS", default=0.0
    )  # seconds between checkpoints, 0: none
    checkpoint_grace: float = field(
        name="bottleS", default=0.0
    )  # seconds of grace to write a checkpoint
    deadline: float | None = field(name="harvestS", default=None)  # seconds after acceptance

    @property
    def is_service(self) -> bool:
        """Whether its tasks run until its user cancels the job."""
        return self.kind == SERVICE


class JobView(Struct, omit_defaults=True):
    """A job's state as its user sees it."""

    id: str = field(name="ref")
    state: str = field(name="stage")
    done: int | None = None  # tasks
    running: int | None = None  # tasks
