"""Stand-ins for the platform's store, workers and clients, after the users' pages, and control of real entry processes.

Everything runs in one asyncio loop and listens on loopback addresses only. The standard library is all that is needed.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "auburndoor-entry")
HOST = "cell.example"
# A run that has not ended by then ends its processes and could not run.
LONGEST_RUN_S = 105


def trouble():
    """False if the run is to leave the disruption out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: one line for what was sent, answered and run, with the milliseconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def write(self, text):
        if self.file.closed:
            return
        self.file.write("%8.1f %s\n" % ((time.monotonic() - self.started) * 1000, text))

    def close(self):
        self.file.close()


# HTTP ------------------------------------------------------------------------------------------------------------------------

class Refuse(Exception):
    """Ends a call without an answer: "reset" closes the connection, "silent" keeps it open."""


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


async def serve(handler, delay=0.0, link=None):
    """Serves handler(method, target, headers, body) -> (status, object) on a free loopback port; returns the server and its address.

    delay is the time in seconds that a message takes one way; opening a connection costs a round trip as well. While the link is
    cut nothing passes in either direction; what is held up is lost if the other side has closed the connection meanwhile.
    """
    async def on_connection(reader, writer):
        is_first = True
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                if delay:
                    await asyncio.sleep(delay * (3 if is_first else 1))
                is_first = False
                if link is not None:
                    await link.pass_through()
                    if reader.at_eof():
                        return
                try:
                    status, answer = await handler(method, target, headers, body)
                except Refuse as refusal:
                    if str(refusal) == "silent":
                        await asyncio.sleep(3600)
                    writer.transport.abort()
                    return
                if delay:
                    await asyncio.sleep(delay)
                if link is not None:
                    await link.pass_through()
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0, limit=1 << 22, backlog=512)
    return server, "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


class Link:
    """The way between a worker and all machines of the system."""

    def __init__(self):
        self.healed = asyncio.Event()
        self.healed.set()

    def cut(self):
        self.healed.clear()

    def heal(self):
        self.healed.set()

    async def pass_through(self):
        await self.healed.wait()


