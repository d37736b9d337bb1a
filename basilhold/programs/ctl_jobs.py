"""Commands ``jobs``."""

import uuid
from urllib.parse import urlencode

import click

from basilhold.core import ClassName, Resources, TeamName
from basilhold.operators_api import (
    Explanation,
    JobAccepted,
    JobDetail,
    JobPage,
    JobSubmission,
    JobSummary,
)
from basilhold.programs.ctl_client import path_of
from basilhold.programs.ctl_output import Table, format_time
from basilhold.programs.ctl_session import CtlSession, pass_session

__all__ = ["jobs_group"]


@click.group("jobs")
def jobs_group() -> None:
    """Submit, watch and cancel jobs."""


@jobs_group.command("submit")
@click.option("--team", required=True)
@click.option("--class", "class_name", required=True)
@click.option("--tasks", type=click.IntRange(1, 100_000), default=1, show_default=True)
@click.option("--cores-milli", type=click.IntRange(1), required=True)
@click.option("--memory-bytes", type=click.IntRange(1), required=True)
@click.option("--gpus-milli", type=click.IntRange(0), default=0, show_default=True)
@click.option(
    "--run-time-ms",
    type=click.IntRange(0),
    default=0,
    show_default=True,
    help="Expected run time of a task; 0 if unknown.",
)
@click.option("--command", default="", help="Passed to the worker as it is.")
@click.option("--key", help="Idempotency key; a random one by default.")
@pass_session
def submit_job(
    session: CtlSession,
    team: str,
    class_name: str,
    tasks: int,
    cores_milli: int,
    memory_bytes: int,
    gpus_milli: int,
    run_time_ms: int,
    command: str,
    key: str | None,
) -> None:
    """Submit a job; repeating the command with the same key submits it once."""
    if key is None:
        key = str(uuid.uuid4())
        click.echo(f"idempotency key {key}; repeat with --key {key}", err=True)
    body = JobSubmission(
        TeamName(team),
        ClassName(class_name),
        Resources(cores_milli, memory_bytes, gpus_milli),
        tasks,
        run_time_ms,
        command,
    )
    headers = {"Idempotency-Key": key}
    value = session.client.send("POST", path_of("jobs"), JobAccepted, body, headers)
    row = (
        value.job_id,
        ", ".join(value.zones) or "-",
        "yes" if value.repeated else "no",
    )
    session.print(value, Table(("job", "zones", "repeated"), (row,)))


@jobs_group.command("status")
@click.argument("job_id")
@pass_session
def show_job(session: CtlSession, job_id: str) -> None:
    """Show a job and its tasks."""
    value = session.client.get(path_of("jobs", job_id), JobDetail)
    session.print(value, _task_table(value))


@jobs_group.command("cancel")
@click.argument("job_id")
@pass_session
def cancel_job(session: CtlSession, job_id: str) -> None:
    """Cancel a job; its running tasks are stopped."""
    path = path_of("jobs", job_id, "cancel")
    value = session.client.send("POST", path, JobDetail)
    session.print(value, _job_table((value.summary,)))


@jobs_group.command("explain")
@click.argument("job_id")
@pass_session
def explain_job(session: CtlSession, job_id: str) -> None:
    """Show what the waiting tasks of a job lack, and on how many workers."""
    value = session.client.get(path_of("jobs", job_id, "explain"), Explanation)
    rows = tuple(
        (str(reason.worker_count or "-"), reason.reason) for reason in value.reasons
    ) or (("0", f"nothing is lacking; {value.waiting_tasks} tasks wait"),)
    session.print(value, Table(("workers", "reason"), rows))


@jobs_group.command("list")
@click.option("--office", default="")
@click.option("--team", default="")
@click.option("--unfinished", is_flag=True, help="Only jobs with unfinished tasks.")
@click.option("--after", default="", help="Start after this job id.")
@click.option("--limit", type=click.IntRange(1, 500), default=100, show_default=True)
@pass_session
def list_jobs(
    session: CtlSession,
    office: str,
    team: str,
    unfinished: bool,
    after: str,
    limit: int,
) -> None:
    """List jobs in the order of their ids."""
    query = {"office": office, "team": team, "after": after, "limit": limit}
    query["unfinished"] = "true" if unfinished else "false"
    path = f"{path_of('jobs')}?{urlencode(query)}"
    value = session.client.get(path, JobPage)
    session.print(value, _job_table(value.jobs))
    if value.next_after:
        click.echo(f"more with --after {value.next_after}", err=True)


def _counts(summary: JobSummary) -> str:
    return ", ".join(
        f"{count.count} {count.state.value}" for count in summary.task_counts
    )


def _job_table(jobs: tuple[JobSummary, ...]) -> Table:
    columns = ("job", "team", "class", "zone", "submitted", "cancelled", "tasks")
    rows = tuple(
        (
            job.job_id,
            job.team,
            job.class_name,
            job.zone,
            format_time(job.submitted_unix_ms),
            "yes" if job.cancel_requested else "no",
            _counts(job),
        )
        for job in jobs
    )
    return Table(columns, rows)


def _task_table(detail: JobDetail) -> Table:
    columns = ("task", "state", "attempt", "worker", "reason")
    rows = tuple(
        (
            str(task.index),
            task.state.value,
            str(task.attempt),
            task.worker_id or "-",
            task.reason or "-",
        )
        for task in detail.tasks
    )
    if detail.tasks_omitted:
        rows += (("...", f"{detail.tasks_omitted} more", "", "", ""),)
    return Table(columns, rows)
