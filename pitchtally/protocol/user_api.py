"""What users send and get: jobs and their states.

Names on the wire (`vintage`, `crew`, ...) are mapped to the field's terms here, and nowhere else.
"""

from __future__ import annotations

from msgspec import Struct, field

ARRAY = "sweep"
GANG = "gang"
SERVICE = "standing"  # tasks that run until their user cancels the job
RANKS = ("production", "urgent", "standard", "idle")

PENDING = "pending"
WITHDRAWN = "withdrawn"


class JobSpec(Struct, frozen=True, omit_defaults=True):
    """What a user asked for."""

    id: str = field(name="ref")
    job_class: str = field(name="vintage")
    team: str = field(name="crew")
    kind: str = field(name="cut")
    rank: str = field(name="rank")
    tasks: int = field(name="rows")
    cpus: float = field(name="vcpus")
    gpus: float = field(name="cards")
    memory: float = field(name="memGb")
    image: str = field(name="cask", default="")
    image_gb: float = field(name="pullGb", default=0.0)
    types: tuple[str, ...] | None = field(name="presses", default=None)
    zone: str | None = field(name="parcel", default=None)
    one_zone: bool = field(name="oneZone", default=False)
    spread: bool = field(name="spread", default=False)
    spot: bool = field(name="gleaning", default=False)
    estimate: float = field(name="ripenS", default=1.0)
    checkpoint: float = field(name="rackS", default=0.0)
    save: float = field(name="bottleS", default=0.0)
    deadline: float | None = field(name="harvestS", default=None)

    @property
    def is_service(self) -> bool:
        """Whether its tasks run until its user cancels the job."""
        return self.kind == SERVICE


class JobView(Struct, omit_defaults=True):
    """What a user sees of a job."""

    id: str = field(name="ref")
    state: str = field(name="stage")
    done: int | None = None
    running: int | None = None
