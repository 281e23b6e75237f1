"""A caller hands in one job that can never be done: a step of two million tasks. Do processes end by
themselves or exceed the memory of their machine, and do the other jobs still get an answer?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import main

COUNT = 2_000_000
OTHER, HUGE = "00000000000000a1", "00000000000000b2"
# Memory of a frontend machine of the site; a process that exceeds it is killed (DEPLOY.md).
MEMORY_MB = 260
RESTART_S = 0.5
WATCHED_S = 25


def job(count, length_ms):
    step = {"count": count, "cpu": 960, "requestedMemoryMb": 100, "estimatedMs": length_ms}
    return {"taskSpec": str(length_ms), "steps": [step]}


def resident_mb(node):
    try:
        lines = Path(f"/proc/{node.process.pid}/status").read_text().splitlines()
        return int(next(line for line in lines if line.startswith("VmRSS:")).split()[1]) // 1024
    except (OSError, StopIteration):
        return 0


async def watch(fleet, node, ends, until):
    """The platform's part: kills the process over its memory, and starts it again after each end."""
    while fleet.record.now() < until:
        await asyncio.sleep(0.01)
        used_mb = resident_mb(node)
        if used_mb > MEMORY_MB:
            fleet.record.write(node.name, "uses", used_mb, "MB, over", MEMORY_MB)
            node.kill()
        if not node.is_running():
            fleet.record.write(node.name, "has ended, by signal", -node.process.returncode)
            ends[node.name] += 1
            await asyncio.sleep(RESTART_S)
            node.start()


async def case(fleet_of, record, trouble):
    fleet = fleet_of(entries=3, workers=3)
    await fleet.start()
    await fleet.submit(OTHER, job(6, 4_000))
    status, _ = await fleet.call(0, "POST", HUGE, job(COUNT if trouble else 36, 850))
    record.write("POST", HUGE, "->", status)
    ends = {node.name: 0 for node in fleet.entries}
    until = record.now() + WATCHED_S
    await asyncio.gather(*(watch(fleet, node, ends, until) for node in fleet.entries))
    _, answer = await fleet.ask("GET", OTHER)
    record.write("ends of processes without a disruption:", ends)
    if sum(number >= 3 for number in ends.values()) >= 2:
        return (
            f"Fault: processes ended without a disruption {ends} times in {WATCHED_S} s; the other job is "
            f"{answer.get('state')}"
        )
    return None


main(case)
