"""Stand-ins of the users' platform for the scripts of the review, and a small deployment of the
project's own programs on loopback. Only Python's standard library is used.

Store     rows-tx, rows-get and rows-feed with the limits of PROTOCOL.md.
Worker    run-start, run-stop, hold and pace, heartbeats; tasks run for the milliseconds that
          their taskSpec states.
Client    HTTP calls to an entry's front address.
Fleet     entries and agents as processes, started with the commands of deploy/system.toml and
          settings from the templates that it names.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "desk.example"
PREFIX = "/desk/"
SERVICE = "booking-desk"
# Limits of the store (PROTOCOL.md; rowBytes of DEPLOY.md).
ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_TX_BYTES = 1_000_000
MAX_READ_ROWS = 500
MAX_ENDS_PER_ANSWER = 500


def free_ports():
    """Free ports below those that the kernel gives to outgoing connections, so that a port stays free
    while its process is down."""
    port = random.randrange(10_000, 28_000)
    while True:
        port += 1
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield port


PORTS = free_ports()


def free_port():
    return next(PORTS)


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, *words):
        self.file.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


class HttpServer:
    """A minimal HTTP/1.1 server with keep-alive; subclasses implement `answer`."""

    def __init__(self, port):
        self.port = port
        self.server = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, reuse_address=True, limit=8 << 20
        )

    async def stop_listening(self):
        """Closes the port and resets all connections, as when the process ends."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.server = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request_line = await reader.readline()
                if not request_line:
                    return
                method, target, _ = request_line.decode().split(" ", 2)
                headers = {}
                while True:
                    line = (await reader.readline()).decode().strip()
                    if not line:
                        break
                    name, value = line.split(":", 1)
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self.answer(method, target, headers, body)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(head.encode() + f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's store: linearizable, and never loses what it acknowledged."""

    def __init__(self, record):
        super().__init__(free_port())
        self.record = record
        self.version = 1
        self.rows = {}
        self.history = []
        self.changed = asyncio.Event()
        self.refused = []

    def put(self, table, part, key, value):
        self.version += 1
        self._write((table, part, key), base64.b64encode(value.encode()).decode())
        self._notify()

    def value(self, table, part, key):
        found = self.rows.get((table, part, key))
        return base64.b64decode(found[1]).decode() if found else None

    def _write(self, key, value):
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (self.version, value)
        self.history.append((self.version, key, value))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _about(self, **more):
        return {**more, "versionNumber": self.version, "nowMs": int(time.monotonic() * 1000)}

    async def answer(self, method, target, headers, body):
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/-/rows-tx":
            await asyncio.sleep(0.003)
            return self.transact(body)
        if url.path == "/-/rows-get":
            return self.read(query)
        if url.path == "/-/rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, body):
        txn = json.loads(body)
        parts = ("expectedRevision", "upserts", "deletes")
        entries = [row for part in parts for row in txn.get(part) or []]
        fault = None
        if len(entries) > MAX_ENTRIES:
            fault = f"{len(entries)} entries, at most {MAX_ENTRIES}"
        elif len(body) > MAX_TX_BYTES:
            fault = f"{len(body)} bytes, at most {MAX_TX_BYTES}"
        elif len({row.get("part", "") for row in entries}) > 1 and not txn.get("across"):
            fault = "several parts without across"
        for row in txn.get("upserts") or []:
            size = len(base64.b64decode(row["value"]))
            if size > ROW_BYTES:
                fault = f"value of {row['table']}/{row['key']} has {size} bytes, at most {ROW_BYTES}"
        if fault:
            self.refused.append(fault)
            if len(self.refused) <= 20:
                self.record.write("store refuses a transaction with 400:", fault)
            return 400, {"reason": fault}
        key_of = lambda row: (row["table"], row.get("part", ""), row["key"])
        for row in txn.get("expectedRevision") or []:
            found = self.rows.get(key_of(row), (0, ""))[0]
            if found != row["versionNumber"]:
                return 412, self._about(rows=[])
        self.version += 1
        for row in txn.get("upserts") or []:
            self._write(key_of(row), row["value"])
        for row in txn.get("deletes") or []:
            self._write(key_of(row), None)
        self._notify()
        return 200, self._about()

    def read(self, query):
        limit = min(int(query.get("limit", MAX_READ_ROWS)), MAX_READ_ROWS)
        target = query.get("target")
        matching = sorted(
            key
            for key in self.rows
            if key[0] == query["table"]
            and key[1] == query.get("part", "")
            and key[2] >= query.get("from", "")
            and (target is None or key[2] < target)
        )
        rows, size = [], 0
        for key in matching[:limit]:
            size += len(self.rows[key][1])
            if rows and size > MAX_TX_BYTES:
                break
            rows.append(self._row(key, *self.rows[key]))
        return 200, self._about(rows=rows, hasMore=len(rows) < len(matching))

    @staticmethod
    def _row(key, version, value):
        row = {"table": key[0], "part": key[1], "key": key[2], "versionNumber": version}
        return {**row, "removed": True} if value is None else {**row, "value": value}

    async def feed(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            changed = self.changed
            rows = [
                self._row(key, version, value)
                for version, key, value in self.history
                if version > after and key[0] == query["table"]
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return 200, self._about(rows=rows)
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass


class Worker(HttpServer):
    """A worker of one `side` machine. `runs` holds every run that it ever began."""

    def __init__(self, record, name, port, agent_port, kind="a", cpu=64_000, heartbeat_ms=300):
        super().__init__(port)
        self.record = record
        self.name = name
        self.agent_port = agent_port
        self.kind = kind
        self.cpu = cpu
        self.heartbeat_ms = heartbeat_ms
        self.runs = []
        self.wall_shift_ms = 0
        self.begin()

    def begin(self):
        """Begins a new incarnation, which holds and knows nothing of before."""
        self.born = int(time.time() * 1000) + self.wall_shift_ms
        self.clock = time.monotonic() - 50
        self.lease_ms = 0
        self.fence = 0
        self.running = {}
        self.ends = []
        self.next_end = 1
        self.stopped = {}
        self.sequence = 0
        self.ended = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.clock) * 1000)

    async def start(self):
        await self.listen()
        self.beating = asyncio.create_task(self.beat())
        self.ticking = asyncio.create_task(self.tick())

    async def crash(self):
        """The process ends at once: its runs end, its port is closed, nothing is reported."""
        self.beating.cancel()
        self.ticking.cancel()
        await self.stop_listening()
        for run in self.running.values():
            run["how"], run["ended"] = "crash", self.record.now()
        self.record.write("worker", self.name, "crashes with", len(self.running), "runs")
        self.running = {}

    async def restart(self):
        self.begin()
        self.record.write("worker", self.name, "starts again, born", self.born)
        await self.start()

    async def beat(self):
        client = Client(self.agent_port)
        while True:
            self.sequence += 1
            body = {
                "service": SERVICE, "address": f"127.0.0.1:{self.port}", "zone": "z1",
                "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "requestedMemoryMb": 256_000, "gpu": 0},
                "labels": [self.kind, "r1"], "clockMs": self.clock_ms(), "sequence": self.sequence,
                "born": self.born,
            }
            await client.call("POST", f"/-/instances/{self.name}/heartbeat", body, timeout_s=1)
            await asyncio.sleep(self.heartbeat_ms / 1000)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            self.advance()

    def advance(self):
        now = time.monotonic()
        for task, run in list(self.running.items()):
            if run["until"] is not None and now >= run["until"]:
                self.end(task, run["ends"])
        if self.clock_ms() >= self.lease_ms:
            for task in list(self.running):
                self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task)
        run["how"], run["ended"] = how, self.record.now()
        self.ends.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.stopped[task] = max(self.stopped.get(task, 0), run["run"])
        self.record.write("worker", self.name, "ends", task, "run", run["run"], how)
        self.ended.set()
        self.ended = asyncio.Event()

    def note(self, task, run, how):
        """The system takes note of an end, unless the lease has lapsed since."""
        for entry in reversed(self.runs):
            if entry["task"] == task and entry["run"] == run:
                entry["noted"] = self.clock_ms() < self.lease_ms
                return

    async def answer(self, method, target, headers, body):
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock_ms()}
        order = json.loads(body)
        self.advance()
        fence = order.get("fencingToken", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        if target == "/-/run-start":
            return self.run_start(order)
        if target == "/-/run-stop":
            return self.run_stop(order)
        if target == "/-/hold":
            return await self.hold(order)
        return 200, {"clockMs": self.clock_ms()}

    def extend(self, order):
        self.lease_ms = max(self.lease_ms, min(order.get("deadlineMs", 0), self.clock_ms() + 10_000))

    def run_start(self, order):
        clock_ms, task, run = self.clock_ms(), order["task"], order["run"]
        if order["deadlineMs"] <= clock_ms:
            return 409, {"clockMs": clock_ms, "reason": "late"}
        self.extend(order)
        present = self.running.get(task)
        if present and present["run"] == run:
            return 200, {"clockMs": clock_ms}
        if self.stopped.get(task, 0) >= run or present:
            return 409, {"clockMs": clock_ms, "reason": "old"}
        length_ms = int(order["taskSpec"])
        entry = {
            "task": task, "run": run, "worker": self.name, "began": self.record.now(),
            "started": time.monotonic(), "length_ms": length_ms, "ends": "done",
            "until": time.monotonic() + length_ms / 1000 if length_ms else None,
            "how": None, "ended": None, "noted": False,
        }
        self.running[task] = entry
        self.runs.append(entry)
        self.record.write("worker", self.name, "begins", task, "run", run, "token", self.fence)
        return 200, {"clockMs": clock_ms}

    def run_stop(self, order):
        task, run = order["task"], order["run"]
        self.stopped[task] = max(self.stopped.get(task, 0), run)
        if task in self.running and self.running[task]["run"] <= run:
            self.end(task, "stopped")
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, order):
        acknowledged = order.get("acknowledged", 0)
        for number, task, run, how, _ in self.ends:
            if number <= acknowledged:
                self.note(task, run, how)
        self.ends = [end for end in self.ends if end[0] > acknowledged]
        self.extend(order)
        until = time.monotonic() + min(order.get("waitMs", 0), 2_000) / 1000
        while not self.ends and (left_s := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.ended.wait(), left_s)
            except asyncio.TimeoutError:
                pass
        running = [[task, run["run"], "", self.percent(run), 1] for task, run in self.running.items()]
        return 200, {
            "clockMs": self.clock_ms(), "born": self.born, "running": running,
            "finished": self.ends[:MAX_ENDS_PER_ANSWER],
        }

    @staticmethod
    def percent(run):
        if not run["length_ms"]:
            return 100
        return min(99, int((time.monotonic() - run["started"]) * 100_000 / run["length_ms"]))


