"""Stand-ins for the platform of samphiregrade: its store, an engine, a network partition, clients and machines.

They follow the users' pages (PROTOCOL.md and DEPLOY.md). Where a page is silent, they behave like a sound server,
client or platform. Everything listens on loopback addresses and free ports.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(REPOSITORY, "target", "release", "samphiregrade")
HOST = "127.0.0.1"

# Largest number of items in one page of a range read, and the history of changes that the store keeps.
PAGE_ITEMS = 500
HISTORY_S = 20.0

# Bounds of the small deployments (SYSTEM.md).
CONTACT_S = 3.0
CATCH_UP_S = 4.8
GRACE_S = 8
DRAIN_MS = 2000
CONFIG_APPLY_MS = 2000
RECOVERY_S = 12.0


class CaseError(Exception):
    """The case could not run: neither a pass nor a failure."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def note(self, text):
        line = f"{time.monotonic() - self.start:8.3f} s  {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


# Ports that machines have got, so that no two get the same before they listen.
GIVEN_PORTS = set()


def free_ports(count):
    """Returns consecutive free ports below the range that the system assigns to outgoing connections."""
    base = 20000 + (os.getpid() * 37) % 9000
    for first in range(base, base + 3000, count):
        if first in GIVEN_PORTS:
            continue
        sockets = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((HOST, port))
            GIVEN_PORTS.add(first)
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CaseError("no free ports")