async def call(address, method, target, body=None, timeout=3.0):
    """One call of a client on a connection of its own. Returns (status, object), or (None, reason) without an answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
                          % (method, target, HOST, timeout * 1000, len(data))).encode() + data)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = 0
            for line in head.decode("latin-1").split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":", 1)[1])
            text = await reader.readexactly(length)
            return status, json.loads(text) if text else None
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as error:
        return None, type(error).__name__
    finally:
        if writer is not None:
            writer.close()


# The platform's store --------------------------------------------------------------------------------------------------------

class Store:
    """Tables of rows with one version counter, conditional transactions and a feed of changes (PROTOCOL, metadata store)."""

    HISTORY_S = 20.0
    MAX_ROW_BYTES = 65536

    def __init__(self, record, answer_s=0.004):
        self.record = record
        self.answer_s = answer_s
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.mode = "up"
        self.too_large = 0
        self.awaited = {}
        self.servers = []

    async def listen(self):
        server, address = await serve(self.handle)
        self.servers.append(server)
        return address

    def stored(self, row):
        """A future that is done once the row (table, key) is stored for the first time."""
        return self.awaited.setdefault(row, asyncio.get_running_loop().create_future())

    def put(self, table, key, value):
        """A write of the operator, of a worker or of a transaction."""
        self._apply([(table, key, value)])

    def _apply(self, changes):
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[(table, key)] = (value, self.version)
            self.history.append((time.monotonic(), self.version, table, key, value))
            if value is not None and (table, key) in self.awaited:
                self.awaited.pop((table, key)).set_result(None)
        limit = time.monotonic() - self.HISTORY_S
        while self.history and self.history[0][0] < limit:
            self.history.pop(0)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _reply(self, rows, **more):
        return {"rows": rows, "schemaVer": self.version, "nowMs": int(time.monotonic() * 1000), **more}

    @staticmethod
    def _row(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "schemaVer": version}
        if value is None:
            row["compacted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _disturb(self):
        if self.mode == "busy":
            return 503, {}
        if self.mode in ("silent", "reset"):
            raise Refuse(self.mode)
        return None

    async def handle(self, method, target, headers, body):
        refused = self._disturb()
        if refused:
            return refused
        await asyncio.sleep(self.answer_s)
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if method == "POST" and path == "/api/rows-tx":
            return self._transact(json.loads(body))
        if method == "GET" and path == "/api/rows-get":
            table, first = fields["table"], fields.get("startKey", "")
            size = min(int(fields.get("pageSize", 500)), 500)
            keys = sorted(key for name, key in self.rows if name == table and key >= first)
            rows = [self._row(table, key, *self.rows[(table, key)]) for key in keys[:size]]
            return 200, self._reply(rows, hasMore=len(keys) > size)
        if method == "GET" and path == "/api/rows-feed":
            return await self._feed(fields["table"], int(fields["dependsOn"]), int(fields["waitMs"]))
        return 404, {}

    def _transact(self, request):
        expected, writes, removals = (request.get(name, []) for name in ("expectedRev", "write", "remove"))
        if len(expected) + len(writes) + len(removals) > 100:
            return 400, {"error": "too many entries"}
        current = [(row["table"], row["key"]) for row in expected]
        if any(self.rows.get(name, (b"", 0))[1] != row["schemaVer"] for name, row in zip(current, expected)):
            return 412, self._reply([self._row(*name, *self.rows[name]) for name in current if name in self.rows])
        changes = [(row["table"], row["key"], base64.b64decode(row["value"])) for row in writes]
        if any(len(value) > self.MAX_ROW_BYTES for _, _, value in changes):
            self.too_large += 1
            self.record.write("store refuses a transaction: a value of %d bytes" % max(len(value) for _, _, value in changes))
            return 400, {"error": "a value is larger than maxRowBytes"}
        self._apply(changes + [(row["table"], row["key"], None) for row in removals])
        return 200, self._reply([])

    async def _feed(self, table, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if self.history and after < self.history[0][1] - 1 and after < self.version - len(self.history):
                return 410, {}
            rows = [self._row(table, key, value, version)
                    for _, version, name, key, value in self.history if name == table and version > after]
            remaining = end - time.monotonic()
            if rows or remaining <= 0:
                return 200, self._reply(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass
            refused = self._disturb()
            if refused:
                return refused


# Workers ---------------------------------------------------------------------------------------------------------------------

class Run:
    def __init__(self, task, attempt, ends_at):
        self.task, self.attempt, self.started, self.ends_at = task, attempt, time.monotonic(), ends_at


class Worker:
    """One worker: fencing, one lease for all runs, ends that are listed until they are acknowledged (PROTOCOL, Running tasks)."""

    LISTED_ENDS = 500
    MAX_HOLD_MS = 10000
    KILL_GRACE_S = 0.05

    def __init__(self, cell, worker_id, service, cpu=32000, mem=131072, delay=0.0, zone="z", duration=None):
        self.cell, self.id, self.service, self.zone, self.delay = cell, worker_id, service, zone, delay
        self.cpu, self.mem = cpu, mem
        self.duration = duration or (lambda task, attempt: 1.0)
        self.server = None
        self.address = None
        self.is_up = False
        self.link = Link()
        self.boot()

    def boot(self):
        """A new life: it holds and knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.token = 0
        self.lease_end = 0.0
        self.lapsed_at = None
        self.last_lapse = 0.0
        self.ended_at = {}
        self.runs = {}
        self.ended = []
        self.next_end = 1
        self.acknowledged = 0
        self.over = {}
        self.seq = 0
        self.changed = asyncio.Event()

    async def start(self):
        self.server, self.address = await serve(self.handle, self.delay, self.link)
        self.is_up = True
        self.tasks = [asyncio.create_task(self.tick()), asyncio.create_task(self.beat())]

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000)

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "1", "slots": 8, "state": "ready",
                "coldRemainingMs": 0, "seq": self.seq, "born": self.born, "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
                "labels": ["plain", "r1-1"]}

    def report_to_store(self):
        self.seq += 1
        if self.cell.store.mode == "up":
            self.cell.store.put("servers", self.id, json.dumps(self.entry()).encode())

    async def beat(self):
        while True:
            if self.is_up:
                self.report_to_store()
            await asyncio.sleep(1.5)

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            if self.is_up:
                self.settle()

    def settle(self):
        now = time.monotonic()
        if self.clock() > self.lease_end:
            self.last_lapse = self.lapsed_at = now
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        else:
            self.lapsed_at = None
        for run in [run for run in self.runs.values() if run.ends_at <= now]:
            self.end(run, "done")

    def end(self, run, how):
        del self.runs[(run.task, run.attempt)]
        self.over[run.task] = max(self.over.get(run.task, 0), run.attempt)
        self.ended.append([self.next_end, run.task, run.attempt, how, ""])
        self.ended_at[self.next_end] = time.monotonic()
        self.cell.on_end(self, run.task, run.attempt, how, self.next_end)
        self.next_end += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def crash(self):
        """Ends this life; nothing is sent, and no listener is left."""
        self.is_up = False
        for run in list(self.runs.values()):
            self.cell.on_end(self, run.task, run.attempt, "crashed", 0)
        self.runs = {}

    async def handle(self, method, target, headers, body):
        if not self.is_up:
            raise Refuse("reset")
        if headers.get("target-instance") != self.id:
            return 421, {}
        request = json.loads(body)
        token = request.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence", "born": self.born}
        self.token = token
        self.settle()
        if target == "/api/run-start":
            return self.run_start(request)
        if target == "/api/run-stop":
            return self.run_stop(request)
        if target == "/api/hold":
            return await self.hold(request)
        return 404, {}

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + self.MAX_HOLD_MS))

    def run_start(self, request):
        task, attempt = request["taskId"], request["attempt"]
        answer = {"clockMs": self.clock(), "born": self.born}
        if (task, attempt) in self.runs:
            return 200, answer
        if request["deadlineMs"] <= self.clock():
            return 409, {**answer, "reason": "late"}
        self.extend(request["deadlineMs"])
        if attempt <= self.over.get(task, 0):
            return 409, {**answer, "reason": "old"}
        run = Run(task, attempt, time.monotonic() + self.duration(task, attempt))
        self.runs[(task, attempt)] = run
        self.cell.on_start(self, task, attempt, request)
        return 200, answer

    def run_stop(self, request):
        task, attempt = request["taskId"], request["attempt"]
        run = self.runs.get((task, attempt))
        if run is not None:
            run.ends_at = min(run.ends_at, time.monotonic() + 3600)
            asyncio.get_running_loop().call_later(self.KILL_GRACE_S, self._stopped, run, self.born)
        else:
            self.over[task] = max(self.over.get(task, 0), attempt)
        return 200, {"clockMs": self.clock(), "born": self.born}

    def _stopped(self, run, born):
        if born == self.born and (run.task, run.attempt) in self.runs:
            self.end(run, "stopped")

    async def hold(self, request):
        acknowledged = request.get("ackSeq", 0)
        if acknowledged > self.acknowledged:
            self.acknowledged = acknowledged
            for end in self.ended:
                if end[0] <= acknowledged and self.lapsed_at is None and self.last_lapse < self.ended_at[end[0]]:
                    self.cell.on_acknowledged(self, end[1], end[2], end[3])
            self.ended = [end for end in self.ended if end[0] > acknowledged]
        if "deadlineMs" in request:
            self.extend(request["deadlineMs"])
        end = time.monotonic() + min(request.get("waitMs", 0), 2000) / 1000
        born = self.born
        while not self.ended and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        if not self.is_up or born != self.born:
            raise Refuse("reset")
        now = time.monotonic()
        running = [[run.task, run.attempt, "", min(99, int(100 * (now - run.started) / max(run.ends_at - run.started, 0.001))), 0]
                   for run in self.runs.values()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "finished": self.ended[:self.LISTED_ENDS]}