class Client:
    """An HTTP client with one connection a call."""

    def __init__(self, port):
        self.port = port

    async def call(self, method, path, body=None, host=HOST, timeout_s=3):
        """Status and decoded body; status 0 without an answer."""
        try:
            return await asyncio.wait_for(self._call(method, path, body, host), timeout_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            return 0, {}

    async def _call(self, method, path, body, host):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
                f"X-Deadline-Milliseconds: 3000\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
            )
            writer.write(head.encode() + data)
            await writer.drain()
            answer = await reader.read()
            head, _, rest = answer.partition(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            try:
                return status, json.loads(rest)
            except ValueError:
                return status, {}
        finally:
            writer.close()


def render(template, fields):
    """Fills the placeholders {{a.b}} and {{a.b|json}} of a settings template."""

    def value(match):
        found = fields
        for name in match[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}", value, template)


class Node:
    """One process of the system."""

    def __init__(self, fleet, role, fields):
        self.fleet, self.role, self.fields = fleet, role, fields
        self.name = fields["nodeName"]
        self.path = fleet.folder / f"{self.name}.json"
        template = (ROOT / fleet.deploy["roles"][role]["template"]).read_text()
        self.path.write_text(render(template, fields))
        self.process = None

    def start(self):
        command = self.fleet.deploy["roles"][self.role]["run"].split(" ")
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        env = {"PATH": os.environ["PATH"], "PARSLEYTHREAD_SETTINGS": str(self.path)}
        self.process = subprocess.Popen(
            [str(ROOT / command[0]), *command[1:]], cwd=ROOT, env=env, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL,
        )
        self.fleet.record.write("starts", self.name, "as process", self.process.pid)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.fleet.record.write("SIGKILL of", self.name)

    async def terminate(self):
        """SIGTERM, and SIGKILL after graceS as the platform does; waits for the end."""
        self.process.send_signal(signal.SIGTERM)
        self.fleet.record.write("SIGTERM of", self.name)
        until = time.monotonic() + self.fleet.bounds["graceS"]
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.kill()
        self.fleet.record.write(self.name, "has ended")

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class Fleet:
    """Entries, agents and workers that share a store."""

    def __init__(self, record, entries, workers, kinds="a", bounds=None):
        """`kinds` holds the kind of each worker, in turn."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.store = Store(record)
        # Bounds of dunmore-rooms.
        self.bounds = {"holdMaxMs": 10_000, "thawSlackMs": 300, "graceS": 6, **(bounds or {})}
        self.entries = [self._entry(number) for number in range(entries)]
        self.agents, self.workers = [], []
        for number in range(workers):
            app, control = free_port(), free_port()
            self.agents.append(self._agent(number, app, control))
            kind = kinds[number % len(kinds)]
            self.workers.append(Worker(record, f"i-{number:08x}", app, control, kind))

    def _common(self, name):
        return {
            "nodeName": name, "zone": "z1", "ipAddress": "127.0.0.1",
            "internalPorts": [free_port(), free_port()], "bounds": self.bounds,
            "platform": {"address": f"127.0.0.1:{self.store.port}"},
            "limits": {"cpuShare": 0.25},
        }

    def _entry(self, number):
        listen = {"front": f"127.0.0.1:{free_port()}", "ready": f"127.0.0.1:{free_port()}"}
        return Node(self, "entry", {**self._common(f"frontend-{number}"), "listen": listen})

    def _agent(self, number, app, control):
        fields = {"listen": {"control": f"127.0.0.1:{control}"}, "app": f"127.0.0.1:{app}"}
        return Node(self, "agent", {**self._common(f"side-{number}"), **fields})

    def configure(self, version, max_attempts=3):
        config = {
            "version": version,
            "routes": [{
                "name": "r", "host": HOST, "prefix": PREFIX, "service": SERVICE, "priority": 0,
                "maxAttempts": max_attempts, "stretch": 1.5, "targetLatencyMs": 250,
            }],
            "services": [{"name": SERVICE, "rejectsOverload": True, "spare": False}],
            "limits": {},
        }
        self.store.put("op", "", "config", json.dumps(config))

    async def start(self, workers=None):
        """Starts all processes, but only the first of the workers and their agents."""
        await self.store.listen()
        self.configure(3)
        for node in self.entries:
            node.start()
        first = range(len(self.workers) if workers is None else workers)
        await asyncio.gather(*(self.start_worker(number) for number in first))
        for _ in range(400):
            counts = [await self.call(entry, "GET", "") for entry in range(len(self.entries))]
            if all(status == 200 for status, _ in counts):
                self.record.write("the deployment is ready, scheduler", self.scheduler().name)
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the deployment did not become ready")

    async def start_worker(self, number):
        """Starts a worker and the agent on its machine, and waits until the system uses them."""
        worker = self.workers[number]
        self.agents[number].start()
        await worker.start()
        for _ in range(400):
            if worker.sequence > 1 and worker.fence > 0:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("no call reached a worker")

    def front(self, entry):
        return int(self.entries[entry].fields["listen"]["front"].split(":")[1])

    async def call(self, entry, method, job, body=None, timeout_s=3):
        return await Client(self.front(entry)).call(method, PREFIX + job, body, timeout_s=timeout_s)

    async def ask(self, method, job, body=None):
        """Calls the entries in turn, like a client whose attempts reach other nodes."""
        status, answer = 0, {}
        for entry, node in enumerate(self.entries):
            if node.is_running():
                status, answer = await self.call(entry, method, job, body)
                if status in (200, 410):
                    break
        self.record.write(method, job, "->", status, json.dumps(answer))
        return status, answer

    async def submit(self, job, body):
        for _ in range(100):
            status, _ = await self.ask("POST", job, body)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"job {job} was not accepted")

    def lease(self):
        text = self.store.value("lease", "scheduler", "owner")
        return json.loads(text) if text else None

    def scheduler(self):
        """The entry that last wrote to the store under a condition (the owner of the lease)."""
        return next(node for node in self.entries if node.name == self.lease()["owner"])

    def runs(self):
        return [run for worker in self.workers for run in worker.runs]

    def used_cpu(self, cpu_of_job):
        """Thousandths of a core that the running tasks of these jobs use."""
        running = (task for worker in self.workers for task in worker.running)
        return sum(cpu_of_job[task.split(".")[0]] for task in running)

    def has_run(self, job):
        return any(task.startswith(job) for worker in self.workers for task in worker.running)

    def end(self):
        for node in self.entries + self.agents:
            if node.is_running():
                node.process.kill()
                node.process.wait()


def twice(runs):
    """Breaches of TWICE: pairs of runs of one task that were at work at the same time, and pairs of
    which the second began after the first had ended `done` and that end is taken note of."""
    by_task, together, after_done = {}, [], []
    for run in runs:
        by_task.setdefault(run["task"], []).append(run)
    for task_runs in by_task.values():
        task_runs.sort(key=lambda run: run["began"])
        for first, second in zip(task_runs, task_runs[1:]):
            ended = first["ended"] if first["ended"] is not None else float("inf")
            if second["began"] < ended:
                together.append((first, second))
            elif first["how"] == "done" and first["noted"]:
                after_done.append((first, second))
    return together, after_done


def main(case, limit_s=110):
    """Runs `case(fleet factory, record, trouble)`; exits with 1 if it returns a breach."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("TROUBLE", int(trouble))
    fleets = []

    def fleet(**sizes):
        fleets.append(Fleet(record, **sizes))
        return fleets[-1]

    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)

    async def limited():
        return await asyncio.wait_for(case(fleet, record, trouble), limit_s)

    try:
        breach = asyncio.run(limited())
    except Exception as error:  # The case could not run.
        record.write("could not run:", repr(error))
        print("could not run:", repr(error))
        code = 2
    else:
        record.write("BROKEN: " + breach if breach else "held")
        print("BROKEN: " + breach if breach else "held")
        code = 1 if breach else 0
    finally:
        for each in fleets:
            each.end()
            if not os.environ.get("KEEP_LOGS"):
                shutil.rmtree(each.folder, ignore_errors=True)
    if os.environ.get("KEEP_LOGS"):
        print("logs of the processes:", *(each.folder for each in fleets))
    sys.stdout.flush()
    os._exit(code)
