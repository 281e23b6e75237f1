"""A side machine is lost for good, with its worker and its agent. Are the tasks that ran there
started again elsewhere?"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import main

LASTING, FINITE = "00000000000000a1", "00000000000000b2"
CPU = {LASTING: 13_000, FINITE: 7_000}
WORKERS = 11
# A task that lasts has to run again 6 s after its last run; 3 s without it break the rule.
AGAIN_S, IDLE_S = 6, 3
WATCHED_S = 40


def job(name, tasks, length_ms, **more):
    step = {
        "count": tasks, "cpu": CPU[name], "requestedMemoryMb": 13_000, "estimatedMs": length_ms or 270, **more,
    }
    return {"taskSpec": str(length_ms), "steps": [step]}


async def case(fleet_of, record, trouble):
    fleet = fleet_of(entries=3, workers=WORKERS)
    await fleet.start()
    await fleet.submit(LASTING, job(LASTING, WORKERS, 0, longRunning=True, antiAffinity=2))
    await fleet.submit(FINITE, job(FINITE, 2 * WORKERS, 8_000))
    await asyncio.sleep(4)
    lost = next(number for number, worker in enumerate(fleet.workers) if any(t.startswith(LASTING) for t in worker.running))
    tasks = [task for task in fleet.workers[lost].running]
    if trouble:
        # The worker's process ends with the machine, and nothing answers at the agent's address any more.
        fleet.agents[lost].process.send_signal(signal.SIGSTOP)
        await fleet.workers[lost].crash()
        record.write("the machine", fleet.agents[lost].name, "is lost for good, with", *tasks)
    lost_at = record.now()
    await asyncio.sleep(WATCHED_S)
    missing = [
        task for task in tasks if task.startswith(LASTING) and not any(task in worker.running for worker in fleet.workers)
    ]
    states = {name: (await fleet.ask("GET", name))[1].get("state") for name in CPU}
    if missing and record.now() - lost_at > AGAIN_S + IDLE_S:
        used, capacity = fleet.used_cpu(CPU), sum(w.cpu for n, w in enumerate(fleet.workers) if n != lost)
        return (
            f"LOST: {record.now() - lost_at:.0f} s after their last run {missing} don't run, with {used} of {capacity} "
            f"in use; the job of {2 * WORKERS} tasks of 8 s is {states[FINITE]}"
        )
    return None


main(case)