# Entry processes -------------------------------------------------------------------------------------------------------------

class Entry:
    """A real entry process, started by the command of the deploy file on a loopback address of its own."""

    def __init__(self, cell, number):
        self.cell, self.number, self.name = cell, number, "edge-z-%d" % (number + 1)
        pid = os.getpid()
        self.ip = "127.%d.%d.%d" % (64 + pid // 256 % 128, pid % 256, 10 + number)
        self.front, self.ready = ("%s:%d" % (self.ip, port) for port in self.free_ports(2))
        self.first_port = 17380
        self.process = None

    def free_ports(self, count):
        sockets = [socket.socket() for _ in range(count)]
        for each in sockets:
            each.bind((self.ip, 0))
        ports = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        return ports

    async def prepare(self):
        self.store_address = await self.cell.store.listen()
        bounds = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
                  "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "recoveryS": 12,
                  "maxHoldMs": 10000, "killGraceMs": 400, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
                  "early_ms": 250, "finish_s": 14, "status_s": 120, "leaseMs": 3000}
        settings = {"nodeName": self.name, "role": "entry", "machineClass": "edge", "serves": ["edge"], "ip": self.ip, "zone": "z",
                    "region": "r", "zones": {"z": "r"}, "listen": {"front": self.front, "ready": self.ready},
                    "portRange": [self.first_port, self.first_port + 15], "seeds": [], "bootstrap": True,
                    "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
                    "heartbeatMs": 1500, "bounds": bounds, "commands": "rpc",
                    "platform": {"address": self.store_address, "form": "table", "writesPerS": 600, "readsPerS": 2000,
                                 "maxRowBytes": 65536, "historyS": 20}}
        self.settings_file = os.path.join(self.cell.folder, self.name + ".json")
        with open(self.settings_file, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        log = open(os.path.join(self.cell.folder, self.name + ".log"), "a", encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["AUBURNDOOR_NODE_FILE"] = self.settings_file
        self.process = subprocess.Popen([PROGRAM, "--metrics-port=9464"], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()
        self.cell.record.write("process %s started" % self.name)

    def signal(self, number):
        self.cell.record.write("process %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_owner(self):
        row = self.cell.store.rows.get(("cell", "epoch"))
        return row is not None and json.loads(row[0])["owner"] == self.name


# The cell --------------------------------------------------------------------------------------------------------------------

class Cell:
    """Store, workers, entry processes and clients of one run, and what the workers have seen."""

    def __init__(self, case_folder, entries=3):
        self.record = Record(case_folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.store = Store(self.record)
        self.workers = {}
        self.entries = [Entry(self, number) for number in range(entries)]
        self.starts = []
        self.live = {}
        self.done = {}
        self.acknowledged = []
        self.overlaps = []
        self.reruns = []

    def add_worker(self, *args, **kwargs):
        worker = Worker(self, *args, **kwargs)
        self.workers[worker.id] = worker
        return worker

    async def start(self, desired_state):
        self.set_desired_state(desired_state)
        for worker in self.workers.values():
            await worker.start()
        for entry in self.entries:
            await entry.prepare()
        for entry in self.entries:
            entry.start()
        for _ in range(200):
            if all([(await call(entry.ready, "GET", "/api/readyz", timeout=1.0))[0] == 200 for entry in self.entries]):
                return True
            await asyncio.sleep(0.1)
        return False

    def set_desired_state(self, state):
        self.store.put("op", "config", json.dumps(state).encode())
        self.record.write("operator wrote op/config version %d, confirmed" % state["version"])

    def owner(self):
        return next((entry for entry in self.entries if entry.is_owner()), None)

    # What the workers see.
    def on_start(self, worker, task, attempt, request):
        self.record.write("worker %s starts %s attempt %d token %d" % (worker.id, task, attempt, request.get("fencingToken", 0)))
        others = [place for place in self.live.get(task, set())]
        if others:
            self.overlaps.append((task, attempt, worker.id, others))
            self.record.write("TWO RUNS of %s: attempt %d on %s beside %s" % (task, attempt, worker.id, others))
        self.live.setdefault(task, set()).add((worker.id, attempt))
        if task in self.done:
            self.reruns.append((task, attempt, worker.id))
            self.record.write("START AFTER DONE of %s: attempt %d on %s, done as %s" % (task, attempt, worker.id, self.done[task]))
        self.starts.append((task, attempt, worker.id))

    def on_end(self, worker, task, attempt, how, number):
        self.record.write("worker %s end %d of %s attempt %d: %s" % (worker.id, number, task, attempt, how))
        self.live.get(task, set()).discard((worker.id, attempt))
        if how == "done":
            self.done.setdefault(task, (worker.id, attempt))

    def on_acknowledged(self, worker, task, attempt, how):
        self.record.write("worker %s end of %s attempt %d (%s) is taken note of" % (worker.id, task, attempt, how))
        self.acknowledged.append((worker.id, task, attempt, how))

    def starts_after_done(self):
        """Starts after a run of the task had ended as done, where that end is taken note of and no lease lapsed in between."""
        noted = {(task, attempt) for _, task, attempt, how in self.acknowledged if how == "done"}
        return [start for start in self.reruns if (start[0], self.done[start[0]][1]) in noted]

    # Clients.
    async def submit(self, job, body, prefix="/jobs/", tries=8):
        """Hands a job in as a client does: again after a refusal or without an answer, at the next entry process."""
        for number in range(tries):
            entry = self.entries[number % len(self.entries)]
            status, answer = await call(entry.front, "POST", prefix + job, body)
            self.record.write("client POST %s at %s: %s %s" % (job, entry.name, status, answer))
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job, prefix="/jobs/", entry=None):
        for each in [entry] if entry else self.entries:
            status, answer = await call(each.front, "GET", prefix + job)
            self.record.write("client GET %s at %s: %s %s" % (job, each.name, status, answer))
            if status == 200:
                return answer["state"]
            if status == 410:
                return "410"
        return None

    async def wait_for_end(self, job, seconds, prefix="/jobs/"):
        end = time.monotonic() + seconds
        state = None
        while time.monotonic() < end:
            state = await self.state(job, prefix)
            if state in ("completed", "failed", "cancelled"):
                return state
            await asyncio.sleep(0.5)
        return state

    def close(self):
        for entry in self.entries:
            entry.kill()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.folder, keep], check=False)
        self.temporary.cleanup()
        self.record.close()


def run(scenario):
    """Runs scenario(), which returns the exit code: 0 the rule held, 1 it was broken, 2 the case could not run."""
    if not os.path.exists(PROGRAM):
        print("target/auburndoor-entry is not built")
        raise SystemExit(2)
    try:
        code = asyncio.run(asyncio.wait_for(scenario(), LONGEST_RUN_S))
    except Exception as error:  # pylint: disable=broad-except
        print("the case could not run: %s %s" % (type(error).__name__, error))
        code = 2
    raise SystemExit(code)
