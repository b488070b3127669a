"""Which submissions share a transaction, and what follows from its outcome."""

from __future__ import annotations

import json

import pytest
import trio
import trio.testing

from pitchtally.api.submission_batcher import PendingSubmission, SubmissionBatcher
from pitchtally.api.validation import parse_job
from pitchtally.config import policy
from pitchtally.controller import Controller
from pitchtally.http import HttpError, Response
from pitchtally.state_store.client import Write

from ..harness.http_stub import Call, answer_calls
from ..harness.simulation import job, settings, submission


def test_submissions_with_different_fencing_tokens_share_no_transaction() -> None:
    """The transaction would check only one of the tokens for both submissions."""

    async def main() -> None:
        config = settings("n0")
        controller = Controller(config, policy.parse("", config))
        submission_batcher = SubmissionBatcher(controller.state_store, controller.replica)
        for number, token in enumerate((5, 9, 5)):
            key = f"pt/jobs/wk-{number}"
            submission_batcher.queued.append(
                PendingSubmission(key, Write(key, b"{}"), {key: 0, "pt/parts/1": token})
            )
        batches = []
        while submission_batcher.queued:
            batches.append([pending.key[-1] for pending in submission_batcher.take_batch()])
        assert batches == [["0", "2"], ["1"]]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_no_404_for_a_job_that_a_failed_precondition_has_shown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A failed precondition that shows the record to exist rules out a 404."""

    async def main() -> None:
        config = settings("n0")
        controller = Controller(config, policy.parse("", config))
        spec = parse_job(json.dumps(submission(job(1))).encode())
        controller.replica.revision = 10

        async def answer(call: Call) -> Response:
            if call.target == "/commit":
                return Response(409, b'{"failed":["pt/jobs/wk-000001"],"ledger":12}')
            if call.target.startswith("/follow"):
                return Response(200, b'{"ledger":12,"log":[]}')  # the record is missing
            raise HttpError("refused")

        async def poll() -> Response:
            return await controller.api.statuses.poll(spec.id)

        answer_calls(monkeypatch, answer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(controller.api.read_barrier.run)
            nursery.start_soon(controller.api.submission_batcher.run)
            assert (await controller.api.submissions.accept(spec)).status == 503
            assert (await poll()).status == 404  # the replica shows no record
            controller.replica.apply_committed(
                f"pt/jobs/{spec.id}", b'{"of":"a later version"}', 11
            )
            assert (await poll()).status == 503
            assert (await controller.api.cancellations.cancel(spec.id)).status == 503
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
