"""Tests of the state that is reduced from log records."""

from hypothesis import given
from hypothesis import strategies as st

from carawayroute.state import State, as_copy
from carawayroute_schema import carawayroute_pb2 as pb

names = st.sampled_from(["x", "y", "z"])
numbers = st.integers(min_value=0, max_value=4)

bodies = st.one_of(
    st.builds(
        lambda base: {"configuration": pb.ConfigurationChange(version=base + 1, based_on=base)},
        numbers,
    ),
    st.builds(
        lambda name, again: {
            "job_accepted": pb.JobAccepted(
                job_id=f"j-{name}-{again}", team="t", request_id=name, kind="k"
            )
        },
        names,
        st.integers(0, 1),
    ),
    st.builds(
        lambda name, again: {"job_started": pb.JobStarted(job_id=f"j-{name}-0", attempt_id=again)},
        names,
        names,
    ),
    st.builds(
        lambda name, outcome: {
            "job_finished": pb.JobFinished(job_id=f"j-{name}-0", outcome=outcome)
        },
        names,
        st.sampled_from([pb.DONE, pb.CANCELLED]),
    ),
    st.builds(lambda name: {"cancel_requested": pb.CancelRequested(job_id=f"j-{name}-0")}, names),
    st.builds(
        lambda key, claim, number: {"claim": pb.Claim(key=key, claim_id=claim, round=number)},
        names,
        names,
        st.integers(1, 2),
    ),
    st.builds(
        lambda key, claim, outcome: {
            "claim_outcome": pb.ClaimOutcome(key=key, claim_id=claim, outcome=outcome)
        },
        names,
        st.sampled_from(["x-1", "y-1", "x-2"]),
        st.sampled_from([pb.DONE, pb.NOT_RUN]),
    ),
    st.builds(
        lambda holder, number: {"term": pb.Term(region="r", number=number, holder=holder)},
        names,
        numbers,
    ),
    st.builds(
        lambda name, on: {"drain": pb.InstanceDrain(instance=name, draining=on)},
        names,
        st.booleans(),
    ),
)


def stored(offset: int, body: dict, at_ms: int = 0) -> pb.OffsetRecord:
    """Return a record as read from the log."""
    record = pb.LogRecord(record_id=f"r-{offset}", **body)
    data = record.SerializeToString()
    return pb.OffsetRecord(offset=offset, appended_ms=at_ms or offset * 10, data=data)


def build(records: list[pb.OffsetRecord], offset: int = 0) -> State:
    """Return the state after applying records."""
    state = State(offset)
    for item in records:
        state.apply(item)
    return state


def as_written_in_sequence(sequence: list[dict]) -> list[dict]:
    """Return bodies adjusted to what writers can write: versions, terms and rounds in sequence."""
    state = State()
    written = []
    for index, body in enumerate(sequence):
        change = body.get("configuration")
        if change is not None:
            base = min(change.based_on, state.change.version)
            body = {"configuration": pb.ConfigurationChange(version=base + 1, based_on=base)}
        term = body.get("term")
        if term is not None:
            held = state.terms_by_region.get("r")
            number = min(term.number, held.number if held else 0) + 1
            body = {"term": pb.Term(region="r", number=number, holder=term.holder)}
        claim = body.get("claim")
        if claim is not None:
            entry = state.claims_by_key.get(claim.key)
            unrun = entry is not None and entry.outcome and entry.outcome.outcome == pb.NOT_RUN
            claim_round = entry.claim.round + 1 if unrun else entry.claim.round if entry else 1
            number = min(claim.round, claim_round)
            claim_id = f"{claim.claim_id}-{number}"
            body = {"claim": pb.Claim(key=claim.key, claim_id=claim_id, round=number)}
        state.apply(stored(index, body))
        written.append(body)
    return written


def observable_state(state: State) -> dict:
    """Return the parts of a state that other modules read."""
    return {
        "version": state.change.version,
        "jobs": {
            job_id: (
                job.started.attempt_id if job.started and not job.finished else "",
                job.cancelled and not job.finished,
                job.finished.outcome if job.finished else 0,
            )
            for job_id, job in state.jobs_by_id.items()
        },
        "claims": {
            key: (
                entry.claim.claim_id,
                entry.claim.round,
                entry.outcome.outcome if entry.outcome else 0,
            )
            for key, entry in state.claims_by_key.items()
        },
        "terms": {
            region: (term.number, term.holder) for region, term in state.terms_by_region.items()
        },
        "draining": state.draining,
    }


@given(st.lists(bodies, max_size=40))
def test_applying_records_is_idempotent(sequence: list[dict]) -> None:
    sequence = as_written_in_sequence(sequence)
    once = [stored(index, body) for index, body in enumerate(sequence)]
    twice = [stored(index, body) for index, body in enumerate(b for a in sequence for b in (a, a))]
    assert observable_state(build(once)) == observable_state(build(twice))


@given(st.lists(bodies, max_size=40), st.data())
def test_restore_from_snapshot_gives_same_state(sequence: list[dict], data) -> None:
    records = [stored(index, body) for index, body in enumerate(as_written_in_sequence(sequence))]
    whole = build(records)
    at = data.draw(st.integers(0, len(records)))
    peer = build(records[:at])
    restarted = State.restore(peer.export(), peer.offset)
    for item in records:
        restarted.apply(item)
    assert observable_state(restarted) == observable_state(whole)


@given(st.lists(bodies, max_size=40), st.data())
def test_rebuild_after_retention_gives_same_state(sequence: list[dict], data) -> None:
    records = [stored(index, body) for index, body in enumerate(as_written_in_sequence(sequence))]
    whole = build(records)
    copies = [as_copy(item) for item in whole.export()]
    for index, copy in enumerate(copies):
        copy.offset = len(records) + index
    earliest = data.draw(st.integers(0, len(records)))
    late = build(records[earliest:] + copies, earliest)
    for item in copies:
        whole.apply(item)
    assert observable_state(late) == observable_state(whole)


@given(st.binary(max_size=200))
def test_undecodable_records_are_skipped(data: bytes) -> None:
    state = State()
    state.apply(pb.OffsetRecord(offset=0, data=data))
    assert state.offset == 1


def test_compaction_removes_only_ended_jobs() -> None:
    records = [
        stored(0, {"job_accepted": pb.JobAccepted(job_id="a", team="t", request_id="1")}, 10),
        stored(1, {"job_accepted": pb.JobAccepted(job_id="b", team="t", request_id="2")}, 10),
        stored(2, {"job_finished": pb.JobFinished(job_id="a", outcome=pb.DONE)}, 20),
        stored(3, {"drain": pb.InstanceDrain(instance="i")}, 5_000),
    ]
    state = build(records)
    state.compact(1_000)
    assert set(state.jobs_by_id) == {"b"}
    assert state.job_by_request("t", "1") is None


def test_oldest_live_records_are_due_first() -> None:
    records = [
        stored(index, {"job_accepted": pb.JobAccepted(job_id=f"{index}", request_id=f"{index}")})
        for index in range(100)
    ]
    due = build(records).due_for_reappend(500, limit=5)
    assert [item.offset for item in due] == [0, 1, 2, 3, 4]
