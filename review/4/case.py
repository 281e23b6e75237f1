"""The worker of a lasting task crashes now and then, each time after the entry that
schedules was restarted. Is the job given up, though none of its runs failed?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import main

JOB = "00000000000000a1"
ROUNDS = 5
WORKERS = 8
CRASHED_S = 4.5


async def restart_scheduler(fleet):
    """The entry that holds the scheduler's lease is stopped by SIGTERM and started again."""
    old, epoch = fleet.scheduler(), fleet.lease()["epoch"]
    await old.terminate()
    old.start()
    for _ in range(200):
        if fleet.lease()["epoch"] > epoch:
            return
        await asyncio.sleep(0.05)
    raise RuntimeError("no entry took over")


async def crash_worker_of(fleet, job):
    """The worker that runs the job's task crashes, and starts again later."""
    worker = next(worker for worker in fleet.workers if any(task.startswith(job) for task in worker.running))
    await worker.crash()
    await asyncio.sleep(CRASHED_S)
    await worker.restart()


async def case(fleet_of, record, trouble):
    fleet = fleet_of(entries=3, workers=WORKERS)
    await fleet.start()
    step = {"count": 1, "cpu": 13_000, "requestedMemoryMb": 26_000, "estimatedMs": 270, "longRunning": True}
    await fleet.submit(JOB, {"taskSpec": "0", "steps": [step]})
    for number in range(ROUNDS):
        await asyncio.sleep(4)
        if not fleet.has_run(JOB):
            record.write("nothing of the job runs before round", number + 1)
            break
        if trouble:
            record.write("round", number + 1)
            await restart_scheduler(fleet)
            await asyncio.sleep(1)
            await crash_worker_of(fleet, JOB)
    await asyncio.sleep(4)
    _, answer = await fleet.ask("GET", JOB)
    ends = [run["how"] for run in fleet.runs()]
    record.write("ends of the runs:", ends)
    if answer.get("state") == "failed" and "failed" not in ends:
        return f"LOST: the job is shown as failed; its runs ended {ends}, none of them failed"
    return None


main(case)
