"""A recurring job (or, with JOB=large, one large job) runs among small ones. Does every accepted job
get its turn?"""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import main

LARGE = os.environ.get("JOB") == "large"
LARGE_TASKS = 4_000
REPETITIONS, FEW_REPETITIONS = 130, 8
INTERVAL_MS = 350
TASKS = 36
FINISH_S = 14
IDLE_S = 3
BEFORE, HEAVY, AFTER = "00000000000000a1", "00000000000000b2", "00000000000000c3"
CPU = {BEFORE: 960, HEAVY: 100, AFTER: 960}


def job(name, tasks, length_ms, **more):
    step = {"count": tasks, "cpu": CPU[name], "requestedMemoryMb": 10, "estimatedMs": length_ms}
    return {"taskSpec": str(length_ms), "steps": [step], **more}


def heavy_job(trouble):
    if LARGE:
        return job(HEAVY, LARGE_TASKS if trouble else TASKS, 850)
    return job(
        HEAVY, TASKS, 300, firstRunMs=int(time.time() * 1000), intervalMs=INTERVAL_MS,
        repetitions=REPETITIONS if trouble else FEW_REPETITIONS,
    )


async def case(fleet_of, record, trouble):
    fleet = fleet_of(entries=3, workers=3)
    await fleet.start()
    await fleet.submit(BEFORE, job(BEFORE, 6, 850))
    await fleet.submit(HEAVY, heavy_job(trouble))
    await asyncio.sleep(5 if LARGE else 40)
    await fleet.submit(AFTER, job(AFTER, 6, 850))
    await asyncio.sleep(FINISH_S)
    capacity = sum(worker.cpu for worker in fleet.workers)
    idle_since, until = None, record.now() + 30
    while record.now() < until:
        states = {name: (await fleet.ask("GET", name))[1].get("state") for name in CPU}
        if all(state == "completed" for state in states.values()):
            return None
        has_turn = states[AFTER] != "completed" and not fleet.has_run(AFTER)
        if has_turn and fleet.used_cpu(CPU) < capacity / 2:
            idle_since = idle_since or record.now()
        else:
            idle_since = None
        if idle_since and record.now() - idle_since >= IDLE_S:
            done = sum(run["how"] == "done" for run in fleet.runs())
            return (
                f"LOST: finish_s after the last job, nothing of the small job {AFTER} has run for "
                f"{record.now() - idle_since:.1f} s, with {fleet.used_cpu(CPU)} of {capacity} in use; states "
                f"{states}; {done} runs are done; the store refused {len(fleet.store.refused)} transactions"
            )
        await asyncio.sleep(0.3)
    return None


main(case)
