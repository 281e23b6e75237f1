"""A caller hands in one job that can never be done: a step with a huge count. Do processes end by
themselves, and do the other jobs still get an answer?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import main

COUNT = 4_000_000_000
OTHER, HUGE = "00000000000000a1", "00000000000000b2"
RESTART_S = 0.5


def job(count, length_ms):
    step = {"count": count, "cpu": 960, "requestedMemoryMb": 100, "estimatedMs": length_ms}
    return {"taskSpec": str(length_ms), "steps": [step]}


async def case(fleet_of, record, trouble):
    fleet = fleet_of(entries=3, workers=3)
    await fleet.start()
    await fleet.submit(OTHER, job(6, 4_000))
    status, _ = await fleet.call(0, "POST", HUGE, job(COUNT if trouble else 36, 850))
    record.write("POST", HUGE, "->", status)
    ends = {node.name: 0 for node in fleet.entries}
    until = record.now() + 20
    while record.now() < until:
        await asyncio.sleep(RESTART_S)
        for node in fleet.entries:
            if not node.is_running():
                record.write(node.name, "has ended by itself, by signal", -node.process.returncode)
                ends[node.name] += 1
                node.start()
    _, answer = await fleet.ask("GET", OTHER)
    record.write("ends of processes by themselves:", ends)
    often = [name for name, number in ends.items() if number >= 3]
    if len(often) >= 2:
        return f"Fault: {ends} processes ended by themselves in 20 s; the other job is {answer.get('state')}"
    return None


main(case)
