"""Answers to repeats of finished requests, read from their records."""

from basilhold.gateway.answers import CallerSink
from basilhold.gateway.once_results import Replay
from basilhold.ports import ObjectStore, ResponseHead
from basilhold.requests import Outcome, Problem, ProblemKind, RequestEnd
from basilhold.requests.once import chunk_name

__all__ = ["replay_answer"]


async def replay_answer(
    replay: Replay, objects: ObjectStore, sink: CallerSink
) -> RequestEnd:
    """Send a stored answer to the caller.

    Parameters
    ----------
    replay : Replay
    objects : ObjectStore
        Holds the body of an answer that is too large for a record.
    sink : CallerSink

    Returns
    -------
    RequestEnd
        Has a problem if the answer can't be read completely; part of it may have been
        sent by then.
    """
    answer = replay.answer
    head = ResponseHead(answer.status, answer.headers)
    first_chunk = answer.body
    if answer.chunk_count:
        read = await objects.get(chunk_name(replay.key, replay.write_id, 0))
        if read.is_error() or read.ok is None:
            return _unreadable_answer_end()
        first_chunk = read.ok
    sink.set_outcome(Outcome.RAN, replayed=True)
    await sink.start(head)
    if first_chunk:
        await sink.write(first_chunk)
    sent_bytes = len(first_chunk)
    for index in range(1, answer.chunk_count):
        read = await objects.get(chunk_name(replay.key, replay.write_id, index))
        if read.is_error() or read.ok is None:
            return _unreadable_answer_end()
        sent_bytes += len(read.ok)
        await sink.write(read.ok)
    if sent_bytes != answer.length_bytes:
        return _unreadable_answer_end()
    return RequestEnd(Outcome.RAN, replayed=True)


def _unreadable_answer_end() -> RequestEnd:
    problem = Problem(
        ProblemKind.STORE_UNAVAILABLE,
        Outcome.RAN,
        "the request has run, but its stored answer can't be read now",
        retry_after_s=2,
    )
    return RequestEnd(Outcome.RAN, problem)
