"""A worker is lost just after a task that lasts has started on it, while other jobs keep coming. Is
the task started again on another worker that has its label?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import main

LASTING = "00000000000000a1"
JOBS_PER_S = 8
AGAIN_S, IDLE_S, WATCHED_S = 6, 3, 30


def job(count, length_ms, cpu, **more):
    step = {"count": count, "cpu": cpu, "requestedMemoryMb": 1_900, "estimatedMs": length_ms or 270, **more}
    return {"taskSpec": str(length_ms), "steps": [step]}


async def traffic(fleet, until):
    number = 0
    while fleet.record.now() < until:
        number += 1
        asyncio.create_task(fleet.submit(f"000000000000{number + 0x1000:04x}", job(6, 850, 960, requirements="b")))
        await asyncio.sleep(1 / JOBS_PER_S)


async def case(fleet_of, record, trouble):
    # The jobs that keep coming ask for kind b, too; the workers of kind a stay idle.
    fleet = fleet_of(entries=3, workers=11, kinds="aaaaaaaabbb")
    await fleet.start()
    asyncio.create_task(traffic(fleet, record.now() + 60))
    await asyncio.sleep(5)
    await fleet.submit(LASTING, job(1, 0, 13_000, longRunning=True, requirements="b"))
    while not fleet.has_run(LASTING):
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    lost = next(worker for worker in fleet.workers if any(task.startswith(LASTING) for task in worker.running))
    on_it = list(lost.running)
    if trouble:
        await lost.crash()
    lost_at = last_seen = record.now()
    longest = 0
    while record.now() < lost_at + WATCHED_S:
        await asyncio.sleep(0.05)
        if fleet.has_run(LASTING):
            longest, last_seen = max(longest, record.now() - last_seen), record.now()
    longest = max(longest, record.now() - last_seen)
    others = [worker for worker in fleet.workers if worker.kind == "b" and worker is not lost]
    used = 960 * sum(len(worker.running) for worker in others)
    again = {run["task"] for run in fleet.runs() if run["worker"] != lost.name}
    never = [task for task in on_it if task not in again]
    record.write("longest time without a run", round(longest, 2), "never started again:", *never)
    if longest > AGAIN_S + IDLE_S:
        return (
            f"LOST: the task that lasts didn't run for {longest:.1f} s, with {used} of "
            f"{sum(worker.cpu for worker in others)} in use on the other workers of its kind; of {len(on_it)} tasks "
            f"on the lost worker {len(never)} weren't started again"
        )
    return None


main(case)