async def read_message(reader):
    """Reads an HTTP message; returns its first line, its headers in lower case and its body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return lines[0], headers, None
    return lines[0], headers, body


class Store:
    """The platform's metadata store: linearizable, with range reads, watches and conditional writes."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.dropped_before = 0
        self.changed = asyncio.Condition()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def put(self, key, value):
        """Writes a value as the operator or a worker does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        await self.apply([(key, encoded)], [])

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def apply(self, writes, removes):
        async with self.changed:
            self.revision += 1
            for key, encoded in writes:
                created = self.items.get(key, {}).get("created", self.revision)
                item = {"key": key, "value": encoded, "revision": self.revision, "created": created, "lease": 0}
                self.items[key] = item
                self.events.append((time.monotonic(), item))
            for key in removes:
                if self.items.pop(key, None):
                    event = {"key": key, "revision": self.revision, "deleted": True}
                    self.events.append((time.monotonic(), event))
            while self.events and self.events[0][0] < time.monotonic() - HISTORY_S:
                self.dropped_before = self.events.pop(0)[1]["revision"]
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                status, body = await self.respond(*message)
                text = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
                writer.write(head.encode() + text)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def respond(self, line, _headers, body):
        method, target, _ = line.split(" ", 2)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("pathPrefix", "")
        if (method, url.path) == ("GET", "/kv-key"):
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if (method, url.path) == ("GET", "/kv-range"):
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:PAGE_ITEMS]]
            return 200, {"items": page, "hasMore": len(keys) > PAGE_ITEMS, "at": self.revision}
        if (method, url.path) == ("GET", "/kv-watch"):
            return await self.watch(prefix, int(query.get("after", "0")), int(query.get("waitMs", "0")) / 1000)
        if (method, url.path) == ("POST", "/kv-txn"):
            return await self.transact(json.loads(body))
        return 404, {}

    async def watch(self, prefix, after, wait):
        deadline = time.monotonic() + min(wait, 30.0)
        async with self.changed:
            while True:
                if after < self.dropped_before:
                    return 410, {}
                events = [event for _, event in self.events]
                events = [event for event in events if event["revision"] > after and event["key"].startswith(prefix)]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, change):
        for row in change.get("expectedRevision", []):
            known = self.items.get(row["key"], {}).get("revision", 0)
            if known != row["revision"]:
                items = [self.items[row["key"]] for row in change["expectedRevision"] if row["key"] in self.items]
                return 412, {"items": items}
        keys = [row["key"] for row in change.get("write", [])] + change.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        await self.apply([(row["key"], row["value"]) for row in change.get("write", [])], change.get("remove", []))
        return 200, {"revision": self.revision}


class Engine:
    """A worker of a model service: answers each turn with a stream of events, and notes what it ran."""

    EVENTS = 4

    def __init__(self, record, name, service, zone):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.runs = []

    async def start(self, store):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 16,
            "state": "ready", "coldRemainingMs": 0, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}], "callSequence": 0,
        }
        await store.put(f"servers/{self.name}", entry)

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                await self.respond(writer, *message)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def respond(self, writer, line, headers, body):
        method, target, _ = line.split(" ", 2)
        identity = f"X-Instance-Id: {self.name}\r\nX-Instance-Load: 0,0,16\r\nKeep-Alive: timeout=9\r\n"
        if target == "/health":
            writer.write(f"HTTP/1.1 200 OK\r\n{identity}Content-Length: 0\r\n\r\n".encode())
            return await writer.drain()
        expected = headers.get("x-expected-instance")
        request = headers.get("x-request-id")
        if request is None or (expected is not None and expected != self.name) or body is None:
            status = 400 if request is None else 421
            writer.write(f"HTTP/1.1 {status} X\r\n{identity}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return await writer.drain()
        self.runs.append((request, body.decode()))
        self.record.note(f"worker {self.name} runs {request}: {method} {target}, body {body.decode()!r}")
        head = (
            f"HTTP/1.1 200 OK\r\n{identity}X-Request-Id: {request}\r\nX-Server-Signature: sig-{request}\r\n"
            "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(1, self.EVENTS + 1):
            event = f"id: {number}\ndata: {request}-{number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def output(self, request):
        """Returns what a later turn has to repeat of the answer to a request."""
        return "".join(f"{request}-{number}\n" for number in range(1, self.EVENTS + 1))


class Tool:
    """A worker of a plain service: answers each request at once, and notes for which organisation it ran."""

    def __init__(self, name, service, zone):
        self.name, self.service, self.zone = name, service, zone
        self.runs = []

    async def start(self, store):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 6,
            "state": "ready", "coldRemainingMs": 0, "callSequence": 0,
        }
        await store.put(f"servers/{self.name}", entry)

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                _, headers, _ = message
                identity = f"X-Instance-Id: {self.name}\r\nX-Instance-Load: 0,0,6\r\nKeep-Alive: timeout=9\r\n"
                request = headers.get("x-request-id")
                if request is None or headers.get("x-expected-instance", self.name) != self.name:
                    status = 400 if request is None else 421
                    head = f"HTTP/1.1 {status} X\r\n{identity}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    writer.write(head.encode())
                else:
                    self.runs.append((request, headers.get("x-tenant"), time.monotonic()))
                    head = (
                        f"HTTP/1.1 200 OK\r\n{identity}X-Request-Id: {request}\r\n"
                        f"X-Server-Signature: sig-{request}\r\nContent-Length: 2\r\n\r\nok"
                    )
                    writer.write(head.encode())
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


def owner_of_port(port, processes):
    """Returns which of some processes has a loopback connection with this local port."""
    with open("/proc/net/tcp", encoding="ascii") as file:
        rows = [line.split() for line in file.readlines()[1:]]
    inodes = {row[9] for row in rows if int(row[1].split(":")[1], 16) == port and row[9] != "0"}
    wanted = {f"socket:[{inode}]" for inode in inodes}
    for name, number in processes.items():
        folder = f"/proc/{number}/fd"
        for entry in os.listdir(folder):
            try:
                if os.readlink(os.path.join(folder, entry)) in wanted:
                    return name
            except OSError:
                continue
    return None


class PartitionProxy:
    """The network path to one machine. While it is cut, nothing arrives, silently; what was on its way is lost.

    `reached_by` names machines that still reach it during the cut.
    """

    def __init__(self, target, deployment=None, reached_by=()):
        self.target, self.deployment, self.reached_by = target, deployment, reached_by
        self.cut = False
        self.writers = set()

    def is_cut_for(self, owner):
        return self.cut and owner not in self.reached_by

    def owner(self, writer):
        if not self.reached_by:
            return None
        machines = self.deployment.machines
        processes = {machine.name: machine.process.pid for machine in machines if machine.process is not None}
        return owner_of_port(writer.get_extra_info("peername")[1], processes)

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def serve(self, near_reader, near_writer):
        self.writers.add(near_writer)
        far_writer = None
        owner = self.owner(near_writer)
        try:
            while self.is_cut_for(owner):
                # The opening packet of a connection gets no answer.
                if not await asyncio.wait_for(near_reader.read(65536), 60):
                    return
            host, port = self.target.rsplit(":", 1)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self.writers.add(far_writer)
            await asyncio.gather(
                self.forward(near_reader, far_writer, owner), self.forward(far_reader, near_writer, owner)
            )
        except (ConnectionError, asyncio.TimeoutError, OSError):
            pass
        finally:
            for writer in (near_writer, far_writer):
                if writer is not None:
                    self.writers.discard(writer)
                    writer.transport.abort()

    async def forward(self, reader, writer, owner):
        while data := await reader.read(65536):
            if self.is_cut_for(owner):
                continue
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError

    def heal(self):
        """Ends the cut. Connections that were open during it are reset: their bytes are gone."""
        self.cut = False
        for writer in list(self.writers):
            writer.transport.abort()


class Machine:
    """A machine with one process of the deploy file: an entry or a keeper."""

    def __init__(self, deployment, role, name, zone, first_start):
        self.deployment, self.role, self.name, self.zone = deployment, role, name, zone
        self.first_start = first_start
        self.folder = os.path.join(deployment.folder, name)
        self.clients, self.ready, self.links, self.metrics = free_ports(4)
        self.advertised = None
        self.process = None

    def settings(self):
        lines = [
            "[instance]", f'name = "{self.name}"', f'failure-domain = "{self.zone}"',
            f"first-start = {str(self.first_start).lower()}",
            f"memory-megabytes = {110 if self.role == 'entry' else 130}",
        ]
        if self.role == "keeper":
            lines.append(f'data-folder = "{self.folder}/data"')
        lines += ["[listen]", f'address = "{HOST}"']
        if self.role == "entry":
            lines += [f'clients = "{HOST}:{self.clients}"', f'readiness = "{HOST}:{self.ready}"']
        lines.append(f"link-ports = [{self.links}, {self.metrics}]")
        if self.advertised:
            lines.append(f'advertised-links = "{self.advertised}"')
        lines += [
            "[store]", f'address = "{self.deployment.store.address}"',
            "[tolerance]", "instances = 1", "failure-domains = 1",
            "[times]", f"grace-seconds = {GRACE_S}", f"drain-milliseconds = {DRAIN_MS}",
            f"configuration-milliseconds = {CONFIG_APPLY_MS}", "[organisations]", *self.deployment.organisations,
        ]
        return "\n".join(lines) + "\n"

    def start(self):
        os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        path = os.path.join(self.folder, "settings.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.folder, "log"), "ab")
        command = [PROGRAM, self.role, "--settings", path]
        self.process = subprocess.Popen(command, stdout=log, stderr=log, cwd=REPOSITORY)
        self.first_start = False

    def kill(self):
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    def lose_disk(self):
        shutil.rmtree(os.path.join(self.folder, "data"))

    def log_lines(self, event):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return [line.strip() for line in file if f'"event":"{event}"' in line]


class Deployment:
    """The machines and stand-ins of a small deployment."""

    ROUTE_HOST = "ficu95.example"

    def __init__(self, record):
        if not os.access(PROGRAM, os.X_OK):
            raise CaseError("the program is not built")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="samphiregrade-review-")
        self.store = Store()
        self.machines = []
        self.engines = []
        # Lines of the section `[organisations]` of the settings.
        self.organisations = []

    def machine(self, role, name, zone, first_start=True):
        machine = Machine(self, role, name, zone, first_start)
        self.machines.append(machine)
        return machine

    async def start_platform(self):
        await self.store.start()
        route = {
            "name": "r-turns", "host": self.ROUTE_HOST, "pathPrefix": "/turns/", "kind": "streaming",
            "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 0, "service": "lending-agents", "maxAttempts": 2,
            "retained": True, "retentionS": 60.0, "sessionAffinity": True, "resumable": False, "targetGapMs": 300,
        }
        service = {
            "name": "lending-agents", "healthPath": "/health", "connectionLimit": 170, "protocol": "h1", "tls": False,
            "engine": {"slots": 16, "kvCacheTokens": 513719, "kvBytes": 163840, "linkMbps": 4400000.0,
                       "migrations": False, "backups": False, "tokensPerEvent": 30, "most": 12, "pinMs": 4000.0,
                       "holdMs": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]},
        }
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        await self.store.put("op/config", {"version": 7, "routes": [route], "services": [service], "limits": limits})
        for zone in ("bilbao-a", "bilbao-b"):
            engine = Engine(self.record, f"i-{zone}", "lending-agents", zone)
            await engine.start(self.store)
            self.engines.append(engine)

    async def until(self, what, check, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.05)
        raise CaseError(f"not within {seconds} s: {what}")

    async def until_serving(self, entry):
        async def serves():
            answer = await self.turn(entry, f"warm-{entry.name}-{time.monotonic_ns()}", "warm", quiet=True)
            return answer.status == 200

        await self.until(f"{entry.name} serves", serves, 20)

    async def turn(self, entry, request, program, previous=None, budget=100000, text="", quiet=False):
        """Sends a turn on a new connection, as a client does, and returns its answer."""
        body = text or f"<{request}>"
        lines = [
            "POST /turns/4b HTTP/1.1", f"Host: {self.ROUTE_HOST}", f"X-Request-Id: {request}",
            f"X-Program-Id: {program}", f"X-Session-Id: s-{program}", "X-Program-Deadline-Ms: 9000",
            f"X-Token-Budget: {budget}", "X-Token-Usage: 100,120", "X-Deadline-Ms: 3000", "X-Model: m",
            f"Content-Length: {len(body)}",
        ]
        if previous:
            lines.append(f"X-Previous-Turn: {previous}")
        if not quiet:
            after = f", continues {previous}" if previous else ""
            self.record.note(f"client sends {request} (program {program}{after}) to {entry.name}")
        answer = Answer()
        try:
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection(HOST, entry.clients)
                writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
                message = await read_message(reader)
                writer.close()
                if message is not None:
                    answer = Answer.of(message)
        except (OSError, asyncio.TimeoutError, ValueError):
            pass
        if not quiet:
            self.record.note(f"client gets for {request}: {answer.describe()}")
        return answer

    def ran(self, request):
        """Returns the bodies with which workers ran a request."""
        return [body for engine in self.engines for name, body in engine.runs if name == request]

    def end(self):
        for machine in self.machines:
            machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client got for one request."""

    def __init__(self, status=None, headers=None, body=None):
        self.status, self.headers, self.body = status, headers or {}, body

    @staticmethod
    def of(message):
        line, headers, body = message
        return Answer(int(line.split(" ")[1]), headers, body)

    @property
    def whole(self):
        return self.status == 200 and self.body is not None and "x-server-signature" in self.headers

    def describe(self):
        if self.status is None:
            return "no answer"
        text = "cut in the answer" if self.body is None else "whole"
        return f"{self.status}, {text}, signature {self.headers.get('x-server-signature', 'none')}"


def run_case(path, case):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(path)), "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"begin, {'with' if trouble else 'without'} the disruption")

    async def run():
        deployment = Deployment(record)
        loop = asyncio.get_running_loop()
        # Connections that are open at the end are cancelled with the loop.
        loop.set_exception_handler(lambda _loop, _context: None)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(115):
                return await case(deployment, record, trouble)
        finally:
            deployment.end()

    try:
        broken = asyncio.run(run())
    except (CaseError, asyncio.CancelledError, asyncio.TimeoutError, OSError) as error:
        record.note(f"could not run: {type(error).__name__} {error}")
        raise SystemExit(2)
    record.note("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
