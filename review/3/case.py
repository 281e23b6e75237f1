"""The only worker of a kind is lost just after a step has started on it. Do the jobs that don't ask for
that kind still get their turn on the other workers?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import main

BOUND, BEFORE, AFTER = "00000000000000b1", "00000000000000a1", "00000000000000c1"
TASKS = {BOUND: 24, BEFORE: 6, AFTER: 6}
CPU = 960
FINISH_S, IDLE_S = 14, 3


def job(name, **more):
    step = {"count": TASKS[name], "cpu": CPU, "requestedMemoryMb": 1_900, "estimatedMs": 850, **more}
    return {"taskSpec": "850", "steps": [step]}


async def case(fleet_of, record, trouble):
    fleet = fleet_of(entries=3, workers=11, kinds="aaaaaaaaaab")
    await fleet.start()
    only = fleet.workers[-1]
    await fleet.submit(BEFORE, job(BEFORE))
    await fleet.submit(BOUND, job(BOUND, requirements=only.kind))
    while len(only.running) < TASKS[BOUND]:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    if trouble:
        await only.crash()
    await asyncio.sleep(3)
    await fleet.submit(AFTER, job(AFTER))
    await asyncio.sleep(FINISH_S)
    others = [worker for worker in fleet.workers if worker is not only]
    capacity = sum(worker.cpu for worker in others)
    idle_since, until = None, record.now() + 30
    while record.now() < until:
        states = {name: (await fleet.ask("GET", name))[1].get("state") for name in TASKS}
        if states[AFTER] == "completed":
            return None
        used = CPU * sum(len(worker.running) for worker in others)
        is_idle = not fleet.has_run(AFTER) and used < capacity / 2
        idle_since = (idle_since or record.now()) if is_idle else None
        if idle_since and record.now() - idle_since >= IDLE_S:
            return (
                f"LOST: finish_s after the last job, nothing of {AFTER}, which asks for no kind, has run for "
                f"{record.now() - idle_since:.1f} s, with {used} of {capacity} in use on the ten workers that are up; "
                f"states {states}"
            )
        await asyncio.sleep(0.3)
    return None


main(case)
