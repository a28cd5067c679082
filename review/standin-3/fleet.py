"""A small deployment for review cases: the platform's store, minions, operator and clients as
stand-ins on loopback, and the project's own daemon as entry hosts, by the commands of the deploy
file. All stand-ins follow PROTOCOL.md; what a case disturbs is set by the case itself.

Needs Python 3.9 or later, no packages."""
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
LEASE_MOST_MS = 6000
STOP_GRACE_S = 0.1


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.begun = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


def response(status, body, kind="application/json"):
    head = f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Server:
    """An HTTP/1.1 server. `handle` gives (status, body), or None for no answer at all."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    # No answer, now or later, on this connection.
                    await reader.read()
                    break
                writer.write(response(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """The process is gone: its listener and all connections are closed at once."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(port, method, target, body=None, headers=None, timeout=3.0):
    """Gives (status, body), or (0, why) if there was no answer."""
    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {target} HTTP/1.1\r\nHost: jobs.example\r\n"
            for name, value in (headers or {}).items():
                head += f"{name}: {value}\r\n"
            if body is not None:
                head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + data)
            await writer.drain()
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as fault:
        return 0, repr(fault).encode()


# ---------------------------------------------------------------- the platform's store

class Topic:
    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()

    def put(self, key, value):
        offset = len(self.records)
        self.records.append((key, value))
        if value:
            self.newest[key] = offset
        else:
            self.newest.pop(key, None)
        return offset

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.append_ms = 2

    def topic(self, name, part):
        key = (name, int(part))
        if key not in self.topics:
            self.topics[key] = Topic()
        return self.topics[key]

    def put(self, name, key, value):
        topic = self.topic(name, 0)
        topic.put(key.encode(), json.dumps(value).encode() if value is not None else b"")
        topic.wake()

    async def start(self):
        self.server = await Server(self.handle).start()
        self.port = self.server.port
        return self

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        fields = {}
        for pair in query.split("&"):
            name, _, value = pair.partition("=")
            fields[name] = value
        if path == "/goldcrestway/log-append":
            await asyncio.sleep(self.append_ms / 1000)
            return self.append(fields, body)
        if path == "/goldcrestway/log-read":
            return await self.read(fields)
        if path == "/goldcrestway/log-newest":
            return self.list_newest(fields)
        return 404, b"{}"

    def append(self, fields, body):
        topic = self.topic(fields["topic"], fields["part"])
        records, rest = [], body
        while rest:
            (length,) = struct.unpack(">I", rest[:4])
            if length > 262144:
                return 400, b"{}"
            content, rest = rest[4:4 + length], rest[4 + length:]
            key_length = content[0]
            records.append((content[1:1 + key_length], content[1 + key_length:]))
        if "epoch" in fields:
            epoch, sequence = int(fields["epoch"]), int(fields.get("sequence", 0))
            state = topic.producers.setdefault(fields["producer"], [0, None, {}])
            if epoch < state[0]:
                return 409, b'{"reason":"fenced"}'
            if epoch > state[0]:
                state[:] = [epoch, None, {}]
            if sequence in state[2]:
                return 200, state[2][sequence]
            if state[1] is not None and sequence != state[1] + 1:
                return 409, json.dumps({"reason": "seq", "expected": state[1] + 1}).encode()
        offset = len(topic.records)
        for key, value in records:
            topic.put(key, value)
        answer = json.dumps({"offset": offset, "end": len(topic.records)}).encode()
        if "epoch" in fields:
            state[1] = sequence
            state[2][sequence] = answer
            state[2].pop(sequence - 5, None)
        topic.wake()
        return 200, answer

    async def read(self, fields):
        topic = self.topic(fields["topic"], fields["part"])
        start = int(fields["from"])
        if start >= len(topic.records) and int(fields.get("wait-ms", 0)) > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), int(fields["wait-ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
        if start < topic.first:
            return 410, json.dumps({"first": topic.first}).encode()
        body = struct.pack(">QQ", len(topic.records), topic.first)
        limit = int(fields.get("max-kilobytes", 1024)) * 1024
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key + value
            if len(body) + len(content) > limit and len(body) > 16:
                break
            body += struct.pack(">I", len(content)) + content
        return 200, body, "application/octet-stream"

    def list_newest(self, fields):
        topic = self.topic(fields["topic"], fields["part"])
        after = fields.get("after", "").replace("%7E", "~").encode()
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys[:500]:
            offset = topic.newest[key]
            value = topic.records[offset][1]
            size += len(value)
            if size > 1_000_000 and items:
                break
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        answer = {"items": items, "has-more": len(items) < len(keys), "end": len(topic.records)}
        return 200, json.dumps(answer).encode()


# ---------------------------------------------------------------- minions

class Run:
    def __init__(self, task, run, seconds, at):
        self.task, self.run, self.begun, self.seconds = task, run, at, seconds


class Minion:
    """One life of a minion."""
    serial = 0

    def __init__(self, fleet, number, name=None):
        Minion.serial += 1
        self.fleet, self.number = fleet, number
        self.id = name or f"m-{number}-{Minion.serial}"
        self.born_ms = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.token = 0
        self.lease_until = 0.0
        self.running = {}
        self.barred = {}
        self.ends = []
        self.next_end = 1
        self.listed = {}
        self.changed = asyncio.Event()
        self.is_up = True

    def clock_ms(self):
        return int((time.monotonic() - self.begun) * 1000)

    async def start(self, port=0):
        self.server = await Server(self.handle).start(port)
        self.port = self.server.port
        self.task = asyncio.ensure_future(self.live())
        return self

    def report(self):
        self.fleet.store.put("keyed.servers", self.id, {
            "service": "core", "address": f"127.0.0.1:{self.port}", "zone": f"hall-{self.number % 2}",
            "version": "1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
            "sequence": int(time.monotonic() * 1000), "labels": ["a", f"r{self.number % 2}"],
            **({"born": self.born_ms} if self.fleet.tells_born else {}),
            "capacity": {"cpu": 16000, "mem-mb": 64000, "gpus": 0}})

    async def live(self):
        next_report = 0
        while self.is_up:
            if time.monotonic() >= next_report:
                next_report = time.monotonic() + 1.5
                self.report()
            now = time.monotonic()
            for key, run in list(self.running.items()):
                if self.clock_ms() > self.lease_until:
                    self.end(key, "lapsed")
                elif now >= run.begun + run.seconds:
                    self.end(key, self.fleet.how_ends(run))
            await asyncio.sleep(0.01)

    def end(self, key, how):
        run = self.running.pop(key)
        self.ends.append([self.next_end, run.task, run.run, how, ""])
        self.next_end += 1
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.run)
        self.fleet.record(f"minion {self.id}: {run.task} run {run.run} ended {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    def crash(self):
        """It is gone at once: it tells nobody, and its runs are gone with it."""
        self.is_up = False
        tasks = [f"{run.task} run {run.run}" for run in self.running.values()]
        self.fleet.record(f"minion {self.id} crashes; runs there: {', '.join(tasks) or 'none'}")
        for run in self.running.values():
            self.fleet.crashes.setdefault(run.task, []).append((self.id, time.monotonic() - run.begun))
        self.running = {}
        self.server.crash()

    def old(self, task, run):
        return run <= self.barred.get(task, 0)

    async def handle(self, method, target, headers, body):
        if headers.get("expected-instance") != self.id:
            return 421, b"{}"
        fields = json.loads(body)
        verdict = await self.fleet.before(self, target, fields)
        if verdict == "lost":
            return None
        return await self.carry_out(target, fields)

    async def carry_out(self, target, fields):
        def refuse(reason):
            return 409, json.dumps({"clock-ms": self.clock_ms(), "reason": reason}).encode()
        token = fields.get("fencing-token", 0)
        if token < self.token:
            return refuse("fence")
        self.token = token
        if target == "/goldcrestway/hold":
            self.extend(fields)
            seen = fields.get("last-seen", 0)
            for row in self.ends:
                if row[0] <= seen:
                    self.fleet.note_end(self, row)
            self.ends = [row for row in self.ends if row[0] > seen]
            if not self.ends and fields.get("wait-ms"):
                try:
                    await asyncio.wait_for(self.changed.wait(), min(fields["wait-ms"], 2000) / 1000)
                except asyncio.TimeoutError:
                    pass
            return 200, json.dumps(self.lists()).encode()
        task, run = fields["task"], fields["run"]
        if target == "/goldcrestway/run-stop":
            self.barred[task] = max(self.barred.get(task, 0), run)
            known = self.running.get(task)
            if known and known.run <= run:
                asyncio.get_running_loop().call_later(STOP_GRACE_S, self.stop, task, known)
        elif target == "/goldcrestway/run-start":
            known = self.running.get(task)
            if known and known.run == run:
                self.extend(fields)
                return 200, self.clock()
            if self.old(task, run):
                self.extend(fields)
                return refuse("old")
            if fields["deadline-ms"] < self.clock_ms():
                return refuse("late")
            self.extend(fields)
            used = sum(self.fleet.cpu(other) for other in self.running)
            if used + self.fleet.cpu(task) > 16000:
                return refuse("room")
            self.running[task] = Run(task, run, self.fleet.seconds(fields), time.monotonic())
            self.fleet.note_start(self, fields)
        return 200, self.clock()

    def stop(self, task, run):
        if self.running.get(task) is run:
            self.end(task, "stopped")

    def extend(self, fields):
        deadline = min(fields.get("deadline-ms") or 0, self.clock_ms() + LEASE_MOST_MS)
        self.lease_until = max(self.lease_until, deadline)

    def clock(self):
        return json.dumps({"clock-ms": self.clock_ms()}).encode()

    def lists(self):
        rows = []
        for run in self.running.values():
            share = (time.monotonic() - run.begun) / max(run.seconds, 0.001)
            rows.append([run.task, run.run, "", min(99, int(100 * share)), 900])
        body = {"clock-ms": self.clock_ms(), "running": rows, "ended": self.ends[:500]}
        if self.fleet.tells_born:
            body["born"] = self.born_ms
        return body


# ---------------------------------------------------------------- entry hosts

class Host:
    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.ports = [free_port() for _ in range(4)]
        # Nothing listens there; no queue has a policy.
        self.advice_port = free_port()
        self.process = None

    async def start(self):
        front, ready, metrics, relay = self.ports
        path = pathlib.Path(self.fleet.folder) / f"host-{self.number}.ini"
        path.write_text(
            f"[entry]\nname = front-{self.number}\nfailure_domain = hall-{self.number % 2}\n"
            f"caller_address = 127.0.0.1:{front}\nready_address = 127.0.0.1:{ready}\n"
            f"metrics_port = {metrics}\nrelay_port = {relay}\ncpu_share = 0.1\nlink_mbps = 1000.0\n"
            f"descriptors = 4100\n[store]\naddress = 127.0.0.1:{self.fleet.store.port}\nparts = 12\n"
            f"record_bytes = 262144\n[advice]\naddress = 127.0.0.1:{self.advice_port}\n[bounds]\nlease_most_ms = {LEASE_MOST_MS}\n"
            f"early_ms = 250\nharm_ms = 4000\nrules_in_force_ms = 2000\nstatus_s = 120\ngrace_s = 6\n")
        log = open(pathlib.Path(self.fleet.folder) / f"host-{self.number}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / "target/release/goldcrestwayd"), "--platform", cwd=ROOT, stdout=log, stderr=log,
            env={"GOLDCRESTWAY_BOOT": str(path), "PATH": os.environ.get("PATH", "")})

    @property
    def port(self):
        return self.ports[0]

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Fleet:
    """A small deployment: entry hosts, a store, minions, one queue `/q/`."""

    def __init__(self, folder, hosts=3, minions=12, tells_born=False):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.counts = (hosts, minions)
        self.tells_born = tells_born
        self.minions, self.hosts = [], []
        self.jobs, self.crashes, self.starts, self.noted = {}, {}, {}, {}
        self.broken = []

    async def start(self):
        self.store = await Store(self.record).start()
        self.store.put("keyed.op", "config", {"version": 3, "limits": {}, "services": [{"name": "core",
            "rejects-overload": True}], "routes": [{"name": "q", "host": "jobs.example",
            "path-prefix": "/q/", "kind": "unsafe", "timeout-ms": 3000, "target-latency-ms": 250,
            "service": "core", "priority": 0, "max-attempts": 3, "stretch": 1.5}]})
        for number in range(self.counts[1]):
            self.minions.append(await Minion(self, number).start())
        for number in range(self.counts[0]):
            self.hosts.append(Host(self, number))
            await self.hosts[-1].start()
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            ready = [(await call(host.ports[1], "GET", "/goldcrestway/readiness"))[0] for host in self.hosts]
            if all(status == 200 for status in ready):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the hosts are not ready within 20 s")

    async def end(self):
        for host in self.hosts:
            await host.end()

    # What a case may replace.
    async def before(self, minion, target, fields):
        return None

    def how_ends(self, run):
        return "done"

    def seconds(self, fields):
        return json.loads(fields["specification"])["seconds"]

    def cpu(self, task):
        return self.jobs[task.split(".")[0]]["steps"][int(task.split(".")[2])]["cpu"]

    def note_start(self, minion, fields):
        task, run = fields["task"], fields["run"]
        self.record(f"minion {minion.id}: {task} run {run} starts, token {fields['fencing-token']}")
        others = [other.id for other in self.minions if other.is_up and other is not minion and task in other.running]
        if others:
            self.breaks(f"TWICE: {task} run {run} starts at {minion.id} and runs at {others[0]}")
        if task in self.noted:
            self.breaks(f"TWICE: {task} run {run} starts at {minion.id} after its end was taken note of at {self.noted[task]}")
        self.starts.setdefault(task, []).append((minion.id, run))

    def note_end(self, minion, row):
        if row[3] == "done":
            self.noted[row[1]] = minion.id
            self.record(f"minion {minion.id}: end of {row[1]} run {row[2]} is taken note of")

    def breaks(self, text):
        self.broken.append(text)
        self.record(f"BROKEN {text}")

    # Clients.
    async def submit(self, job, body, tries=6):
        self.jobs[job] = body
        for _ in range(tries):
            host = random.choice(self.hosts)
            status, answer = await call(host.port, "POST", f"/q/{job}", body, {"Deadline-Remaining": "3000"})
            self.record(f"client: POST {job} at front-{host.number}: {status}")
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, host=None):
        host = host or random.choice(self.hosts)
        status, answer = await call(host.port, "GET", f"/q/{job}")
        if status == 200:
            return json.loads(answer)["state"]
        return status

    async def replace(self, index, after_s, same_id=False):
        """A minion crashes; a new one comes at its address."""
        old = self.minions[index]
        old.crash()
        await asyncio.sleep(after_s)
        if not same_id:
            # The entry of the old one expires by itself after three heartbeats of silence.
            asyncio.get_running_loop().call_later(
                max(0.0, 4.5 - after_s), self.store.put, "keyed.servers", old.id, None)
        for _ in range(50):
            try:
                self.minions[index] = await Minion(self, old.number, old.id if same_id else None).start(old.port)
                break
            except OSError:
                await asyncio.sleep(0.02)
        self.record(f"minion {self.minions[index].id} starts in the place of {old.id}")


def main(folder, play, limit_s=110, **options):
    """Plays a case. Exit code 1: the rule was broken, 0: it held, 2: the case could not run."""
    # `run.sh` passes its variable TROUBLE.
    has_trouble = sys.argv[1:2] != ["0"]

    async def run():
        fleet = Fleet(folder, **options)
        fleet.record(f"disruption: {'yes' if has_trouble else 'no'}")
        try:
            await fleet.start()
            await asyncio.wait_for(play(fleet, has_trouble), limit_s)
        finally:
            await fleet.end()
            # With KEEP=1 the settings and logs of the hosts stay.
            if os.environ.get("KEEP") != "1":
                shutil.rmtree(fleet.folder, ignore_errors=True)
        fleet.record(f"verdict: {len(fleet.broken)} broken")
        for text in fleet.broken[:10]:
            print(text)
        return 1 if fleet.broken else 0
    # Also when the case is told to stop, the hosts are ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(run())
    except Exception as fault:
        print(f"the case could not run: {fault!r}")
        code = 2
    sys.exit(code)
