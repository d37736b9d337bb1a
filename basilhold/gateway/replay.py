"""Answers a repeat of a finished request from its record."""

from basilhold.gateway.answers import CallerSink
from basilhold.gateway.once_results import Replay
from basilhold.ports import ObjectStore, ResponseHead
from basilhold.requests import Outcome, Problem, ProblemKind, RequestEnd
from basilhold.requests.once import chunk_name

__all__ = ["replay_answer"]


async def replay_answer(
    replay: Replay, objects: ObjectStore, sink: CallerSink
) -> RequestEnd:
    """Pass a stored answer on.

    Returns
    -------
    RequestEnd
        With a problem if the answer can't be read to its end.
    """
    answer = replay.answer
    head = ResponseHead(answer.status, answer.headers)
    first = answer.body
    if answer.chunk_count:
        read = await objects.get(chunk_name(replay.key, replay.write_id, 0))
        if read.is_error() or read.ok is None:
            return _unreadable()
        first = read.ok
    sink.set_outcome(Outcome.RAN, replayed=True)
    await sink.start(head)
    if first:
        await sink.write(first)
    passed_bytes = len(first)
    for index in range(1, answer.chunk_count):
        read = await objects.get(chunk_name(replay.key, replay.write_id, index))
        if read.is_error() or read.ok is None:
            return _unreadable()
        passed_bytes += len(read.ok)
        await sink.write(read.ok)
    if passed_bytes != answer.length_bytes:
        return _unreadable()
    return RequestEnd(Outcome.RAN, replayed=True)


def _unreadable() -> RequestEnd:
    problem = Problem(
        ProblemKind.STORE_UNAVAILABLE,
        Outcome.RAN,
        "the request has run, but its stored answer can't be read now",
        retry_after_s=2,
    )
    return RequestEnd(Outcome.RAN, problem)
