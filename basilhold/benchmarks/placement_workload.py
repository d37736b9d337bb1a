"""Generated workers and jobs for the placement benchmarks."""

import random
from collections.abc import Iterator

import msgspec

from basilhold.core import (
    ClassKind,
    ClassName,
    JobId,
    JobRecord,
    JobSpec,
    OfficeName,
    Resources,
    RestartPolicy,
    TaskRecord,
    Team,
    TeamName,
    WorkerId,
    WorkerRecord,
    ZoneName,
)

__all__ = ["DEPLOYMENTS", "Deployment", "JobTemplate", "WorkloadGenerator"]

GIB = 1 << 30


class Deployment(msgspec.Struct, frozen=True):
    """Workers of one deployment, as in the size tables of the design.

    Parameters
    ----------
    name : str
    plain_count, gpu_count : int
        Workers without and with GPUs.
    plain : Resources
        Capacity of a worker without GPUs.
    gpu : Resources
        Capacity of a worker with GPUs.
    memory_per_core_gib : tuple of float
        Memory per core that tasks declare, in GiB.
    teams : int
    """

    name: str
    plain_count: int
    gpu_count: int
    plain: Resources
    gpu: Resources
    memory_per_core_gib: tuple[float, ...]
    teams: int

    def quotas(self) -> tuple[Team, ...]:
        """Return teams whose equal quotas add up to the whole capacity."""
        capacity = self.plain.scaled(self.plain_count) + self.gpu.scaled(self.gpu_count)
        quota = Resources(
            capacity.cores_milli // self.teams,
            capacity.memory_bytes // self.teams,
            capacity.gpus_milli // self.teams,
        )
        return tuple(Team(TeamName(f"team-{n}"), quota) for n in range(self.teams))

    def workers(self) -> list[WorkerRecord]:
        """Return empty workers, plain ones in racks of 5 and GPU ones of 3."""
        zone = ZoneName("zone")
        plain = [
            WorkerRecord(WorkerId(f"p{n}"), zone, f"rack-p{n // 5}", self.plain)
            for n in range(self.plain_count)
        ]
        gpu = [
            WorkerRecord(WorkerId(f"g{n}"), zone, f"rack-g{n // 3}", self.gpu)
            for n in range(self.gpu_count)
        ]
        return plain + gpu


def _deployment(
    name: str, plain: int, gpu: int, plain_gib: int, ratios: tuple, teams: int
) -> Deployment:
    return Deployment(
        name,
        plain,
        gpu,
        Resources(32_000, plain_gib * GIB, 0),
        Resources(64_000, 256 * GIB, 8_000),
        ratios,
        teams,
    )


DEPLOYMENTS = {
    "trakia": _deployment("trakia", 20, 7, 128, (1, 3, 6), 6),
    "fjordlys": _deployment("fjordlys", 20, 7, 64, (0.5, 1, 3.5), 6),
    "tenfold": _deployment("tenfold", 200, 70, 128, (1, 3, 6), 20),
    "two-year": _deployment("two-year", 1_725, 675, 128, (1, 3, 6), 58),
}


class JobTemplate(msgspec.Struct, frozen=True):
    """One class of generated work.

    Parameters
    ----------
    name : ClassName
    kind : ClassKind
    wait_target_ms : int
    cores : tuple of float
        Cores that a task may declare; per GPU for classes that use GPUs.
    tasks : tuple of int
    run_time_ms : tuple of int
        Shortest and longest run time, in milliseconds.
    share : float
        Part of the offered load of cores, or of GPUs.
    gpus : tuple of float
    restart : RestartPolicy
    checkpoint : bool
    """

    name: ClassName
    kind: ClassKind
    wait_target_ms: int
    cores: tuple[float, ...]
    tasks: tuple[int, ...]
    run_time_ms: tuple[int, int]
    share: float
    gpus: tuple[float, ...] = ()
    restart: RestartPolicy = RestartPolicy.ALLOWED
    checkpoint: bool = False


_BATCH, _GANG, _SERVICE = ClassKind.BATCH, ClassKind.GANG, ClassKind.SERVICE

TEMPLATES = (
    JobTemplate("urgent", _BATCH, 9_100, (0.5, 1, 2), (1,), (10_000, 40_000), 0.1),
    JobTemplate("service", _SERVICE, 60_000, (1, 2), (2, 4), (400_000, 900_000), 0.2),
    JobTemplate(
        "order",
        _BATCH,
        60_000,
        (0.5, 1),
        (1,),
        (20_000, 60_000),
        0.1,
        restart=RestartPolicy.FORBIDDEN,
    ),
    JobTemplate(
        "batch",
        _BATCH,
        300_000,
        (1, 2, 4, 8),
        (1, 4),
        (60_000, 300_000),
        0.5,
        checkpoint=True,
    ),
    JobTemplate("gang", _GANG, 300_000, (2, 4), (4, 8), (60_000, 180_000), 0.1),
    JobTemplate(
        "gpu", _BATCH, 300_000, (4, 8), (1, 2), (60_000, 240_000), 0.8, (0.5, 1, 2)
    ),
    JobTemplate("gpu-gang", _GANG, 600_000, (4,), (4,), (60_000, 180_000), 0.2, (1, 2)),
)


