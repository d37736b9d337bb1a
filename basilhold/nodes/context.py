"""Builds what a process knows about the cell."""

import asyncio
import random
from collections.abc import Callable

from basilhold.config import ConfigInForce
from basilhold.core import Clock, ProcessId
from basilhold.nodes.base import NodeContext
from basilhold.nodes.directory import CellDirectory, EntryPorts
from basilhold.relay import ProcessIdentity, RegionSubscription
from basilhold.rpc import Transport

__all__ = ["follow_changes", "make_context"]


def make_context(
    program: str,
    process_id: ProcessId,
    entry: EntryPorts,
    entries: tuple[EntryPorts, ...],
    transport: Transport,
    clock: Clock,
    rng: random.Random,
) -> NodeContext:
    """Return the context of a process on an entry VM.

    Parameters
    ----------
    program : str
        ``gateway`` or ``scheduler``.
    process_id : ProcessId
    entry : EntryPorts
        VM on which the process runs.
    entries : tuple of EntryPorts
        All entry VMs of the settings.
    transport : Transport
    clock : Clock
    rng : random.Random
        Source of jitter.
    """
    identity = ProcessIdentity(
        process_id, program, entry.vm_id, entry.zone, entry.region
    )
    in_force = ConfigInForce()
    subscription = RegionSubscription(
        identity,
        transport,
        lambda: directory.relay_addresses(entry.vm_id, entry.region),
        in_force,
        clock,
        rng,
    )
    directory = CellDirectory(entries, subscription.state, in_force)
    subscription.listen_vms(directory.apply_list)
    return NodeContext(
        process_id=process_id,
        vm_id=entry.vm_id,
        zone=entry.zone,
        region=entry.region,
        clock=clock,
        transport=transport,
        in_force=in_force,
        subscription=subscription,
        directory=directory,
    )


async def follow_changes(context: NodeContext, on_change: Callable[[], None]) -> None:
    """Follow the region's relay and call a function after each update."""

    async def report() -> None:
        while True:
            await context.subscription.changed.wait()
            context.subscription.changed.clear()
            on_change()

    async with asyncio.TaskGroup() as group:
        group.create_task(context.subscription.run())
        group.create_task(report())