_CORES_PER_GPU = sum(t.share * sum(t.cores) / len(t.cores) for t in TEMPLATES if t.gpus)


class WorkloadGenerator:
    """Generates jobs whose expected demand is a given share of the capacity.

    Classes that need GPUs offer a share of the GPUs, the others a share of the cores
    that the former leave.

    Parameters
    ----------
    deployment : Deployment
    seed : int
    run_time_error : float
        Run times differ from the declaration by up to this factor, either way.
    """

    def __init__(self, deployment: Deployment, seed: int, run_time_error: float = 2.0):
        self._deployment = deployment
        self._random = random.Random(seed)
        self._error = run_time_error
        self._count = 0

    def arrivals(self, load: float, until_ms: int) -> Iterator[tuple[JobRecord, int]]:
        """Yield jobs with their true run time, ordered by submission."""
        jobs = []
        for template in TEMPLATES:
            mean_gap_ms = self._work_per_job(template) / self._rate(template, load)
            now = self._random.expovariate(1 / mean_gap_ms)
            while now < until_ms:
                jobs.append(self.job(template, int(now)))
                now += self._random.expovariate(1 / mean_gap_ms)
        jobs.sort(key=lambda pair: pair[0].spec.submitted_unix_ms)
        yield from jobs

    def backlog(self, tasks: int, now_ms: int) -> list[JobRecord]:
        """Return jobs with about this many tasks in the proportions of arrivals."""
        weights = [
            self._rate(template, 1.0) / self._work_per_job(template)
            for template in TEMPLATES
        ]
        jobs: list[JobRecord] = []
        while tasks > 0:
            template = self._random.choices(TEMPLATES, weights)[0]
            age_ms = self._random.randrange(template.wait_target_ms)
            record, _ = self.job(template, now_ms - age_ms)
            jobs.append(record)
            tasks -= record.spec.task_count
        jobs.sort(key=lambda record: record.spec.submitted_unix_ms)
        return jobs

    def job(self, template: JobTemplate, submitted_ms: int) -> tuple[JobRecord, int]:
        """Return one job of a template and its true run time in milliseconds."""
        draw = self._random
        self._count += 1
        declared_ms = draw.randint(*template.run_time_ms)
        true_ms = int(declared_ms * self._error ** draw.uniform(-1, 1))
        spec = JobSpec(
            JobId(f"{template.name}-{self._count}"),
            OfficeName("office"),
            TeamName(f"team-{draw.randrange(self._deployment.teams)}"),
            template.name,
            template.kind,
            template.wait_target_ms,
            draw.choice(template.tasks),
            self._size(template),
            submitted_ms,
            _rounded(declared_ms),
            template.restart,
            template.checkpoint,
        )
        return JobRecord(spec, [TaskRecord() for _ in range(spec.task_count)]), true_ms

    def _size(self, template: JobTemplate) -> Resources:
        gpus = self._random.choice(template.gpus) if template.gpus else 0
        cores = self._random.choice(template.cores) * (gpus or 1)
        memory = cores * self._random.choice(self._deployment.memory_per_core_gib)
        return Resources(int(cores * 1000), int(memory * GIB), int(gpus * 1000))

    def _work_per_job(self, template: JobTemplate) -> float:
        """Return the mean work of a job, in core- or GPU-milliseconds."""
        amounts = template.gpus or template.cores
        run_ms = sum(template.run_time_ms) / 2
        return _mean(amounts) * _mean(template.tasks) * run_ms

    def _rate(self, template: JobTemplate, load: float) -> float:
        """Return the offered load of a template, in cores or GPUs."""
        deployment = self._deployment
        gpus = deployment.gpu_count * deployment.gpu.gpus_milli / 1000
        capacity = gpus
        if not template.gpus:
            cores_milli = (
                deployment.plain_count * deployment.plain.cores_milli
                + deployment.gpu_count * deployment.gpu.cores_milli
            )
            capacity = cores_milli / 1000 - gpus * _CORES_PER_GPU
        return capacity * load * template.share / _bias(self._error)


def _mean(values: tuple[float, ...]) -> float:
    return sum(values) / len(values)


def _rounded(declared_ms: int) -> int:
    """Return a run time as people declare it: in whole minutes."""
    return -(-declared_ms // 60_000) * 60_000


def _bias(error: float) -> float:
    """Return the mean of ``error ** u`` for `u` uniform in [-1, 1]."""
    steps = 1000
    return sum(error ** (2 * (i + 0.5) / steps - 1) for i in range(steps)) / steps
